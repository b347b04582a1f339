#include <algorithm>
#include <utility>

#include "entry_process.h"

// What an entry process sends to workers.
namespace mustardproxy::fault_matrix {
namespace {

constexpr Duration kControlTimeout = std::chrono::milliseconds(800);
/// A start to a leaving worker is allowed for this long after the process
/// learnt of it.
constexpr Duration kLeavingGrace = std::chrono::seconds(2);
/// Faults strike a running task within this time of its start.
constexpr Duration kLatestMoment = std::chrono::seconds(2);

}  // namespace

void EntryProcess::CallWorker(const WorkerId& worker, Step step,
                              std::function<Event(ModelWorker*)> work,
                              Event lost) {
  ModelWorker* model = this->around->workers.at(worker);
  Call call;
  call.from = this;
  call.to = model;
  call.step = step;
  call.timeout = kControlTimeout;
  call.work = [this, model, work = std::move(work)](const Respond& respond) {
    respond([this, event = work(model)] { this->Handle(event); });
  };
  call.lost = [this, lost = std::move(lost)] { this->Handle(lost); };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const AttachWorker& action) {
  const ProcessId& last = this->around->workers.at(action.worker)->LastHolder();
  const bool takeover = !last.Empty() && last != this->Id();
  this->CallWorker(
      action.worker, takeover ? Step::kTakeover : Step::kAttach,
      [this, action,
       process_run = this->options.incarnation](ModelWorker* worker) {
        return worker->Attach(action, this->Id(), process_run);
      },
      WorkerUnreachable{action.worker, action.epoch});
}

void EntryProcess::Do(const RenewWorker& action) {
  this->CallWorker(
      action.worker, Step::kRenew,
      [action](ModelWorker* worker) { return worker->Renew(action); },
      WorkerUnreachable{action.worker, action.epoch});
}

void EntryProcess::Do(const ReleaseWorker& action) {
  this->CallWorker(
      action.worker, Step::kRelease,
      [action](ModelWorker* worker) { return worker->Release(action); },
      WorkerUnreachable{action.worker, action.epoch});
}

void EntryProcess::Do(const StopTask& action) {
  this->CallWorker(
      action.worker, Step::kStop,
      [action](ModelWorker* worker) { return worker->Stop(action); },
      WorkerUnreachable{action.worker, action.epoch});
}

void EntryProcess::Do(const QueryTask& action) {
  TaskQueried unreachable;
  unreachable.worker = action.worker;
  unreachable.task = action.task;
  this->CallWorker(
      action.worker, Step::kQueryTask,
      [action](ModelWorker* worker) { return worker->Query(action); },
      unreachable);
}

void EntryProcess::Do(const StartTask& action) {
  ModelWorker* worker = this->around->workers.at(action.worker);
  const auto leaving = this->leaving_since.find(action.worker);
  if (leaving != this->leaving_since.end() &&
      this->simulation->Now() - leaving->second > kLeavingGrace) {
    this->around->promises->OnStartAtLeaving(action.worker);
  }
  const TaskId task = action.spec.task;
  Call call;
  call.from = this;
  call.to = worker;
  call.step =
      action.spec.detached ? Step::kStartDetached : Step::kStartAttached;
  call.timeout = action.timeout;
  call.work = [this, worker, action](const Respond& respond) {
    const TaskScript script = this->around->script(action.spec.request);
    worker->StartTaskHere(action, script, [this, respond](const Event& event) {
      respond([this, event] { this->Handle(event); });
    });
    this->WatchRun(action, worker, script.run);
  };
  call.not_sent = [this, id = action.worker, task] {
    this->Handle(TaskNotStarted{id, task, {}});
  };
  call.lost = [this, id = action.worker, task] {
    this->Handle(TaskUncertain{id, task, {}});
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::WatchRun(const StartTask& action, ModelWorker* worker,
                            Duration run) {
  const TaskId& task = action.spec.task;
  if (!worker->Runs(task)) {
    return;
  }
  const Step step =
      action.spec.detached ? Step::kDetachedTaskRuns : Step::kTaskRuns;
  const Duration pause =
      this->simulation->Draw(Duration{1}, std::min(run, kLatestMoment));
  this->simulation->After(pause, [this, task, worker, step] {
    if (!this->Alive() || !worker->Runs(task)) {
      return;
    }
    Call moment;
    moment.from = this;
    moment.to = worker;
    moment.step = step;
    this->around->network->Reach(moment);
  });
}

}  // namespace mustardproxy::fault_matrix
