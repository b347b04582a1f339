#include "start_calls.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/log.h"

namespace mustardproxy::worker_detail {
namespace {

constexpr std::size_t kMaxQueued = 4096;
constexpr Duration kMaxProbePause = std::chrono::seconds(5);
/// A silent task is asked for again after this part of its time so far, so that
/// its end is seen at most that much later.
constexpr int kProbePart = 4;

constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

/// @return the worker's refusal, if the answer is one
std::optional<Refusal> RefusalIn(const http::HttpReply& answer) {
  const int status = answer.Status();
  if (status != kConflict && status != kUnavailable) return {};
  // A task may end with these statuses too; then the answer names it.
  if (answer.header.has("Mustardproxy-Task-Id")) return {};
  auto refusal = ParseRefusal(answer.body);
  if (!refusal) return {};
  return std::move(refusal.value());
}

std::error_code ReasonOf(const Refusal& refusal) {
  if (refusal.reason == RefusalReason::kStaleEpoch) return Error::kStaleEpoch;
  if (refusal.reason == RefusalReason::kLeaseHeld) return Error::kLeaseHeld;
  return Error::kNoWorker;
}

}  // namespace

StartCalls::StartCalls(Options options, http::ConnectionPool* connections,
                       ControlClient* control, ReceivedEnds* received)
    : options(std::move(options)),
      connections(connections),
      control(control),
      received(received),
      threads("starts", this->options.threads, kMaxQueued),
      poller(this) {}

StartCalls::~StartCalls() { this->Stop(); }

void StartCalls::Begin(const StartTask& action) {
  if (!this->in_flight.Enter(action.worker)) {
    const Error reason = this->in_flight.Closed() ? Error::kShuttingDown
                                                  : Error::kTooManyConnections;
    this->options.sink->Post(
        TaskNotStarted{action.worker, action.spec.task, reason});
    return;
  }
  const auto call = std::make_shared<StartCall>();
  call->action = action;
  call->give_up = SteadyNow() + action.timeout;
  if (this->threads.Submit([this, call] { this->Send(call); })) return;
  this->NotStarted(call, Error::kTooManyConnections);
}

void StartCalls::Limit(const WorkerId& worker, std::int32_t count) {
  this->in_flight.Limit(worker, count);
}

void StartCalls::Stop() {
  this->in_flight.Close();
  this->poller.Stop();
  this->threads.Stop();
}

void StartCalls::Send(const StartCallPtr& call) {
  if (SteadyNow() >= call->give_up) {
    this->NotStarted(call, Error::kDeadlineExceeded);
    return;
  }
  std::error_code problem;
  // An idle connection that fails before its first byte is followed by another,
  // down to a new one; no byte of the request has left this process then.
  while (!this->SendOnce(call, &problem)) {
    if (!call->connection) {
      this->NotStarted(call, problem);
      return;
    }
    const bool touched = call->connection->Touched();
    call->connection.reset();
    if (touched) {
      this->Uncertain(call, problem);
      return;
    }
  }
  call->sent_at = SteadyNow();
  const Instant due = call->sent_at + this->options.control_timeout;
  this->poller.Watch(call, std::min(due, call->give_up));
}

bool StartCalls::SendOnce(const StartCallPtr& call, std::error_code* problem) {
  auto connection = this->connections->Acquire(call->action.address,
                                               this->options.control_timeout);
  if (!connection) {
    *problem = connection.error();
    return false;
  }
  const bool old = connection.value()->Exchanged();
  const Instant until = SteadyNow() + this->options.control_timeout;
  *problem = connection.value()->Send(
      StartRequest(this->options.sender, call->action), until);
  const bool untouched = !connection.value()->Touched();
  // A new connection that took nothing is not tried again.
  if (*problem && untouched && !old) return false;
  call->connection = std::move(connection.value());
  return !*problem;
}

void StartCalls::OnReadable(const StartCallPtr& call) {
  this->threads.SubmitFirst([this, call] { this->Read(call); });
}

void StartCalls::Read(const StartCallPtr& call) {
  const Duration silence = this->options.control_timeout;
  const Instant until = std::max(call->give_up, SteadyNow() + silence);
  const Result<http::HttpReply> answer =
      call->connection->Receive(silence, until);
  if (!answer) {
    call->connection.reset();
    this->Uncertain(call, answer.error());
    return;
  }
  this->Judge(call, answer.value());
}

void StartCalls::Judge(const StartCallPtr& call,
                       const http::HttpReply& answer) {
  const TaskId& task = call->action.spec.task;
  std::unique_ptr<http::ClientConnection> connection =
      std::move(call->connection);
  if (const auto refusal = RefusalIn(answer)) {
    if (!refusal->task.Empty() && refusal->task != task) {
      this->Uncertain(call, Error::kAnswerIncomplete);
      return;
    }
    this->connections->Put(std::move(connection));
    this->JudgeRefusal(call, *refusal);
    return;
  }
  if (call->action.spec.detached) {
    const std::string id =
        answer.header.get("Mustardproxy-Task-Id", task.Text());
    if (answer.Status() != kAccepted || id != task.Text()) {
      this->Uncertain(call, Error::kAnswerIncomplete);
      return;
    }
    this->connections->Put(std::move(connection));
    this->Started(call);
    return;
  }
  Result<EndedTask> ended = ReadEnded(answer, call->action);
  if (!ended) {
    Log(Part::kWorker, Level::kWarn,
        "An answer was not the whole answer to its request.");
    this->Uncertain(call, ended.error());
    return;
  }
  this->connections->Put(std::move(connection));
  this->Ended(call, std::move(ended.value()), ReadEndNumber(answer));
}

void StartCalls::JudgeRefusal(const StartCallPtr& call,
                              const Refusal& refusal) {
  if (refusal.reason == RefusalReason::kDuplicateTask) {
    // This start did not run, but one with the same id may have: the worker
    // has seen it. It is asked what became of that one.
    this->poller.Watch(call, SteadyNow());
    return;
  }
  const bool lost_ownership = refusal.reason == RefusalReason::kStaleEpoch ||
                              refusal.reason == RefusalReason::kLeaseHeld;
  if (lost_ownership && !call->settled) {
    this->options.sink->Post(WorkerRefused{call->action.worker,
                                           call->action.epoch, refusal.highest,
                                           refusal.holder, refusal.lease_left});
  }
  this->NotStarted(call, ReasonOf(refusal));
}

void StartCalls::OnDue(const StartCallPtr& call) {
  if (SteadyNow() >= call->give_up) {
    if (!this->poller.Forget(call)) return;
    call->connection.reset();
    this->Uncertain(call, Error::kDeadlineExceeded);
    return;
  }
  const bool submitted = this->control->Submit(
      call->action.address, [this, call] { this->Probe(call); });
  if (!submitted) this->RemindLater(call);
}

void StartCalls::RemindLater(const StartCallPtr& call) {
  const Instant now = SteadyNow();
  const Duration so_far = now - call->sent_at;
  const Duration pause = std::clamp(
      so_far / kProbePart, this->options.control_timeout, kMaxProbePause);
  this->poller.Remind(call, std::min(now + pause, call->give_up));
}

// Failure guarded against: something between the two ends has lost track of the
// connection, and the answer never comes although the worker is well. It shows
// as silence past the control timeout. A question on a new connection settles
// it: what the worker says about the task id is true whatever became of the
// connection, and after "never-started" it refuses the id.
void StartCalls::Probe(const StartCallPtr& call) {
  if (call->settled) return;
  const auto state =
      this->control->QueryAnew(call->action.address, call->action.spec.task);
  if (!state) {
    this->RemindLater(call);
    return;
  }
  this->JudgeState(call, state.value());
}

void StartCalls::JudgeState(const StartCallPtr& call, const TaskState& state) {
  const bool running = state.state == TaskQueried::State::kRunning;
  if (running && !call->action.spec.detached) {
    // The old connection may be well and the task long; both ways are kept.
    this->RemindLater(call);
    return;
  }
  // If it is no longer watched, its answer is being read at this moment.
  if (!this->poller.Forget(call)) return;
  call->connection.reset();
  if (running) {
    this->Started(call);
  } else if (state.state == TaskQueried::State::kNeverStarted) {
    this->NotStarted(call, Error::kWorkerLost);
  } else if (state.has_ended) {
    this->Ended(call, state.ended, {});
  } else {
    this->Uncertain(call, Error::kResultExpired);
  }
}

void StartCalls::NotStarted(const StartCallPtr& call, std::error_code reason) {
  this->Settle(call, TaskNotStarted{call->action.worker, call->action.spec.task,
                                    reason});
}

void StartCalls::Uncertain(const StartCallPtr& call, std::error_code reason) {
  this->Settle(
      call, TaskUncertain{call->action.worker, call->action.spec.task, reason});
}

void StartCalls::Started(const StartCallPtr& call) {
  this->Settle(call, TaskStarted{call->action.worker, call->action.spec.task});
}

// Failure guarded against: an end is left out of renewals that the core was
// never told of, and its caller waits for an answer that does not come. So an
// end counts as received only if its answer came whole, was this call's one
// result, and stands in the core's queue before the renewal that leaves it out
// is written.
void StartCalls::Ended(const StartCallPtr& call, EndedTask ended,
                       const EndNumber& number) {
  const WorkerId& worker = call->action.worker;
  if (!this->Settle(call, TaskEnded{worker, std::move(ended)})) return;
  this->received->Add(worker, number);
}

bool StartCalls::Settle(const StartCallPtr& call, Event event) {
  if (call->settled.exchange(true)) return false;
  this->options.sink->Post(std::move(event));
  this->in_flight.Leave(call->action.worker);
  return true;
}

}  // namespace mustardproxy::worker_detail
