#include "scheduler/placement_pass.h"

#include <algorithm>
#include <utility>

#include "mustardproxy/core/resource_math.h"
#include "scheduler/task_ids.h"

namespace mustardproxy::detail {
namespace {

/// Number of requests skipped in a pass because of their avoided workers.
constexpr int kMaxSkippedRequests = 16;
/// A single task of at least this share of the largest worker can starve behind
/// small tasks, as a gang can.
constexpr double kLargeTaskShare = 0.25;
/// Wait after which such a task gets a reservation.
constexpr Duration kLargeTaskReservationDelay = std::chrono::seconds(1);

}  // namespace

PlacementPass::PlacementPass(Instant now, SchedulerState* state, Ledger* ledger,
                             std::size_t limit)
    : now(now), state(state), ledger(ledger), limit(limit) {}

std::vector<Placement> PlacementPass::Run() {
  this->state->UpdateCapacity(*this->ledger);
  this->state->headroom.Update(this->now, this->state->catalog, this->ledger);
  this->state->blocked_by_headroom = false;
  this->ClearStaleReservation();
  this->UpdateReservationGuarantee();
  for (auto& [priority, band] : this->state->bands) {
    if (priority == 0) this->PlaceBand(priority, &band);
  }
  for (auto& [priority, band] : this->state->bands) {
    if (priority != 0) this->PlaceGuaranteedShare(priority, &band);
  }
  for (auto& [priority, band] : this->state->bands) {
    if (priority != 0) this->PlaceBand(priority, &band);
  }
  for (const RequestSlot slot : this->skipped_slots) {
    this->state->queue.ReattachToFlow(slot);
  }
  this->state->limit_reached_at.reset();
  if (this->LimitReached()) this->state->limit_reached_at = this->now;
  this->ObserveDrain();
  return std::move(this->placements);
}

bool PlacementPass::LimitReached() const {
  return this->placements.size() >= this->limit;
}

void PlacementPass::PlaceGuaranteedShare(std::int32_t priority,
                                         PriorityBand* band) {
  if (!this->state->BelowGuarantee(*band)) return;
  this->placing_guaranteed_share = true;
  this->PlaceBand(priority, band);
  this->placing_guaranteed_share = false;
}

void PlacementPass::PlaceBand(std::int32_t priority, PriorityBand* band) {
  if (this->LimitReached() || band->Empty()) return;
  this->blocked_services.clear();
  this->TryReservationHolder(priority);
  while (
      !this->LimitReached() &&
      (!this->placing_guaranteed_share || this->state->BelowGuarantee(*band)) &&
      this->blocked_services.size() < band->WaitingServices()) {
    const std::optional<TeamIndex> team = band->NextTeam();
    if (!team) break;
    if (!this->PlaceNextRequest(*band, *team)) band->SuspendTeam(*team);
  }
  band->ResumeTeams();
}

void PlacementPass::ClearStaleReservation() {
  GangReservation& reservation = this->state->reservation;
  if (!reservation.Active()) return;
  const auto slot = this->state->queue.SlotOf(*reservation.Holder());
  if (slot) {
    const FlowIndex flow = this->state->queue.At(*slot).flow;
    const ServiceIndex service = this->state->queue.FlowAt(flow).service;
    const Profile& profile = this->state->catalog.ServiceAt(service).profile;
    if (profile.priority == reservation.Priority()) return;
  }
  // The holder was cancelled or has expired, or a configuration change gave it
  // another priority.
  reservation.Clear(this->ledger);
}

void PlacementPass::UpdateReservationGuarantee() {
  GangReservation& reservation = this->state->reservation;
  if (!reservation.Active()) return;
  const PriorityBand& band = this->state->bands[reservation.Priority()];
  reservation.SetGuaranteed(this->state->BelowGuarantee(band));
}

void PlacementPass::TryReservationHolder(std::int32_t priority) {
  GangReservation& reservation = this->state->reservation;
  if (!reservation.Active() || reservation.Priority() != priority) return;
  const auto slot = this->state->queue.SlotOf(*reservation.Holder());
  if (!slot) return;
  if (this->TryPlace(*slot) == PlaceResult::kPlaced) return;
  if (!reservation.PlanIsStale(this->now)) return;
  const QueueEntry& entry = this->state->queue.At(*slot);
  const ServiceIndex service = this->state->queue.FlowAt(entry.flow).service;
  reservation.ReserveFor(
      this->now,
      {entry.request.request, &this->state->catalog.ServiceAt(service),
       entry.request.avoid},
      this->state->running, this->state->catalog, this->ledger);
  this->UpdateReservationGuarantee();
}

bool PlacementPass::PlaceNextRequest(const PriorityBand& band, TeamIndex team) {
  while (const auto flow = this->EarliestFlow(band, team)) {
    const RequestSlot slot = *this->state->queue.Head(*flow);
    switch (this->TryPlace(slot)) {
      case PlaceResult::kPlaced:
        return true;
      case PlaceResult::kServiceBlocked:
        this->BlockService(this->state->queue.FlowAt(*flow).service);
        break;
      case PlaceResult::kFlowBlocked:
        this->blocked_flows.insert(*flow);
        break;
      case PlaceResult::kRequestBlocked:
        this->state->queue.DetachHead(*flow);
        this->skipped_slots.push_back(slot);
        break;
    }
  }
  return false;
}

void PlacementPass::BlockService(ServiceIndex service) {
  this->blocked_services.insert(service);
}

std::optional<FlowIndex> PlacementPass::EarliestFlow(const PriorityBand& band,
                                                     TeamIndex team) {
  std::optional<FlowIndex> first;
  Instant earliest = Instant::max();
  for (const FlowIndex flow : band.FlowsOf(team)) {
    const RequestQueue::FlowQueue& known = this->state->queue.FlowAt(flow);
    if (known.live == 0 || this->blocked_flows.contains(flow)) continue;
    if (this->blocked_services.contains(known.service)) continue;
    const auto head = this->state->queue.Head(flow);
    if (!head) continue;
    const Instant placement_deadline =
        this->state->queue.At(*head).request.placement_deadline;
    if (first && placement_deadline >= earliest) continue;
    first = flow;
    earliest = placement_deadline;
  }
  return first;
}

PlacementPass::PlaceResult PlacementPass::TryPlace(RequestSlot slot) {
  const QueueEntry& entry = this->state->queue.At(slot);
  if (entry.request.placement_deadline <= this->now)
    return PlaceResult::kRequestBlocked;
  const RequestQueue::FlowQueue& flow = this->state->queue.FlowAt(entry.flow);
  const ServiceEntry& service = this->state->catalog.ServiceAt(flow.service);
  const TeamEntry& team = this->state->catalog.TeamAt(flow.team);
  if (!team.HasQuotaFor(service.request_resources))
    return PlaceResult::kFlowBlocked;
  const bool holder = this->state->reservation.HeldBy(entry.request.request);
  const HoldPolicy holds =
      holder ? HoldPolicy::kIgnore
             : this->state->reservation.HoldPolicyFor(this->now, service);
  const std::vector<WorkerId> workers =
      this->FindWorkers(entry, service, holds);
  if (workers.empty()) {
    this->MaybeReserve(entry, service);
    if (entry.request.avoid.empty()) return PlaceResult::kServiceBlocked;
    return ++this->skipped_requests <= kMaxSkippedRequests
               ? PlaceResult::kRequestBlocked
               : PlaceResult::kFlowBlocked;
  }
  if (!this->LeavesHeadroom(service, workers, holder)) {
    this->state->blocked_by_headroom = true;
    // Otherwise gangs, which reserve capacity when they find none, would
    // overtake the request indefinitely.
    if (!holder) this->MaybeReserve(entry, service);
    return PlaceResult::kServiceBlocked;
  }
  return this->Commit(entry, workers) ? PlaceResult::kPlaced
                                      : PlaceResult::kRequestBlocked;
}

std::vector<WorkerId> PlacementPass::FindWorkers(const QueueEntry& entry,
                                                 const ServiceEntry& service,
                                                 HoldPolicy holds) const {
  const std::vector<WorkerId>& avoid = entry.request.avoid;
  const Packing packing = service.profile.packing;
  if (service.tasks > 1) {
    return this->ledger->FindGang(service.resources, service.tasks, packing,
                                  avoid, holds);
  }
  auto worker = this->ledger->Find(service.resources, packing, avoid, holds);
  if (!worker) return {};
  return {std::move(*worker)};
}

bool PlacementPass::LeavesHeadroom(const ServiceEntry& service,
                                   const std::vector<WorkerId>& workers,
                                   bool holds_reservation) const {
  // Work of the holder's priority or below must leave the held capacity free in
  // addition to the headroom, so that capacity for the holder accumulates next
  // to the headroom. The holder itself leaves as little free as priority 1,
  // which outranks it and would otherwise keep it waiting indefinitely. The
  // same applies to work below its guaranteed share: priority 1 would take all
  // capacity before as much is free as lower priorities must leave.
  const Headroom& headroom = this->state->headroom;
  const std::int32_t priority =
      holds_reservation || this->placing_guaranteed_share
          ? std::min(service.profile.priority, 1)
          : service.profile.priority;
  const std::int64_t reserved = headroom.ReservedTasksFor(priority);
  if (reserved == 0) return true;
  std::int64_t left = this->ledger->TrackedFitCount();
  const GangReservation& reservation = this->state->reservation;
  const bool outranks = reservation.OutrankedBy(service.profile.priority);
  if (reservation.Active() && !holds_reservation && !outranks) {
    left -= reservation.CountFittingInHolds(headroom.MeanTask(), *this->ledger);
  }
  for (std::size_t i = 0; i < workers.size();) {
    std::size_t next = i;
    while (next < workers.size() && workers[next] == workers[i]) ++next;
    const Resources taken =
        Multiply(service.resources, static_cast<std::int64_t>(next - i));
    left -= this->ledger->TrackedFitCount() -
            this->ledger->TrackedFitCountWithout(workers[i], taken);
    i = next;
  }
  return left >= reserved;
}

void PlacementPass::MaybeReserve(const QueueEntry& entry,
                                 const ServiceEntry& service) {
  GangReservation& reservation = this->state->reservation;
  if (!reservation.IsAvailableTo(this->now, service.profile.priority)) return;
  if (service.tasks == 1) {
    const double size =
        DominantShare(service.resources, this->ledger->LargestCapacity());
    if (size < kLargeTaskShare) return;
    const QueuedRequest& request = entry.request;
    if (this->now - request.arrived < kLargeTaskReservationDelay) return;
  }
  reservation.ReserveFor(
      this->now, {entry.request.request, &service, entry.request.avoid},
      this->state->running, this->state->catalog, this->ledger);
  this->UpdateReservationGuarantee();
}

bool PlacementPass::Commit(const QueueEntry& entry,
                           const std::vector<WorkerId>& workers) {
  const RequestQueue::FlowQueue& flow = this->state->queue.FlowAt(entry.flow);
  const ServiceEntry& service = this->state->catalog.ServiceAt(flow.service);
  const QueuedRequest& request = entry.request;
  const std::size_t before = this->placements.size();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    TaskId task = MakeTaskId(request.request, static_cast<std::int32_t>(i),
                             request.attempt);
    if (!this->ledger->Reserve(workers[i], task, service.resources)) {
      // The task id is already in use: this attempt was found running after a
      // takeover. A request is placed completely or not at all, so the tasks
      // reserved so far are released.
      for (std::size_t j = before; j < this->placements.size(); ++j) {
        this->ledger->Release(this->placements[j].worker,
                              this->placements[j].task);
      }
      this->placements.resize(before);
      return false;
    }
    this->placements.push_back(
        {request.request, std::move(task), workers[i], service.resources});
  }
  if (this->state->reservation.HeldBy(request.request)) {
    this->state->reservation.Clear(this->ledger);
  }
  this->placed[service.profile.priority] += entry.size;
  const ServiceIndex service_number = flow.service;
  const TeamIndex team = flow.team;
  this->state->RemoveRequest(RequestId(request.request));
  for (std::size_t i = before; i < this->placements.size(); ++i) {
    const Placement& placement = this->placements[i];
    RunningEntry started;
    started.task = placement.task;
    started.request = placement.request;
    started.service = service_number;
    started.team = team;
    started.worker = placement.worker;
    started.resources = placement.resources;
    started.started = this->now;
    this->state->AddRunningTask(std::move(started));
  }
  return true;
}

void PlacementPass::ObserveDrain() {
  double amount = 0;
  bool backlogged = false;
  for (auto& [priority, band] : this->state->bands) {
    amount += this->placed[priority];
    backlogged = backlogged || !band.Empty();
    band.drain.Observe(this->now, amount, backlogged);
  }
}

}  // namespace mustardproxy::detail
