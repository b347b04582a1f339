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
  JobGate(Executor* executor, JobService* service)
      : executor(executor), service(service) {}

  /// @return the admission of a call; see `Admit`, or `kDeadlineExceeded`
  [[nodiscard]] Result<Admission> AdmitCall(const QueueChooser& choose,
                                            const Credentials& credentials,
                                            Duration timeout);
  [[nodiscard]] SubmitResult Submit(const Admission& admission, const JobId& id,
                                    JobSpec spec, Duration timeout);
  [[nodiscard]] SubmitResult Cancel(const Admission& admission, const JobId& id,
                                    Duration timeout);
  [[nodiscard]] Result<JobStatus> State(const Admission& admission,
                                        const JobId& id, Duration timeout);
  [[nodiscard]] Result<std::int64_t> Pending(const QueueName& queue,
                                             Duration timeout);

 private:
  Executor* executor;
  JobService* service;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_GATE_H_
