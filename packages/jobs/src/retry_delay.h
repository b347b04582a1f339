#ifndef MUSTARDPROXY_JOBS_RETRY_DELAY_H_
#define MUSTARDPROXY_JOBS_RETRY_DELAY_H_

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// @return the time after its submission within which a job should be done, by
///   its own estimates
[[nodiscard]] Duration EstimateObjective(const Queue& queue,
                                         const JobSpec& spec);

/// When a caller should submit a job again that could not be stored. Answers
/// the load of callers during an outage of the store: they retry a few times
/// only, and outages last several seconds.
///
/// Failure guarded against: every caller is told to come back after a second,
/// and has no tries left when the store returns, although its job could still
/// have been done in time.
/// @param objective see EstimateObjective
[[nodiscard]] Duration RetryDelayInOutage(Duration objective);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RETRY_DELAY_H_
