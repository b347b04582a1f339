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
#include "mustardproxy/jobs/admission.h"
#include "mustardproxy/jobs/desired_state.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// Result of submitting or cancelling a job.
enum class SubmitOutcome {
  /// Stored, now or earlier; it will be carried out.
  kAccepted,
  /// Not stored and will not be: the job never runs.
  kNotAccepted,
  /// The outcome is not known. The same id may be submitted again.
  kUnknown,
  /// Cancellation only: there is no such job.
  kNoSuchJob,
};

struct SubmitResult {
  SubmitOutcome end = SubmitOutcome::kUnknown;
  std::error_code reason;
  std::string detail;
  /// When to retry, if not accepted.
  Duration retry_after{0};
};

/// Operations that every process offers to callers. `done` is called exactly
/// once, at the latest after `timeout`. Must be called on the control thread.
class JobService {
 public:
  JobService() = default;
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;
  virtual ~JobService() = default;

  /// @return the desired state set by operators, or null before the first one
  ///   is read
  [[nodiscard]] virtual std::shared_ptr<const DesiredState> Desired() const = 0;
  /// Decides whether a call is allowed; see `Admit`.
  [[nodiscard]] virtual Result<Admission> AdmitCall(
      const QueueChooser& choose, const Credentials& credentials) = 0;
  /// Not accepted with `kJobOfOtherTeam` if the id is that of a job that the
  /// call may not access, with `kExceedsTeamCap` if a step could never run, and
  /// with `kOverloaded` if the job could not be done usefully.
  virtual void Submit(const Admission& admission, JobId id, JobSpec spec,
                      Duration timeout,
                      std::function<void(SubmitResult)> done) = 0;
  /// Not accepted with `kJobOfOtherTeam` if the call may not access the job. If
  /// there is no such job, a job that is stored under the id soon after, by a
  /// submission that the call may access, is cancelled, too.
  virtual void Cancel(const Admission& admission, const JobId& id,
                      Duration timeout,
                      std::function<void(SubmitResult)> done) = 0;
  /// Passes the state to `done`, or `kUnknownRequest` if there is no such job,
  /// `kJobOfOtherTeam` if the call may not access it, or
  /// `kPlatformUnavailable` if the state can't be determined.
  virtual void State(const Admission& admission, const JobId& id,
                     Duration timeout,
                     std::function<void(Result<JobStatus>)> done) = 0;
  virtual void Pending(const QueueName& queue, Duration timeout,
                       std::function<void(Result<std::int64_t>)> done) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_SERVICE_H_
