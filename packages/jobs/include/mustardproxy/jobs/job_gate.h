#ifndef MUSTARDPROXY_JOBS_JOB_GATE_H_
#define MUSTARDPROXY_JOBS_JOB_GATE_H_

#include <functional>
#include <memory>
#include <string_view>

#include "mustardproxy/core/result.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_service.h"

namespace mustardproxy::jobs {

/// Blocking access to the job service for traffic threads: each call is posted
/// to the control thread and waits for the result. Thread-safe.
class JobGate {
 public:
  /// Selects a queue from the desired state; null if none matches. Runs on the
  /// control thread, possibly after the caller has timed out, so it must own
  /// everything it uses.
  using Chooser = std::function<const Queue*(const DesiredState&)>;

  JobGate(Executor* executor, JobService* service)
      : executor(executor), service(service) {}

  /// @return the selected queue, or `kStarting` without a desired state,
  ///   `kUnknownQueue` if the chooser returned null, or `kDeadlineExceeded`
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
