#include "mustardproxy/jobs/job_gate.h"

#include <optional>
#include <utility>

#include "mustardproxy/core/error.h"
#include "mustardproxy/jobs/waitable_value.h"

namespace mustardproxy::jobs {
namespace {

/// Added to the caller's timeout, within which the service answers by itself.
constexpr Duration kReplyMargin = std::chrono::milliseconds(100);

/// Runs `call` on the control thread and waits for its callback.
template <typename T>
std::optional<T> Await(Executor* executor, Duration timeout,
                       std::function<void(std::function<void(T)>)> call) {
  auto awaited = std::make_shared<WaitableValue<T>>();
  executor->Post([call = std::move(call), awaited] {
    call([awaited](T value) { awaited->Set(std::move(value)); });
  });
  return awaited->Wait(timeout + kReplyMargin);
}

SubmitResult Unanswered() {
  return {.end = SubmitOutcome::kUnknown,
          .reason = Error::kDeadlineExceeded,
          .detail = {},
          .retry_after = Duration::zero()};
}

}  // namespace

Result<Admission> JobGate::AdmitCall(const QueueChooser& choose,
                                     const Credentials& credentials,
                                     Duration timeout) {
  const auto admitted = Await<Result<Admission>>(
      this->executor, timeout, [this, choose, credentials](auto done) {
        done(this->service->AdmitCall(choose, credentials));
      });
  return admitted ? *admitted : make_error_code(Error::kDeadlineExceeded);
}

SubmitResult JobGate::Submit(const Admission& admission, const JobId& id,
                             JobSpec spec, Duration timeout) {
  const auto result = Await<SubmitResult>(
      this->executor, timeout,
      [this, admission, id, spec = std::move(spec), timeout](auto done) {
        this->service->Submit(admission, id, spec, timeout, std::move(done));
      });
  return result.value_or(Unanswered());
}

SubmitResult JobGate::Cancel(const Admission& admission, const JobId& id,
                             Duration timeout) {
  const auto result = Await<SubmitResult>(
      this->executor, timeout, [this, admission, id, timeout](auto done) {
        this->service->Cancel(admission, id, timeout, std::move(done));
      });
  return result.value_or(Unanswered());
}

Result<JobStatus> JobGate::State(const Admission& admission, const JobId& id,
                                 Duration timeout) {
  const auto state = Await<Result<JobStatus>>(
      this->executor, timeout, [this, admission, id, timeout](auto done) {
        this->service->State(admission, id, timeout, std::move(done));
      });
  return state ? *state : make_error_code(Error::kDeadlineExceeded);
}

Result<std::int64_t> JobGate::Pending(const QueueName& queue,
                                      Duration timeout) {
  const auto pending = Await<Result<std::int64_t>>(
      this->executor, timeout, [this, queue, timeout](auto done) {
        this->service->Pending(queue, timeout, std::move(done));
      });
  return pending ? *pending : make_error_code(Error::kDeadlineExceeded);
}

}  // namespace mustardproxy::jobs
