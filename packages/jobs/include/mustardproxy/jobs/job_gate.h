#ifndef MUSTARDPROXY_JOBS_JOB_GATE_H_
#define MUSTARDPROXY_JOBS_JOB_GATE_H_

#include <functional>
#include <memory>
#include <string_view>

#include "mustardproxy/core/result.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_service.h"

namespace mustardproxy::jobs {

/// Lets traffic threads call the job service: each call goes to the control
/// thread and waits for its result. Safe from any thread.
class JobGate {
 public:
  /// Chooses a queue of the desired state, or null. Runs on the control thread,
  /// perhaps after the caller has given up: it must hold what it needs.
  using Chooser = std::function<const Queue*(const DesiredState&)>;

  JobGate(Executor* executor, JobService* service)
      : executor(executor), service(service) {}

  /// @return the queue chosen; `kStarting` without a desired state,
  ///   `kUnknownQueue` if there is none, `kDeadlineExceeded`
  [[nodiscard]] Result<Queue> Find(const Chooser& chooser, Duration timeout);
  [[nodiscard]] SubmitResult Submit(const Queue& queue, const JobId& id,
                                    JobSpec spec, Duration timeout);
  [[nodiscard]] SubmitResult Cancel(const JobId& id, Duration timeout);
  [[nodiscard]] Result<JobStatus> State(const JobId& id, Duration timeout);
  [[nodiscard]] Result<std::int64_t> Pending(const QueueName& queue,
                                             Duration timeout);

 private:
  Executor* executor;
  JobService* service;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_GATE_H_
