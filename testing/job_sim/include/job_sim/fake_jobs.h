#ifndef JOB_SIM_FAKE_JOBS_H_
#define JOB_SIM_FAKE_JOBS_H_

#include <functional>
#include <memory>

#include "mustardproxy/jobs/job_service.h"

namespace job_sim {

/// A job service that answers as it is told, and keeps what it was asked.
class FakeJobs final : public mustardproxy::jobs::JobService {
 public:
  using Admission = mustardproxy::jobs::Admission;
  using Duration = mustardproxy::Duration;
  using JobId = mustardproxy::jobs::JobId;
  using JobState = mustardproxy::jobs::JobState;
  using JobStatus = mustardproxy::jobs::JobStatus;
  using SubmitResult = mustardproxy::jobs::SubmitResult;

  [[nodiscard]] std::shared_ptr<const mustardproxy::jobs::DesiredState>
  Desired() const override {
    return this->desired;
  }
  [[nodiscard]] mustardproxy::Result<Admission> AdmitCall(
      const mustardproxy::jobs::QueueChooser& choose,
      const mustardproxy::jobs::Credentials& credentials) override {
    return mustardproxy::jobs::Admit(this->desired.get(), this->age, choose,
                                     credentials);
  }
  void Submit(const Admission& admission, JobId id,
              mustardproxy::jobs::JobSpec given, Duration given_timeout,
              std::function<void(SubmitResult)> done) override {
    this->access = admission.access;
    this->last = std::move(id);
    this->spec = std::move(given);
    this->timeout = given_timeout;
    done(this->submit);
  }
  void Cancel(const Admission& admission, const JobId& id, Duration /*timeout*/,
              std::function<void(SubmitResult)> done) override {
    this->access = admission.access;
    this->last = id;
    done(this->submit);
  }
  void State(
      const Admission& admission, const JobId& id, Duration /*timeout*/,
      std::function<void(mustardproxy::Result<JobStatus>)> done) override {
    this->access = admission.access;
    this->last = id;
    done(this->state);
  }
  void Pending(
      const mustardproxy::jobs::QueueName& /*queue*/, Duration /*timeout*/,
      std::function<void(mustardproxy::Result<std::int64_t>)> done) override {
    done(kPending);
  }

  static constexpr std::int64_t kPending = 12;
  std::shared_ptr<mustardproxy::jobs::DesiredState> desired;
  Duration age{0};
  /// Of the last call.
  mustardproxy::jobs::JobAccess access;
  SubmitResult submit{
      mustardproxy::jobs::SubmitOutcome::kAccepted, {}, {}, Duration(0)};
  mustardproxy::Result<JobStatus> state = JobStatus{JobState::kRunning, {}};
  JobId last;
  mustardproxy::jobs::JobSpec spec;
  Duration timeout{0};
};

}  // namespace job_sim

#endif  // JOB_SIM_FAKE_JOBS_H_
