#ifndef MUSTARDPROXY_JOBS_JOB_SERVICE_H_
#define MUSTARDPROXY_JOBS_JOB_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/desired_state.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// How handing in or cancelling a job ended.
enum class SubmitOutcome {
  /// Stored, now or before; it will be done.
  kAccepted,
  /// Not stored, and will not be: the job never runs.
  kNotAccepted,
  /// It can not be told. The same id may be handed in again.
  kUnknown,
  /// No such job, for a cancellation.
  kNoSuchJob,
};

struct SubmitResult {
  SubmitOutcome end = SubmitOutcome::kUnknown;
  std::error_code reason;
  std::string detail;
  /// When to come back, if not accepted.
  Duration retry_after{0};
};

/// What callers can do, at any process. `done` is called once, at the latest
/// when `timeout` has passed. Only on the control thread.
class JobService {
 public:
  JobService() = default;
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;
  virtual ~JobService() = default;

  /// @return what operators want, or null before the first
  [[nodiscard]] virtual std::shared_ptr<const DesiredState> Desired() const = 0;
  virtual void Submit(const Queue& queue, JobId id, JobSpec spec,
                      Duration timeout,
                      std::function<void(SubmitResult)> done) = 0;
  virtual void Cancel(const JobId& id, Duration timeout,
                      std::function<void(SubmitResult)> done) = 0;
  /// Ends with the state, or `kUnknownRequest` if there is no such job, or
  /// `kPlatformUnavailable` if that can't be found out.
  virtual void State(const JobId& id, Duration timeout,
                     std::function<void(Result<JobStatus>)> done) = 0;
  virtual void Pending(const QueueName& queue, Duration timeout,
                       std::function<void(Result<std::int64_t>)> done) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_SERVICE_H_
