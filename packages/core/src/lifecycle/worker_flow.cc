#include "lifecycle/worker_flow.h"

#include <algorithm>
#include <variant>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {

namespace {

/// Idle time after which a worker limited to a share of its capacity is opened
/// fully.
constexpr Duration kIdleProbeDelay = std::chrono::seconds(10);

}  // namespace

void WorkerFlow::Boot() {
  HostListArrived event;
  event.workers = this->parts->context.options.workers;
  this->On(event);
}

void WorkerFlow::On(const HostListArrived& event) {
  const std::vector<WorkerId> staying = this->NoLongerLeaving(event.workers);
  this->UpdateDirectory(event.workers);
  const std::vector<WorkerId> leaving = this->parts->ownership.OnHostList(
      event.workers, this->parts->context.options.self.data_center);
  for (const WorkerId& worker : leaving) {
    this->parts->ledger.SetPlaceable(worker, false);
    this->parts->context.Record(
        WorkerEvent(TimelineKind::kWorkerLeaving, worker));
  }
  // Failure: a worker that is still owned when the host list no longer marks it
  // as leaving is not attached again. Without this nothing would make it
  // placeable, and it would stay idle permanently.
  for (const WorkerId& worker : staying) {
    if (this->open.contains(worker)) {
      this->ApplyStanding(worker);
    }
  }
}

std::vector<WorkerId> WorkerFlow::NoLongerLeaving(
    const std::vector<WorkerDescription>& workers) const {
  std::vector<WorkerId> staying;
  for (const WorkerDescription& worker : workers) {
    const auto known = this->directory.find(worker.id);
    const bool was_leaving =
        known != this->directory.end() && known->second.leaving;
    if (was_leaving && !worker.leaving) {
      staying.push_back(worker.id);
    }
  }
  return staying;
}

void WorkerFlow::UpdateDirectory(
    const std::vector<WorkerDescription>& workers) {
  for (const WorkerDescription& worker : workers) {
    this->directory[worker.id] = worker;
  }
}

void WorkerFlow::On(const WorkerAttached& event) {
  const WorkerReport& report = event.report;
  const Instant now = this->parts->context.now;
  const bool rebuild = this->parts->ownership.OnAttached(now, report);
  const std::optional<OwnedWorker> owned =
      this->parts->ownership.HeldLease(report.worker);
  if (!owned || owned->epoch != report.epoch) {
    return;
  }
  if (rebuild) {
    this->parts->tasks.OnWorkerRestarted(report.worker, report.incarnation);
  }
  this->parts->tasks.OnReport(report);
  const bool known = this->parts->ledger.FreeOn(report.worker).has_value();
  if (rebuild || !known) {
    this->Open(*owned, report);
  }
}

void WorkerFlow::Open(const OwnedWorker& owned, const WorkerReport& report) {
  const WorkerId& worker = report.worker;
  this->parts->ledger.AddWorker(owned.description, report);
  this->open.insert(worker);

  this->foreign_tasks.erase(worker);
  this->TrackForeignTasks(report);
  this->parts->health.Add(worker);
  this->ApplyStanding(worker);
  this->parts->context.Record(
      WorkerEvent(TimelineKind::kWorkerAttached, worker, owned.epoch));
}

void WorkerFlow::TrackForeignTasks(const WorkerReport& report) {
  for (const RunningTask& task : report.running) {
    // A report created before the end of a task may arrive after it.
    const bool over = this->parts->tasks.EndedRecently(task.task);
    if (this->parts->tasks.IsTracked(task.task) || over) {
      continue;
    }
    const bool added = this->foreign_tasks[report.worker]
                           .emplace(task.task, task.request)
                           .second;
    if (added) {
      this->parts->scheduler.AdoptRunningTask(
          this->parts->context.now, task.task, task.request, task.service,
          this->parts->TeamOf(task.request), report.worker, task.running_for);
      this->parts->orphan_gangs.OnForeignTask(task.request, task.service);
    }
  }
}

void WorkerFlow::FreeEndedForeignTasks(const WorkerReport& report) {
  const auto at = this->foreign_tasks.find(report.worker);
  if (at == this->foreign_tasks.end()) {
    return;
  }
  std::erase_if(at->second, [&](const auto& entry) {
    const bool runs = std::ranges::any_of(
        report.running,
        [&](const RunningTask& task) { return task.task == entry.first; });
    if (!runs) {
      this->parts->scheduler.OnTaskEnded(
          this->parts->context.now, &this->parts->ledger, entry.first, true);
      this->parts->ledger.Release(report.worker, entry.first);
    }
    return !runs;
  });
}

void WorkerFlow::On(const WorkerRenewed& event) {
  const WorkerReport& report = event.report;
  const Instant now = this->parts->context.now;
  this->parts->ownership.OnRenewed(now, report);
  this->parts->tasks.OnReport(report);
  const std::optional<OwnedWorker> owned =
      this->parts->ownership.HeldLease(report.worker);
  if (!owned || owned->epoch != report.epoch) {
    return;
  }
  if (this->suspended.contains(report.worker)) {
    this->ApplyStanding(report.worker);
  }
  this->FreeEndedForeignTasks(report);
  this->TrackForeignTasks(report);
  std::vector<RunningTask> running = report.running;
  std::erase_if(running, [&](const RunningTask& task) {
    return this->parts->tasks.EndedRecently(task.task);
  });
  this->parts->ledger.Reconcile(report.worker, running);
}

void WorkerFlow::On(const WorkerRefused& event) {
  this->releasing.erase(event.worker);
  const bool lost =
      this->parts->ownership.OnRefused(this->parts->context.now, event);
  if (lost) {
    this->Close(event.worker);
  }
}

void WorkerFlow::On(const WorkerUnreachable& event) {
  this->releasing.erase(event.worker);
  if (this->parts->ownership.OnUnreachable(this->parts->context.now,
                                           event.worker)) {
    this->Close(event.worker);
  } else {
    this->Suspend(event.worker);
  }
}

void WorkerFlow::Suspend(const WorkerId& worker) {
  const bool open = this->parts->ledger.FreeOn(worker).has_value();
  if (open &&
      !this->parts->ownership.OwnedForStart(this->parts->context.now, worker)) {
    this->parts->ledger.SetPlaceable(worker, false);
    this->suspended.insert(worker);
  }
}

void WorkerFlow::On(const WorkerReleased& event) {
  this->releasing.erase(event.worker);
  this->parts->ownership.OnReleased(this->parts->context.now, event.worker);
  this->parts->context.Record(
      WorkerEvent(TimelineKind::kWorkerReleased, event.worker, event.epoch));
  this->Close(event.worker);
}

void WorkerFlow::Close(const WorkerId& worker) {
  this->open.erase(worker);
  this->parts->ledger.RemoveWorker(worker);
  this->parts->health.Remove(worker);
  this->capped.erase(worker);
  this->suspended.erase(worker);
  const auto at = this->foreign_tasks.find(worker);
  if (at != this->foreign_tasks.end()) {
    for (const auto& [task, request] : at->second) {
      this->parts->scheduler.OnTaskEnded(this->parts->context.now,
                                         &this->parts->ledger, task, false);
    }
    this->foreign_tasks.erase(at);
  }
  this->parts->tasks.OnWorkerLost(worker);
  this->parts->context.Record(WorkerEvent(TimelineKind::kWorkerLost, worker));
}

void WorkerFlow::Tick() {
  CoreContext& context = this->parts->context;
  if (this->parts->ownership.NextWakeup() <= context.now) {
    const std::size_t first = context.actions->size();
    this->parts->ownership.Tick(context.now, this->parts->membership,
                                context.actions);
    this->TrackLeaseActions(first);
  }
  const bool due = this->parts->health.NextWakeup() <= context.now;
  if (due || this->parts->placing.TakeHealthChanged()) {
    for (const WorkerId& worker :
         this->parts->health.TakeChanged(context.now)) {
      this->ApplyStanding(worker);
    }
  }
}

void WorkerFlow::TrackLeaseActions(std::size_t first_action) {
  const Actions& actions = *this->parts->context.actions;
  for (std::size_t i = first_action; i < actions.size(); ++i) {
    const auto* renew = std::get_if<RenewWorker>(&actions[i]);
    if (renew != nullptr) {
      this->parts->tasks.OnRenewalSent(renew->worker);
    }
    // A released worker is excluded from placement before the release is
    // confirmed.
    const auto* release = std::get_if<ReleaseWorker>(&actions[i]);
    if (release != nullptr) {
      this->parts->ledger.SetPlaceable(release->worker, false);
      this->releasing.insert(release->worker);
    }
  }
}

void WorkerFlow::ReleaseAll() {
  const std::size_t first = this->parts->context.actions->size();
  this->parts->ownership.ReleaseAll(this->parts->context.now,
                                    this->parts->context.actions);
  this->TrackLeaseActions(first);
}

void WorkerFlow::RenewNow(const WorkerId& worker, const OwnedWorker& owned) {
  RenewWorker renew;
  renew.worker = worker;
  renew.address = owned.description.address;
  renew.epoch = owned.epoch;
  renew.lease = this->parts->context.options.ownership.lease;
  renew.ended_sequence = this->parts->ownership.EndedSequence(worker);
  this->parts->context.Emit(std::move(renew));
  this->parts->tasks.OnRenewalSent(worker);
}

std::string WorkerFlow::AddressOf(const WorkerId& worker) const {
  const auto known = this->directory.find(worker);
  return known == this->directory.end() ? std::string() : known->second.address;
}

bool WorkerFlow::RunsOrphanOf(const RequestId& request) const {
  return std::ranges::any_of(this->foreign_tasks, [&](const auto& at) {
    return std::ranges::any_of(
        at.second, [&](const auto& task) { return task.second == request; });
  });
}

void WorkerFlow::StopOrphansOf(const RequestId& request) {
  for (const auto& [worker, tasks] : this->foreign_tasks) {
    const std::optional<OwnedWorker> owned =
        this->parts->ownership.HeldLease(worker);
    for (const auto& [task, owner] : tasks) {
      if (owner != request || !owned) {
        continue;
      }
      StopTask stop;
      stop.worker = worker;
      stop.address = owned->description.address;
      stop.epoch = owned->epoch;
      stop.task = task;
      this->parts->context.Emit(std::move(stop));
    }
  }
}

void WorkerFlow::CloseLost() {
  // Failure: a release was not confirmed before the lease expired. No event
  // reports this, and the ledger would keep a worker on which nothing can be
  // started.
  const std::set<WorkerId> counted = this->open;
  for (const WorkerId& worker : counted) {
    if (!this->parts->ownership.HeldLease(worker)) {
      this->Close(worker);
    }
  }
}

void WorkerFlow::ProbeIdle() {
  // Failure: a worker on which all tasks failed is limited to a few slots until
  // a task succeeds there. If only gangs that need more slots are queued, no
  // task is ever placed on it and they wait forever. So an idle worker is
  // opened fully after a delay.
  const Instant now = this->parts->context.now;
  for (auto& [worker, idle_since] : this->capped) {
    if (!this->parts->tasks.IdleAt(worker)) {
      idle_since = now;
    } else if (now - idle_since >= kIdleProbeDelay) {
      this->parts->ledger.SetPlaceable(worker, true, 1.0);
      idle_since = now;
    }
  }
}

void WorkerFlow::ApplyStanding(const WorkerId& worker) {
  CoreContext& context = this->parts->context;
  const WorkerAvailability standing =
      this->parts->health.Availability(context.now, worker);
  // A worker that is leaving or did not answer recently is not usable.
  const bool usable =
      this->parts->ownership.OwnedForStart(context.now, worker).has_value();
  this->parts->ledger.SetPlaceable(worker, standing.placeable && usable,
                                   standing.share);
  if (usable) {
    this->suspended.erase(worker);
  } else {
    this->suspended.insert(worker);
  }
  if (standing.placeable && standing.share < 1.0) {
    this->capped.emplace(worker, context.now);
  } else {
    this->capped.erase(worker);
  }
  if (!standing.placeable && this->ejected.insert(worker).second) {
    context.Record(WorkerEvent(TimelineKind::kWorkerEjected, worker));
  }
  if (standing.placeable && this->ejected.erase(worker) > 0) {
    context.Record(WorkerEvent(TimelineKind::kWorkerReturned, worker));
  }
}

}  // namespace mustardproxy::detail
