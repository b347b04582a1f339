#ifndef JOB_SIM_FAKE_JOBS_H_
#define JOB_SIM_FAKE_JOBS_H_

#include <functional>
#include <memory>

#include "mustardproxy/jobs/job_service.h"

namespace job_sim {

/// A job service that answers as it is told, and keeps what it was asked.
class FakeJobs final : public mustardproxy::jobs::JobService {
 public:
  using Duration = mustardproxy::Duration;
  using JobId = mustardproxy::jobs::JobId;
  using JobState = mustardproxy::jobs::JobState;
  using JobStatus = mustardproxy::jobs::JobStatus;
  using Queue = mustardproxy::jobs::Queue;
  using SubmitResult = mustardproxy::jobs::SubmitResult;

  [[nodiscard]] std::shared_ptr<const mustardproxy::jobs::DesiredState>
  Desired() const override {
    return this->desired;
  }
  void Submit(const Queue& /*queue*/, JobId id,
              mustardproxy::jobs::JobSpec given, Duration given_timeout,
              std::function<void(SubmitResult)> done) override {
    this->last = std::move(id);
    this->spec = std::move(given);
    this->timeout = given_timeout;
    done(this->submit);
  }
  void Cancel(const JobId& id, Duration /*timeout*/,
              std::function<void(SubmitResult)> done) override {
    this->last = id;
    done(this->submit);
  }
  void State(
      const JobId& id, Duration /*timeout*/,
      std::function<void(mustardproxy::Result<JobStatus>)> done) override {
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
  SubmitResult submit{
      mustardproxy::jobs::SubmitOutcome::kAccepted, {}, {}, Duration(0)};
  mustardproxy::Result<JobStatus> state = JobStatus{JobState::kRunning, {}};
  JobId last;
  mustardproxy::jobs::JobSpec spec;
  Duration timeout{0};
};

}  // namespace job_sim

#endif  // JOB_SIM_FAKE_JOBS_H_
