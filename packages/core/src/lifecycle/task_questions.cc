#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "lifecycle/parts.h"
#include "lifecycle/task_pauses.h"
#include "lifecycle/task_tracker.h"
#include "mustardproxy/core/error.h"

// Queries to workers about tasks whose answer was lost, and the handling of
// their answers.
namespace mustardproxy::detail {

namespace {

constexpr Duration kMaxPollDelay = std::chrono::seconds(1);
/// Covers the transit time of a renewal and the drift between two clocks over
/// one task lease.
constexpr Duration kLeaseMargin = std::chrono::seconds(1);
/// A renewal may already be in transit when confirming ones are sent, so only
/// the second answer certainly belongs to a renewal sent after the query.
constexpr std::int32_t kConfirmingRenewals = 2;

}  // namespace

void TaskTracker::On(const TaskQueried& event) {
  Tracked* tracked = this->Find(event.task);
  if (tracked == nullptr || !tracked->query_pending) {
    return;
  }
  tracked->query_pending = false;
  switch (event.state) {
    case TaskQueried::State::kNeverStarted:
      this->ConfirmNeverStarted(tracked, event.incarnation);
      return;
    case TaskQueried::State::kEnded:
      this->Settle(event.task, TaskUpdate::Kind::kEnded, event.ended);
      return;
    case TaskQueried::State::kRunning:
      this->OnStillRunning(tracked);
      return;
    case TaskQueried::State::kUnreachable:
      this->OnWorkerNotReachable(tracked);
      return;
  }
}

void TaskTracker::QueryMissingTasks(const WorkerReport& report) {
  std::set<TaskId> running;
  for (const RunningTask& each : report.running) {
    running.insert(each.task);
  }
  for (const TaskId& task : this->TasksAt(report.worker)) {
    Tracked* tracked = this->Find(task);
    const bool missing =
        tracked->phase == Phase::kRunning && !running.contains(task);
    // The report may be older than the start, or the end may have been dropped
    // from the worker's bounded list; only a query can tell.
    if (missing && !tracked->query_pending) {
      this->QueryWorker(tracked);
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
      this->Settle(task, TaskUpdate::Kind::kLost);
    } else if (--tracked->confirmations == 0) {
      this->Settle(task, TaskUpdate::Kind::kNeverStarted);
    }
  }
}

void TaskTracker::QueryWorker(Tracked* tracked) {
  if (tracked->query_pending) {
    return;
  }
  const std::string address =
      this->parts->workers.AddressOf(tracked->plan.worker);
  this->ScheduleCheck(tracked, kReportTimeout);
  if (address.empty()) {
    this->OnWorkerNotReachable(tracked);
    return;
  }
  tracked->query_pending = true;
  QueryTask query;
  query.worker = tracked->plan.worker;
  query.address = address;
  query.task = tracked->plan.task;
  this->parts->context.Emit(std::move(query));
}

void TaskTracker::ConfirmNeverStarted(Tracked* tracked,
                                      Incarnation answered_by) {
  const TaskPlan& plan = tracked->plan;
  const bool same_run =
      answered_by != 0 && answered_by == plan.worker_incarnation;
  if (same_run) {
    this->Settle(plan.task, TaskUpdate::Kind::kNeverStarted);
    return;
  }
  // Failure: a restarted worker answers "never started" for a task that it ran
  // before the restart, and a non-idempotent request that ran would be answered
  // "not run". A restarted worker refuses renewals, so an accepted renewal sent
  // after the query shows that the answer is valid.
  const std::optional<OwnedWorker> owned =
      this->parts->ownership.HeldLease(plan.worker);
  const bool can_confirm = answered_by == 0 && plan.worker_incarnation != 0 &&
                           owned &&
                           owned->incarnation == plan.worker_incarnation;
  if (!can_confirm) {
    this->Settle(plan.task, TaskUpdate::Kind::kLost);
    return;
  }
  tracked->confirmations = kConfirmingRenewals;
  this->ScheduleCheck(tracked, kStopTimeout);
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
      this->parts->ownership.HeldLease(tracked->plan.worker).has_value();
  if (tracked->plan.detached && owned) {
    this->ScheduleCheck(tracked, kDetachedPollInterval);
    return;
  }
  if (tracked->uncertain && !tracked->plan.detached) {
    this->Report(*tracked, TaskUpdate::Kind::kUncertain);
  }
  tracked->delay =
      std::clamp(2 * tracked->delay, kInitialPollDelay, kMaxPollDelay);
  this->ScheduleCheck(tracked, tracked->delay);
}

void TaskTracker::OnWorkerNotReachable(Tracked* tracked) {
  if (this->HasCertainlyEnded(*tracked)) {
    this->Settle(tracked->plan.task, TaskUpdate::Kind::kLost, {},
                 Error::kWorkerLost);
    return;
  }
  this->Report(*tracked, TaskUpdate::Kind::kUncertain);
  this->updates.back().unreachable = true;
  tracked->delay =
      std::clamp(2 * tracked->delay, kInitialPollDelay, kMaxPollDelay);
  this->ScheduleCheck(tracked, tracked->delay);
}

bool TaskTracker::HasCertainlyEnded(const Tracked& tracked) {
  const Instant now = this->parts->context.now;
  const Duration lease = this->parts->context.options.task_lease + kLeaseMargin;
  // The worker stops the task at its time limit, whichever process renews its
  // lease.
  if (now >= tracked.since + tracked.plan.max_run + lease &&
      now >= this->LeaseExpiry(tracked)) {
    return true;
  }
  if (now < this->LeaseExpiry(tracked)) {
    return false;
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, tracked.plan.service);
  // Non-idempotent work is not started again in any case.
  if (!terms || !terms->idempotent) {
    return true;
  }
  this->parts->consent.QueryPeers(tracked.plan.request);
  const Instant consent =
      this->parts->consent.LastConsentAt(tracked.plan.request);
  // The consenting peer may have renewed the lease and lost the worker just
  // before.
  return consent != Instant::max() && now >= consent + lease;
}

Instant TaskTracker::LeaseExpiry(const Tracked& tracked) const {
  const WorkerId& worker = tracked.plan.worker;
  const CoreOptions& options = this->parts->context.options;
  Instant last = tracked.since;
  const auto renewed = this->renewals.find(worker);
  if (renewed != this->renewals.end()) {
    last = std::max(last, renewed->second);
  }
  const Instant lapse = last + options.task_lease + kLeaseMargin;
  if (tracked.phase != Phase::kSent) {
    return lapse;
  }
  return std::max(lapse, tracked.since + options.unconfirmed_start_timeout);
}

}  // namespace mustardproxy::detail
