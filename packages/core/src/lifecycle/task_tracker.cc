#include "lifecycle/task_tracker.h"

#include <algorithm>
#include <string>
#include <utility>

#include "lifecycle/parts.h"
#include "lifecycle/task_pauses.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::detail {
namespace {

constexpr std::size_t kRecentTasks = 4096;

}  // namespace

TaskTracker::Tracked* TaskTracker::Find(const TaskId& task) {
  const auto found = this->tasks.find(task);
  return found == this->tasks.end() ? nullptr : &found->second;
}

void TaskTracker::Plan(TaskPlan plan) {
  Tracked tracked;
  tracked.since = this->parts->context.now;
  tracked.plan = std::move(plan);
  const TaskId task = tracked.plan.task;
  this->by_worker[tracked.plan.worker].insert(task);
  this->tasks[task] = std::move(tracked);
}

void TaskTracker::Watch(TaskPlan plan) {
  const TaskId task = plan.task;
  // Failure: work is adopted back by the process that started it, whose
  // scheduler still has the task's resources allocated. Tracked as a task of
  // another process, it would never release them.
  const Tracked* known = this->Find(task);
  const bool placed = known != nullptr && known->placed;
  this->Plan(std::move(plan));
  Tracked* tracked = this->Find(task);
  tracked->placed = placed;
  tracked->phase = Phase::kSent;
  tracked->uncertain = true;
  this->QueryWorker(tracked);
}

void TaskTracker::Send(const TaskId& task, Body body, Duration timeout) {
  Tracked* tracked = this->Find(task);
  if (tracked == nullptr || tracked->phase != Phase::kPlanned) {
    return;
  }
  const Instant now = this->parts->context.now;
  const TaskPlan& plan = tracked->plan;
  const std::optional<OwnedWorker> owned =
      this->parts->ownership.OwnedForStart(now, plan.worker);
  // Between the placement and this call the lease may have been lost or the
  // worker may have started to leave, for example while a *started* record was
  // being written. Then there is no lease, or a newer one under which the
  // task's resources were not allocated. Such a task is placed again.
  if (!owned || owned->epoch != plan.epoch) {
    this->Settle(task, TaskUpdate::Kind::kNeverStarted, {}, Error::kStaleEpoch);
    return;
  }
  StartTask start;
  start.worker = plan.worker;
  start.address = owned->description.address;
  start.epoch = plan.epoch;
  start.spec.task = plan.task;
  start.spec.request = plan.request;
  start.spec.service = plan.service;
  start.spec.resources = plan.resources;
  start.spec.max_run = plan.max_run;
  start.spec.body = std::move(body);
  start.spec.detached = plan.detached;
  start.timeout = timeout;
  this->parts->context.Emit(std::move(start));
  this->parts->context.Record(TaskEvent(
      TimelineKind::kTaskStarted, plan.request, task, plan.worker, plan.epoch));
  this->parts->ownership.OnStartSent(now, plan.worker);
  tracked->phase = Phase::kSent;
  tracked->since = now;
  this->ScheduleCheck(tracked, timeout + kReportTimeout);
}

void TaskTracker::Withdraw(const TaskId& task) {
  Tracked* tracked = this->Find(task);
  if (tracked == nullptr || tracked->phase != Phase::kPlanned) {
    return;
  }
  tracked->disowned = true;
  this->Settle(task, TaskUpdate::Kind::kNeverStarted);
}

void TaskTracker::Stop(const TaskId& task, bool checkpoint) {
  Tracked* tracked = this->Find(task);
  if (tracked == nullptr) {
    return;
  }
  if (tracked->phase == Phase::kPlanned) {
    this->Settle(task, TaskUpdate::Kind::kNeverStarted, {}, Error::kCancelled);
    return;
  }
  tracked->stop_wanted = true;
  tracked->checkpoint = checkpoint;
  this->SendStop(tracked);
}

void TaskTracker::Disown(const TaskId& task) {
  Tracked* tracked = this->Find(task);
  if (tracked == nullptr) {
    return;
  }
  tracked->disowned = true;
  if (tracked->phase == Phase::kPlanned) {
    this->Settle(task, TaskUpdate::Kind::kNeverStarted);
  }
}

void TaskTracker::SendStop(Tracked* tracked) {
  const std::optional<OwnedWorker> owned =
      this->parts->ownership.HeldLease(tracked->plan.worker);
  this->ScheduleCheck(tracked, kStopTimeout);
  if (!owned) {
    this->StopAtOwner(*tracked);
    return;
  }
  StopTask stop;
  stop.worker = tracked->plan.worker;
  stop.address = owned->description.address;
  stop.epoch = owned->epoch;
  stop.task = tracked->plan.task;
  stop.checkpoint = tracked->checkpoint;
  this->parts->context.Emit(std::move(stop));
  tracked->stop_sent = true;
}

void TaskTracker::StopAtOwner(const Tracked& tracked) {
  // Failure: another process takes a worker over while tasks of this process
  // run there, and the worker refuses stop orders of this process from then on.
  // Tasks of disconnected callers then occupy the worker until they end. The
  // peer that owns the worker has found the task there and stops it; the other
  // peers have nothing to stop. A disowned task is left to the process that
  // tracks it now, and a task to be checkpointed is not stopped without a
  // checkpoint.
  if (!tracked.disowned && !tracked.checkpoint) {
    this->parts->StopAtPeers(tracked.plan.request);
  }
}

void TaskTracker::On(const TaskStarted& event) {
  this->parts->ownership.OnStartAnswered(this->parts->context.now,
                                         event.worker);
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr || tracked->phase != Phase::kSent) {
    return;
  }
  this->OnReportedRunning(tracked);
}

void TaskTracker::On(const TaskEnded& event) {
  this->parts->ownership.OnStartAnswered(this->parts->context.now,
                                         event.worker);
  this->Settle(event.ended.task, TaskUpdate::Kind::kEnded, event.ended);
}

void TaskTracker::On(const TaskNotStarted& event) {
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr || tracked->phase != Phase::kSent) {
    return;
  }
  if (event.reason == Error::kStaleEpoch) {
    this->parts->ownership.OnStartRefused(this->parts->context.now,
                                          event.worker);
  }
  this->Settle(event.task, TaskUpdate::Kind::kNeverStarted, {}, event.reason);
}

void TaskTracker::On(const TaskUncertain& event) {
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr) {
    return;
  }
  tracked->uncertain = true;
  this->QueryWorker(tracked);
}

void TaskTracker::On(const TaskStopAnswered& event) {
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr) {
    return;
  }
  if (!event.stopped) {
    // A stop can overtake its start. Only a query settles this: after it the
    // worker refuses the late start.
    this->QueryWorker(tracked);
    return;
  }
  EndedTask ended;
  ended.task = event.task;
  ended.request = tracked->plan.request;
  ended.end = tracked->checkpoint ? TaskEnd::kCheckpointed : TaskEnd::kStopped;
  ended.status = 0;
  this->parts->context.Record(
      TaskEvent(TimelineKind::kTaskStopped, ended.request, event.task,
                tracked->plan.worker, tracked->plan.epoch));
  this->Settle(event.task, TaskUpdate::Kind::kEnded, ended);
}

void TaskTracker::OnReport(const WorkerReport& report) {
  for (const EndedTask& ended : report.ended) {
    this->Settle(ended.task, TaskUpdate::Kind::kEnded, ended);
  }
  for (const RunningTask& running : report.running) {
    Tracked* tracked = this->Find(running.task);
    if (tracked != nullptr && tracked->phase != Phase::kPlanned) {
      this->OnReportedRunning(tracked);
    }
  }
  this->QueryMissingTasks(report);
  this->CountConfirmations(report);
}

void TaskTracker::OnWorkerRestarted(const WorkerId& worker,
                                    Incarnation incarnation) {
  for (const TaskId& task : this->TasksAt(worker)) {
    const Tracked* tracked = this->Find(task);
    if (tracked->plan.worker_incarnation == incarnation) {
      continue;
    }
    if (tracked->phase == Phase::kPlanned) {
      this->Settle(task, TaskUpdate::Kind::kNeverStarted, {},
                   Error::kWorkerLost);
    } else if (tracked->plan.worker_incarnation != 0) {
      this->Settle(task, TaskUpdate::Kind::kLost, {}, Error::kWorkerLost);
    }
  }
}

void TaskTracker::OnWorkerLost(const WorkerId& worker) {
  for (const TaskId& task : this->TasksAt(worker)) {
    Tracked* tracked = this->Find(task);
    // Its end will no longer be reported with a renewal.
    if (tracked->phase == Phase::kRunning && tracked->plan.detached) {
      this->ScheduleCheck(tracked, kInitialPollDelay);
    }
  }
}

void TaskTracker::OnRenewalSent(const WorkerId& worker) {
  this->renewals[worker] = this->parts->context.now;
}

void TaskTracker::Tick() {
  for (const TaskId& task : this->checks.TakeDue(this->parts->context.now)) {
    Tracked* tracked = this->Find(task);
    if (tracked != nullptr) {
      tracked->query_pending = false;
      this->QueryWorker(tracked);
    }
  }
}

std::vector<TaskUpdate> TaskTracker::TakeUpdates() {
  return std::exchange(this->updates, {});
}

void TaskTracker::ScheduleCheck(Tracked* tracked, Duration delay) {
  this->checks.Set(tracked->plan.task, this->parts->context.now + delay);
}

void TaskTracker::OnReportedRunning(Tracked* tracked) {
  tracked->confirmations = 0;
  if (tracked->phase != Phase::kSent) {
    return;
  }
  tracked->phase = Phase::kRunning;
  this->Report(*tracked, TaskUpdate::Kind::kStarted);
  if (tracked->plan.detached) {
    this->ScheduleCheck(tracked, kDetachedPollInterval);
  }
}

void TaskTracker::Report(const Tracked& tracked, TaskUpdate::Kind kind) {
  TaskUpdate each;
  each.kind = kind;
  each.task = tracked.plan.task;
  each.request = tracked.plan.request;
  each.worker = tracked.plan.worker;
  if (tracked.disowned) {
    each.request = RequestId();
  }
  this->updates.push_back(std::move(each));
}

void TaskTracker::Settle(const TaskId& task, TaskUpdate::Kind kind,
                         EndedTask ended, std::error_code reason) {
  const auto settled = this->tasks.extract(task);
  if (settled.empty()) {
    return;
  }
  const TaskId& id = settled.key();
  const Tracked& tracked = settled.mapped();
  const TaskPlan& plan = tracked.plan;
  if (kind == TaskUpdate::Kind::kEnded) {
    this->parts->context.Record(TaskEvent(
        TimelineKind::kTaskEnded, plan.request, id, plan.worker, plan.epoch));
  }
  this->Report(tracked, kind);
  this->updates.back().ended = std::move(ended);
  this->updates.back().reason = reason;
  if (tracked.placed) {
    const bool ran = kind == TaskUpdate::Kind::kEnded;
    this->parts->scheduler.OnTaskEnded(this->parts->context.now,
                                       &this->parts->ledger, id, ran);
  } else {
    // Failure: the task was tracked before this process took its worker over.
    // The ledger then allocated its resources from the worker's report and
    // nothing freed them, so work waited while the worker was idle. The task
    // certainly does not run now.
    this->parts->ledger.Release(plan.worker, id);
  }
  const auto at = this->by_worker.find(plan.worker);
  at->second.erase(id);
  if (at->second.empty()) {
    this->by_worker.erase(at);
  }
  this->checks.Clear(id);
  this->parts->consent.Forget(plan.request);
  this->RecordEnded(id);
}

void TaskTracker::RecordEnded(const TaskId& task) {
  if (!this->recently_ended.insert(task).second) {
    return;
  }
  this->recently_ended_order.push_back(task);
  if (this->recently_ended_order.size() > kRecentTasks) {
    this->recently_ended.erase(this->recently_ended_order.front());
    this->recently_ended_order.pop_front();
  }
}

std::vector<TaskId> TaskTracker::TasksAt(const WorkerId& worker) const {
  const auto found = this->by_worker.find(worker);
  if (found == this->by_worker.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

}  // namespace mustardproxy::detail
