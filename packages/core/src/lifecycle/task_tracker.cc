#include "lifecycle/task_tracker.h"

#include <algorithm>
#include <string>
#include <utility>

#include "lifecycle/parts.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::detail {
namespace {

/// First pause before a task whose answer was lost is asked about again.
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::seconds(1);
/// Pause between questions about a detached task whose end should come with a
/// renewal.
constexpr Duration kBackupPause = std::chrono::seconds(10);
/// Pause until a stop order that got no answer is followed up.
constexpr Duration kStopPatience = std::chrono::seconds(1);
/// Time after a start's timeout in which its result is surely reported.
constexpr Duration kReportPatience = std::chrono::seconds(5);
/// Covers the time a renewal travels and the drift between two clocks over one
/// task lease.
constexpr Duration kLeaseMargin = std::chrono::seconds(1);
/// Another renewal may be on its way already when one is sent on purpose, so
/// only the second answer surely belongs to a renewal sent later.
constexpr std::int32_t kConfirmingRenewals = 2;
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
  this->Plan(std::move(plan));
  Tracked* tracked = this->Find(task);
  tracked->placed = false;
  tracked->phase = Phase::kSent;
  tracked->unclear = true;
  this->Ask(tracked);
}

void TaskTracker::Send(const TaskId& task, Body body, Duration timeout) {
  Tracked* tracked = this->Find(task);
  if (tracked == nullptr || tracked->phase != Phase::kPlanned) {
    return;
  }
  const Instant now = this->parts->context.now;
  const TaskPlan& plan = tracked->plan;
  const std::optional<OwnedWorker> owned =
      this->parts->ownership.Owned(now, plan.worker);
  // The lease may have been lost, or the host may have begun to leave, between
  // the placement and this send, for example while a *started* record was on
  // its way to the platform. Such a task is placed again.
  if (!owned || owned->epoch != plan.epoch || owned->description.leaving) {
    this->Settle(task, TaskNews::Kind::kNeverStarted, {}, Error::kStaleEpoch);
    return;
  }
  StartTask start;
  start.worker = plan.worker;
  start.address = owned->description.address;
  start.epoch = plan.epoch;
  start.order.task = plan.task;
  start.order.request = plan.request;
  start.order.service = plan.service;
  start.order.resources = plan.resources;
  start.order.max_run = plan.max_run;
  start.order.body = std::move(body);
  start.order.detached = plan.detached;
  start.timeout = timeout;
  this->parts->context.Emit(std::move(start));
  this->parts->context.Record(TaskEvent(
      TimelineKind::kTaskStarted, plan.request, task, plan.worker, plan.epoch));
  this->parts->ownership.OnStartSent(now, plan.worker);
  tracked->phase = Phase::kSent;
  tracked->since = now;
  this->CheckAfter(tracked, timeout + kReportPatience);
}

void TaskTracker::Withdraw(const TaskId& task) {
  Tracked* tracked = this->Find(task);
  if (tracked == nullptr || tracked->phase != Phase::kPlanned) {
    return;
  }
  tracked->disowned = true;
  this->Settle(task, TaskNews::Kind::kNeverStarted);
}

void TaskTracker::Stop(const TaskId& task, bool checkpoint) {
  Tracked* tracked = this->Find(task);
  if (tracked == nullptr) {
    return;
  }
  if (tracked->phase == Phase::kPlanned) {
    this->Settle(task, TaskNews::Kind::kNeverStarted, {}, Error::kCancelled);
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
    this->Settle(task, TaskNews::Kind::kNeverStarted);
  }
}

void TaskTracker::SendStop(Tracked* tracked) {
  const std::optional<OwnedWorker> owned =
      this->parts->ownership.Held(tracked->plan.worker);
  this->CheckAfter(tracked, kStopPatience);
  if (!owned) {
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

void TaskTracker::On(const TaskStarted& event) {
  this->parts->ownership.OnTraffic(this->parts->context.now, event.worker);
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr || tracked->phase != Phase::kSent) {
    return;
  }
  this->OnReportedRunning(tracked);
}

void TaskTracker::On(const TaskEnded& event) {
  this->parts->ownership.OnTraffic(this->parts->context.now, event.worker);
  this->Settle(event.ended.task, TaskNews::Kind::kEnded, event.ended);
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
  this->Settle(event.task, TaskNews::Kind::kNeverStarted, {}, event.reason);
}

void TaskTracker::On(const TaskUncertain& event) {
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr) {
    return;
  }
  tracked->unclear = true;
  this->Ask(tracked);
}

void TaskTracker::On(const TaskQueried& event) {
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr || !tracked->asking) {
    return;
  }
  tracked->asking = false;
  switch (event.state) {
    case TaskQueried::State::kNeverStarted:
      this->ConfirmNeverStarted(tracked, event.incarnation);
      return;
    case TaskQueried::State::kEnded:
      this->Settle(event.task, TaskNews::Kind::kEnded, event.ended);
      return;
    case TaskQueried::State::kRunning:
      this->OnStillRunning(tracked);
      return;
    case TaskQueried::State::kUnreachable:
      this->OnNotReachable(tracked);
      return;
  }
}

void TaskTracker::On(const TaskStopAnswered& event) {
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr) {
    return;
  }
  if (!event.stopped) {
    // A stop can overtake the start it belongs to. Only a question settles
    // that: from then on the worker refuses the late start.
    this->Ask(tracked);
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
  this->Settle(event.task, TaskNews::Kind::kEnded, ended);
}

void TaskTracker::OnReport(const WorkerReport& report) {
  for (const EndedTask& ended : report.ended) {
    this->Settle(ended.task, TaskNews::Kind::kEnded, ended);
  }
  for (const RunningTask& running : report.running) {
    Tracked* tracked = this->Find(running.task);
    if (tracked != nullptr && tracked->phase != Phase::kPlanned) {
      this->OnReportedRunning(tracked);
    }
  }
  this->AskMissing(report);
  this->CountConfirmations(report);
}

void TaskTracker::AskMissing(const WorkerReport& report) {
  std::set<TaskId> running;
  for (const RunningTask& each : report.running) {
    running.insert(each.task);
  }
  for (const TaskId& task : this->TasksAt(report.worker)) {
    Tracked* tracked = this->Find(task);
    const bool missing =
        tracked->phase == Phase::kRunning && !running.contains(task);
    // The report may be older than the start, or the end may have been dropped
    // from the worker's bounded list: only a question tells.
    if (missing && !tracked->asking) {
      this->Ask(tracked);
    }
  }
}

void TaskTracker::CountConfirmations(const WorkerReport& report) {
  for (const TaskId& task : this->TasksAt(report.worker)) {
    Tracked* tracked = this->Find(task);
    if (tracked->confirmations == 0) {
      continue;
    }
    if (report.incarnation != tracked->plan.worker_incarnation) {
      this->Settle(task, TaskNews::Kind::kLost);
    } else if (--tracked->confirmations == 0) {
      this->Settle(task, TaskNews::Kind::kNeverStarted);
    }
  }
}

void TaskTracker::OnWorkerRestarted(const WorkerId& worker,
                                    Incarnation incarnation) {
  for (const TaskId& task : this->TasksAt(worker)) {
    const Tracked* tracked = this->Find(task);
    if (tracked->plan.worker_incarnation == incarnation) {
      continue;
    }
    if (tracked->phase == Phase::kPlanned) {
      this->Settle(task, TaskNews::Kind::kNeverStarted, {}, Error::kWorkerLost);
    } else if (tracked->plan.worker_incarnation != 0) {
      this->Settle(task, TaskNews::Kind::kLost, {}, Error::kWorkerLost);
    }
  }
}

void TaskTracker::OnWorkerLost(const WorkerId& worker) {
  for (const TaskId& task : this->TasksAt(worker)) {
    Tracked* tracked = this->Find(task);
    // Its end will not come with a renewal any more.
    if (tracked->phase == Phase::kRunning && tracked->plan.detached) {
      this->CheckAfter(tracked, kFirstPause);
    }
  }
}

std::vector<RunningTask> TaskTracker::OnTheWay(const WorkerId& worker,
                                               Epoch epoch) const {
  std::vector<RunningTask> result;
  for (const TaskId& task : this->TasksAt(worker)) {
    const Tracked& tracked = this->tasks.at(task);
    if (!tracked.placed || tracked.plan.epoch != epoch) {
      continue;
    }
    RunningTask running;
    running.task = task;
    running.request = tracked.plan.request;
    running.service = tracked.plan.service;
    running.resources = tracked.plan.resources;
    result.push_back(std::move(running));
  }
  return result;
}

void TaskTracker::OnRenewalSent(const WorkerId& worker) {
  this->renewals[worker] = this->parts->context.now;
}

void TaskTracker::Tick() {
  for (const TaskId& task : this->checks.TakeDue(this->parts->context.now)) {
    Tracked* tracked = this->Find(task);
    if (tracked != nullptr) {
      tracked->asking = false;
      this->Ask(tracked);
    }
  }
}

std::vector<TaskNews> TaskTracker::TakeNews() {
  return std::exchange(this->news, {});
}

void TaskTracker::Ask(Tracked* tracked) {
  if (tracked->asking) {
    return;
  }
  const std::string address =
      this->parts->workers.AddressOf(tracked->plan.worker);
  this->CheckAfter(tracked, kReportPatience);
  if (address.empty()) {
    this->OnNotReachable(tracked);
    return;
  }
  tracked->asking = true;
  QueryTask query;
  query.worker = tracked->plan.worker;
  query.address = address;
  query.task = tracked->plan.task;
  this->parts->context.Emit(std::move(query));
}

void TaskTracker::CheckAfter(Tracked* tracked, Duration pause) {
  this->checks.Set(tracked->plan.task, this->parts->context.now + pause);
}

void TaskTracker::ConfirmNeverStarted(Tracked* tracked,
                                      Incarnation answered_by) {
  const TaskPlan& plan = tracked->plan;
  const bool same_run =
      answered_by != 0 && answered_by == plan.worker_incarnation;
  if (same_run) {
    this->Settle(plan.task, TaskNews::Kind::kNeverStarted);
    return;
  }
  // A worker that has restarted answers "never started" about a task that it
  // ran before: the caller of a non-idempotent request would be told "not run"
  // though it ran. Renewals are refused by a restarted worker, so an accepted
  // one that was sent after the question shows that the answer counts.
  const std::optional<OwnedWorker> owned =
      this->parts->ownership.Held(plan.worker);
  const bool can_confirm = answered_by == 0 && plan.worker_incarnation != 0 &&
                           owned &&
                           owned->incarnation == plan.worker_incarnation;
  if (!can_confirm) {
    this->Settle(plan.task, TaskNews::Kind::kLost);
    return;
  }
  tracked->confirmations = kConfirmingRenewals;
  this->CheckAfter(tracked, kStopPatience);
  for (std::int32_t i = 0; i < kConfirmingRenewals; ++i) {
    this->parts->workers.RenewNow(plan.worker, *owned);
  }
}

void TaskTracker::OnStillRunning(Tracked* tracked) {
  this->OnReportedRunning(tracked);
  if (tracked->stop_wanted) {
    this->SendStop(tracked);
    return;
  }
  const bool owned =
      this->parts->ownership.Held(tracked->plan.worker).has_value();
  if (tracked->plan.detached && owned) {
    this->CheckAfter(tracked, kBackupPause);
    return;
  }
  if (tracked->unclear && !tracked->plan.detached) {
    this->Report(*tracked, TaskNews::Kind::kUnclear);
  }
  tracked->pause = std::clamp(2 * tracked->pause, kFirstPause, kLongestPause);
  this->CheckAfter(tracked, tracked->pause);
}

void TaskTracker::OnNotReachable(Tracked* tracked) {
  if (this->LeaseLapsed(*tracked)) {
    this->Settle(tracked->plan.task, TaskNews::Kind::kLost, {},
                 Error::kWorkerLost);
    return;
  }
  this->Report(*tracked, TaskNews::Kind::kUnclear);
  this->news.back().unreachable = true;
  tracked->pause = std::clamp(2 * tracked->pause, kFirstPause, kLongestPause);
  this->CheckAfter(tracked, tracked->pause);
}

void TaskTracker::OnReportedRunning(Tracked* tracked) {
  tracked->confirmations = 0;
  if (tracked->phase != Phase::kSent) {
    return;
  }
  tracked->phase = Phase::kRunning;
  this->Report(*tracked, TaskNews::Kind::kStarted);
  if (tracked->plan.detached) {
    this->CheckAfter(tracked, kBackupPause);
  }
}

bool TaskTracker::LeaseLapsed(const Tracked& tracked) const {
  const WorkerId& worker = tracked.plan.worker;
  Instant last = tracked.since;
  const auto renewed = this->renewals.find(worker);
  if (renewed != this->renewals.end()) {
    last = std::max(last, renewed->second);
  }
  Instant lapse = last + this->parts->context.options.task_lease + kLeaseMargin;
  if (tracked.phase == Phase::kSent) {
    lapse = std::max(
        lapse, tracked.since +
                   this->parts->context.options.unconfirmed_start_patience);
  }
  // Another owner may reach the worker and renew the leases of all its tasks,
  // though this process does not: then only the time limit ends them.
  if (this->parts->workers.HeldByOther(worker)) {
    lapse = std::max(lapse, tracked.since + tracked.plan.max_run +
                                this->parts->context.options.task_lease);
  }
  return this->parts->context.now >= lapse;
}

void TaskTracker::Report(const Tracked& tracked, TaskNews::Kind kind) {
  TaskNews each;
  each.kind = kind;
  each.task = tracked.plan.task;
  each.request = tracked.plan.request;
  each.worker = tracked.plan.worker;
  if (tracked.disowned) {
    each.request = RequestId();
  }
  this->news.push_back(std::move(each));
}

void TaskTracker::Settle(const TaskId& task, TaskNews::Kind kind,
                         EndedTask ended, std::error_code reason) {
  Tracked* tracked = this->Find(task);
  if (tracked == nullptr) {
    return;
  }
  const TaskId id = task;  // `task` may lie in what is erased below
  if (kind == TaskNews::Kind::kEnded) {
    this->parts->context.Record(
        TaskEvent(TimelineKind::kTaskEnded, tracked->plan.request, id,
                  tracked->plan.worker, tracked->plan.epoch));
  }
  this->Report(*tracked, kind);
  this->news.back().ended = std::move(ended);
  this->news.back().reason = reason;
  if (tracked->placed) {
    const bool ran = kind == TaskNews::Kind::kEnded;
    this->parts->scheduler.TaskDone(this->parts->context.now,
                                    &this->parts->ledger, id, ran);
  }
  const auto at = this->by_worker.find(tracked->plan.worker);
  at->second.erase(id);
  if (at->second.empty()) {
    this->by_worker.erase(at);
  }
  this->checks.Clear(id);
  this->Remember(id);
  this->tasks.erase(id);
}

void TaskTracker::Remember(const TaskId& task) {
  if (!this->recent.insert(task).second) {
    return;
  }
  this->recent_order.push_back(task);
  if (this->recent_order.size() > kRecentTasks) {
    this->recent.erase(this->recent_order.front());
    this->recent_order.pop_front();
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
