#include "mustardproxy/worker/worker_link.h"

#include <string>
#include <utility>

#include "control_client.h"
#include "messages.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/http/connection_pool.h"
#include "received_ends.h"
#include "start_calls.h"

namespace mustardproxy {
namespace {

using worker_detail::Refusal;
using worker_detail::RefusalReason;

constexpr int kOk = 200;
constexpr int kConflict = 409;

http::HttpRequest Post(std::string path, const std::string& body) {
  http::HttpRequest request;
  request.method = "POST";
  request.path = std::move(path);
  request.content_type = "application/json";
  request.body = body;
  return request;
}

Result<Refusal> RefusalIn(const http::HttpReply& answer) {
  if (answer.Status() != kConflict) {
    return make_error_code(Error::kMalformedReply);
  }
  return worker_detail::ParseRefusal(answer.body);
}

WorkerRefused Refused(const WorkerId& worker, Epoch epoch,
                      const Refusal& refusal) {
  return {worker, epoch, refusal.highest, refusal.holder, refusal.lease_left};
}

}  // namespace

struct WorkerLink::State {
  State(worker_detail::Sender sender, std::int32_t threads,
        Duration control_timeout, EventSink* sink, Metrics* metrics)
      : sender(std::move(sender)),
        sink(sink),
        control(&this->connections, control_timeout, metrics),
        starts({this->sender, threads, control_timeout, sink},
               &this->connections, &this->control, &this->received) {}

  /// Runs a control call, or reports that the worker can not be asked.
  template <typename Action>
  void Submit(const Action& action, void (State::*run)(const Action&));
  template <typename Action>
  void ReportUnreachable(const Action& action);

  void Run(const AttachWorker& action);
  void Run(const RenewWorker& action);
  void Run(const ReleaseWorker& action);
  void Run(const StopTask& action);
  void Run(const QueryTask& action);
  /// @return the report of an attach or renewal; empty after posting another
  ///   event
  template <typename Action>
  Result<WorkerReport> CallForReport(const Action& action,
                                     const std::string& path,
                                     const std::string& body);

  worker_detail::Sender sender;
  EventSink* sink;
  http::ConnectionPool connections;
  worker_detail::ControlClient control;
  worker_detail::ReceivedEnds received;
  worker_detail::StartCalls starts;
};

template <typename Action>
void WorkerLink::State::ReportUnreachable(const Action& action) {
  this->sink->Post(WorkerUnreachable{action.worker, action.epoch});
}

template <>
void WorkerLink::State::ReportUnreachable(const QueryTask& action) {
  TaskQueried queried;
  queried.worker = action.worker;
  queried.task = action.task;
  this->sink->Post(std::move(queried));
}

template <typename Action>
void WorkerLink::State::Submit(const Action& action,
                               void (State::*run)(const Action&)) {
  const bool submitted = this->control.Submit(
      action.address, [this, action, run] { (this->*run)(action); });
  if (!submitted) this->ReportUnreachable(action);
}

template <typename Action>
Result<WorkerReport> WorkerLink::State::CallForReport(const Action& action,
                                                      const std::string& path,
                                                      const std::string& body) {
  const auto answer = this->control.Call(action.address, Post(path, body));
  if (!answer) {
    this->ReportUnreachable(action);
    return answer.error();
  }
  if (const auto refusal = RefusalIn(answer.value())) {
    this->sink->Post(Refused(action.worker, action.epoch, refusal.value()));
    return make_error_code(Error::kStaleEpoch);
  }
  auto report = worker_detail::ParseReport(answer.value().body);
  const bool ours = report && answer.value().Status() == kOk &&
                    report.value().worker == action.worker &&
                    report.value().epoch == action.epoch;
  if (!ours) {
    this->ReportUnreachable(action);
    return make_error_code(Error::kMalformedReply);
  }
  this->starts.Limit(action.worker, report.value().connections);
  return report;
}

void WorkerLink::State::Run(const AttachWorker& action) {
  auto report = this->CallForReport(
      action, "/v1/attach", worker_detail::AttachBody(this->sender, action));
  if (report) this->sink->Post(WorkerAttached{std::move(report.value())});
}

void WorkerLink::State::Run(const RenewWorker& action) {
  const auto known = this->received.After(action.worker, action.ended_sequence);
  auto report = this->CallForReport(
      action, "/v1/renew",
      worker_detail::RenewBody(this->sender, action, known));
  if (report) this->sink->Post(WorkerRenewed{std::move(report.value())});
}

void WorkerLink::State::Run(const ReleaseWorker& action) {
  const auto answer = this->control.Call(
      action.address,
      Post("/v1/release", worker_detail::ReleaseBody(this->sender, action)));
  if (!answer) {
    this->ReportUnreachable(action);
    return;
  }
  this->received.Forget(action.worker);
  const auto refusal = RefusalIn(answer.value());
  // Refused under the same epoch: it was released before, for example by the
  // first try of this call, whose answer was lost.
  const bool released = refusal ? refusal.value().highest == action.epoch
                                : answer.value().Status() == kOk;
  if (released) {
    this->sink->Post(WorkerReleased{action.worker, action.epoch});
  } else if (refusal) {
    this->sink->Post(Refused(action.worker, action.epoch, refusal.value()));
  } else {
    this->ReportUnreachable(action);
  }
}

void WorkerLink::State::Run(const StopTask& action) {
  const auto answer = this->control.Call(
      action.address, Post(worker_detail::TaskPath(action.task) + "/stop",
                           worker_detail::StopBody(action)));
  if (!answer) {
    this->ReportUnreachable(action);
    return;
  }
  if (const auto refusal = RefusalIn(answer.value())) {
    if (refusal.value().reason == RefusalReason::kUnknownTask) {
      this->sink->Post(TaskStopAnswered{action.worker, action.task, false});
      return;
    }
    this->sink->Post(Refused(action.worker, action.epoch, refusal.value()));
    return;
  }
  const auto stopped = worker_detail::ParseStopped(answer.value().body);
  if (!stopped || answer.value().Status() != kOk) {
    this->ReportUnreachable(action);
    return;
  }
  this->sink->Post(
      TaskStopAnswered{action.worker, action.task, stopped.value()});
}

void WorkerLink::State::Run(const QueryTask& action) {
  const auto state = this->control.QueryAnew(action.address, action.task);
  const bool lost_result = state &&
                           state.value().state == TaskQueried::State::kEnded &&
                           !state.value().has_ended;
  if (!state || lost_result) {
    this->ReportUnreachable(action);
    return;
  }
  this->sink->Post(TaskQueried{action.worker, action.task, state.value().state,
                               state.value().ended});
}

WorkerLink::WorkerLink(std::unique_ptr<State> state)
    : state(std::move(state)) {}

WorkerLink::~WorkerLink() { this->Stop(); }

void WorkerLink::Stop() {
  this->state->starts.Stop();
  this->state->control.Stop();
}

void WorkerLink::Perform(const AttachWorker& action) {
  this->state->Submit(action, &State::Run);
}

void WorkerLink::Perform(const RenewWorker& action) {
  this->state->Submit(action, &State::Run);
}

void WorkerLink::Perform(const ReleaseWorker& action) {
  this->state->Submit(action, &State::Run);
}

void WorkerLink::Perform(const StartTask& action) {
  this->state->starts.Begin(action);
}

void WorkerLink::Perform(const StopTask& action) {
  this->state->Submit(action, &State::Run);
}

void WorkerLink::Perform(const QueryTask& action) {
  this->state->Submit(action, &State::Run);
}

WorkerLink::Builder& WorkerLink::Builder::Holder(ProcessId id,
                                                 Incarnation run) {
  this->process = std::move(id);
  this->incarnation = run;
  return *this;
}

WorkerLink::Builder& WorkerLink::Builder::Threads(std::int32_t count) {
  this->threads = count;
  return *this;
}

WorkerLink::Builder& WorkerLink::Builder::ControlTimeout(Duration timeout) {
  this->control_timeout = timeout;
  return *this;
}

WorkerLink::Builder& WorkerLink::Builder::TaskLease(Duration lease) {
  this->task_lease = lease;
  return *this;
}

WorkerLink::Builder& WorkerLink::Builder::Sink(EventSink* events) {
  this->sink = events;
  return *this;
}

WorkerLink::Builder& WorkerLink::Builder::Measure(Metrics* samples) {
  this->metrics = samples;
  return *this;
}

std::unique_ptr<WorkerLink> WorkerLink::Builder::Build() {
  return std::unique_ptr<WorkerLink>(new WorkerLink(std::make_unique<State>(
      worker_detail::Sender{this->process, this->incarnation, this->task_lease},
      this->threads, this->control_timeout, this->sink, this->metrics)));
}

}  // namespace mustardproxy
