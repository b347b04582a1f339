#ifndef MUSTARDPROXY_JOBS_RUN_TIMES_H_
#define MUSTARDPROXY_JOBS_RUN_TIMES_H_

#include <cstdint>
#include <map>

#include "job_table.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// Learns how long runs take from those that ended: the line through the
/// logarithms of declared and actual time that fits best, by queue.
///
/// Failure guarded against: callers' estimates are off by up to nine tenths
/// either way, and a job that declared a fifth of what it takes is taken for
/// hopeless long before it is, goes last and gets no room. Where estimates are
/// that far off, the queue's usual time tells more than they do; the slope of
/// the line weighs one against the other.
class RunTimes {
 public:
  /// @param tasks of the step: as they are alike, all together count once.
  ///   Counted one by one, a wide gang that ends outweighs all before it.
  void Learn(const QueueName& queue, Duration estimate, Duration actual,
             std::int32_t tasks);
  /// @return what a run with this estimate should take
  [[nodiscard]] Duration Expect(const QueueName& queue,
                                Duration estimate) const;
  /// @return what the steps of a chain should take together
  [[nodiscard]] Duration Expect(const QueueName& queue,
                                const Chain& chain) const;

 private:
  /// Sums over what was learnt, the older the less it counts.
  struct Sums {
    double weight = 0.0;
    double declared = 0.0;
    double actual = 0.0;
    double declared_squared = 0.0;
    double product = 0.0;

    void Fade(double factor);
    void Add(double log_declared, double log_actual, double by);
    /// @return what the logarithm of the time should be
    [[nodiscard]] double Expect(double log_declared) const;
  };
  std::map<QueueName, Sums> queues;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RUN_TIMES_H_
