#ifndef MUSTARDPROXY_JOBS_RUN_TIMES_H_
#define MUSTARDPROXY_JOBS_RUN_TIMES_H_

#include <map>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// Learns how long runs take from those that ended. Callers' estimates are off
/// by up to nine tenths either way, so they only tell long from short.
class RunTimes {
 public:
  void Learn(const QueueName& queue, Duration estimate, Duration actual);
  /// @return what a run with this estimate should take
  [[nodiscard]] Duration PredictRunTime(const QueueName& queue,
                                        Duration estimate) const;

 private:
  struct Ratio {
    double actual_to_estimate = 1.0;
  };
  std::map<QueueName, Ratio> ratios;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RUN_TIMES_H_
