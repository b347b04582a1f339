#ifndef MUSTARDPROXY_JOBS_RUN_TIMES_H_
#define MUSTARDPROXY_JOBS_RUN_TIMES_H_

#include <map>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// Predicts run times from those of completed runs. The estimates of callers
/// are off by up to 90 % in both directions and only distinguish long runs from
/// short ones.
class RunTimes {
 public:
  void Learn(const QueueName& queue, Duration estimate, Duration actual);
  /// @return the predicted run time for this estimate
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
