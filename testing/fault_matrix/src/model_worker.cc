#include "model_worker.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "mustardproxy/core/error.h"

namespace mustardproxy::fault_matrix {
namespace {

/// Length of a task's lease, as the entry processes are told.
constexpr Duration kTaskLease = std::chrono::seconds(4);
constexpr std::int32_t kFailedStatus = 500;

}  // namespace

ModelWorker::ModelWorker(Simulation* simulation, Promises* promises,
                         WorkerDescription description, Resources capacity,
                         Rules rules)
    : Node(simulation, description.id.Text()),
      promises(promises),
      description(std::move(description)),
      capacity(capacity),
      rules(rules) {}

void ModelWorker::Start() { this->Begin(); }

void ModelWorker::OnStarted() {
  this->incarnation =
      static_cast<Incarnation>(this->simulation->Draw(1, INT32_MAX));
}

void ModelWorker::OnKilled() {
  for (const auto& [task, about] : this->tasks) {
    this->promises->OnRunEnded(this->description.id, task, about.about.request,
                               TaskEnd::kStopped,
                               this->simulation->Now() - about.started);
  }
  this->tasks.clear();
  this->seen.clear();
  this->ended.clear();
  this->ended_order.clear();
  this->highest = 0;
  this->attached = false;
  this->holder = ProcessId();
  this->lease_until = Instant();
}

void ModelWorker::OnResumed() { this->Lapse(); }

bool ModelWorker::HeldBy(const ProcessId& process,
                         Incarnation process_run) const {
  return this->attached && this->holder == process &&
         this->holder_run == process_run &&
         this->simulation->Now() < this->lease_until;
}

void ModelWorker::FailAll(Duration lasting) {
  this->fails_until = this->simulation->Now() + lasting;
}

void ModelWorker::Heal() { this->fails_until = Instant(); }

bool ModelWorker::Accepts(Epoch epoch) const {
  const bool in_force = this->simulation->Now() < this->lease_until;
  return this->attached && epoch == this->highest &&
         (in_force || !this->rules.refuses_after_lapse);
}

WorkerRefused ModelWorker::Refusal(Epoch epoch) const {
  WorkerRefused refused;
  refused.worker = this->description.id;
  refused.epoch = epoch;
  refused.highest = this->highest;
  refused.holder = this->attached ? this->holder : ProcessId();
  const Duration left = this->lease_until - this->simulation->Now();
  refused.lease_left = std::max(left, Duration{0});
  return refused;
}

Event ModelWorker::Attach(const AttachWorker& call, const ProcessId& process,
                          Incarnation process_run) {
  this->Lapse();
  const bool same = this->holder == process && this->holder_run == process_run;
  const bool repeat = this->attached && call.epoch == this->highest && same;
  const bool free =
      !this->attached || this->simulation->Now() >= this->lease_until || same;
  const bool accepted = repeat || (call.epoch > this->highest && free);
  if (!accepted) {
    return this->Refusal(call.epoch);
  }
  this->highest = call.epoch;
  this->attached = true;
  this->holder = process;
  this->holder_run = process_run;
  this->lease = call.lease;
  this->lease_until = this->simulation->Now() + call.lease;
  return WorkerAttached{this->Report(0)};
}

Event ModelWorker::Renew(const RenewWorker& call) {
  this->Lapse();
  if (!this->Accepts(call.epoch)) {
    return this->Refusal(call.epoch);
  }
  const Instant now = this->simulation->Now();
  this->lease_until = now + this->lease;
  for (auto& [id, task] : this->tasks) {
    task.lease_until = now + kTaskLease;
  }
  return WorkerRenewed{this->Report(call.ended_sequence)};
}

Event ModelWorker::Release(const ReleaseWorker& call) {
  this->Lapse();
  if (!this->Accepts(call.epoch)) {
    return this->Refusal(call.epoch);
  }
  this->attached = false;
  this->lease_until = this->simulation->Now();
  return WorkerReleased{this->description.id, call.epoch};
}

Event ModelWorker::Stop(const StopTask& call) {
  this->Lapse();
  if (!this->Accepts(call.epoch)) {
    return this->Refusal(call.epoch);
  }
  const bool running = this->tasks.contains(call.task);
  if (running) {
    this->EndTask(call.task,
                  call.checkpoint ? TaskEnd::kCheckpointed : TaskEnd::kStopped,
                  0);
  }
  return TaskStopAnswered{this->description.id, call.task, running};
}

Event ModelWorker::Query(const QueryTask& call) {
  this->Lapse();
  TaskQueried answer;
  answer.worker = this->description.id;
  answer.task = call.task;
  if (this->rules.names_incarnation) {
    answer.incarnation = this->incarnation;
  }
  const auto over = this->ended.find(call.task);
  if (this->tasks.contains(call.task)) {
    answer.state = TaskQueried::State::kRunning;
  } else if (over != this->ended.end()) {
    answer.state = TaskQueried::State::kEnded;
    answer.ended = over->second;
  } else {
    answer.state = TaskQueried::State::kNeverStarted;
    this->seen.insert(call.task);
  }
  return answer;
}

void ModelWorker::StartTaskHere(const StartTask& call, const TaskScript& script,
                                std::function<void(Event)> answer) {
  this->Lapse();
  const TaskSpec& spec = call.spec;
  if (!this->Accepts(call.epoch)) {
    answer(TaskNotStarted{call.worker, spec.task, Error::kStaleEpoch});
    return;
  }
  if (!this->seen.insert(spec.task).second) {
    answer(TaskNotStarted{call.worker, spec.task, Error::kConflict});
    return;
  }
  const Instant now = this->simulation->Now();
  this->lease_until = now + this->lease;
  Task task;
  task.about = {spec.task, spec.request, spec.service, spec.resources, {}};
  task.started = now;
  task.ends = now + script.run;
  task.stop_by = now + spec.max_run;
  task.lease_until = now + kTaskLease;
  task.status = now < this->fails_until ? kFailedStatus : script.status;
  if (task.status >= kFailedStatus) {
    task.ends = now + Duration(1);
  }
  if (spec.detached) {
    answer(TaskStarted{call.worker, spec.task});
  } else {
    task.answer = std::move(answer);
  }
  this->promises->OnRun(this->description.id, spec.task, spec.request);
  const Instant first_check = std::min(task.ends, task.lease_until);
  this->tasks.emplace(spec.task, std::move(task));
  this->promises->OnLoad(this->description.id, this->Used(), this->capacity);
  this->CheckAt(first_check);
}

void ModelWorker::CheckAt(Instant when) {
  this->simulation->At(when, [this, run = this->Run()] {
    if (this->Run() == run) {
      this->Receive([this] { this->Lapse(); });
    }
  });
}

void ModelWorker::Lapse() {
  const Instant now = this->simulation->Now();
  std::vector<TaskId> all;
  for (const auto& [id, task] : this->tasks) {
    all.push_back(id);
  }
  for (const TaskId& id : all) {
    const Task& task = this->tasks.at(id);
    const Instant stopped = std::min(task.stop_by, task.lease_until);
    if (task.ends <= now && task.ends <= stopped) {
      const bool failed = task.status >= kFailedStatus;
      this->EndTask(id, failed ? TaskEnd::kFailed : TaskEnd::kFinished,
                    task.status);
    } else if (stopped <= now) {
      this->EndTask(id, TaskEnd::kStopped, 0);
    } else {
      this->CheckAt(std::min(task.ends, stopped));
    }
  }
}

void ModelWorker::EndTask(const TaskId& task, TaskEnd end,
                          std::int32_t status) {
  const auto found = this->tasks.find(task);
  EndedTask over;
  over.task = task;
  over.request = found->second.about.request;
  over.end = end;
  over.status = status;
  over.content_type = "text/plain";
  over.body = std::make_shared<const std::string>(
      std::string("answer to ").append(over.request.Text()));
  over.run_time = this->simulation->Now() - found->second.started;
  const std::function<void(Event)> answer = std::move(found->second.answer);
  this->tasks.erase(found);
  this->ended[over.task] = over;
  this->ended_order.push_back(over.task);
  this->promises->OnRunEnded(this->description.id, over.task, over.request, end,
                             over.run_time);
  if (answer) {
    answer(TaskEnded{this->description.id, over});
  }
}

WorkerReport ModelWorker::Report(std::uint64_t after) const {
  WorkerReport report;
  report.worker = this->description.id;
  report.epoch = this->highest;
  report.incarnation = this->incarnation;
  report.capacity = this->capacity;
  for (const auto& [id, task] : this->tasks) {
    report.running.push_back(task.about);
    report.running.back().running_for = this->simulation->Now() - task.started;
  }
  for (std::size_t i = after; i < this->ended_order.size(); ++i) {
    report.ended.push_back(this->ended.at(this->ended_order[i]));
  }
  report.ended_sequence = this->ended_order.size();
  report.usage = this->Used();
  return report;
}

Resources ModelWorker::Used() const {
  Resources used;
  for (const auto& [id, task] : this->tasks) {
    used += task.about.resources;
  }
  return used;
}

}  // namespace mustardproxy::fault_matrix
