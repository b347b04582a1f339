#include "scheduler/placement_pass.h"

#include <algorithm>
#include <utility>

#include "mustardproxy/core/resource_math.h"
#include "scheduler/task_ids.h"

namespace mustardproxy::detail {
namespace {

/// Requests stepped over in a pass because of the workers they avoid.
constexpr int kMostAvoided = 16;
/// A single task this large, as a share of the largest worker, can starve
/// behind small ones like a gang.
constexpr double kLargeTask = 0.25;
/// Wait after which such a task gets a reservation.
constexpr Duration kPatience = std::chrono::seconds(1);

}  // namespace

PlacementPass::PlacementPass(Instant now, SchedulerState* state, Ledger* ledger,
                             std::size_t limit)
    : now(now), state(state), ledger(ledger), limit(limit) {}

std::vector<Placement> PlacementPass::Run() {
  this->state->FollowCapacity(*this->ledger);
  this->state->headroom.Update(this->now, this->state->catalog, this->ledger);
  this->state->waits_for_headroom = false;
  this->DropStaleReservation();
  this->GuaranteeReservation();
  for (auto& [priority, band] : this->state->bands) {
    if (priority == 0) this->RunBand(priority, &band);
  }
  for (auto& [priority, band] : this->state->bands) {
    if (priority != 0) this->RunGuarantee(priority, &band);
  }
  for (auto& [priority, band] : this->state->bands) {
    if (priority != 0) this->RunBand(priority, &band);
  }
  for (const RequestSlot slot : this->set_aside) {
    this->state->queue.PutBack(slot);
  }
  this->state->stopped_at_limit.reset();
  if (this->Full()) this->state->stopped_at_limit = this->now;
  this->ObserveDrain();
  return std::move(this->placements);
}

bool PlacementPass::Full() const {
  return this->placements.size() >= this->limit;
}

void PlacementPass::RunGuarantee(std::int32_t priority, PriorityBand* band) {
  if (!this->state->BelowGuarantee(*band)) return;
  this->in_guarantee = true;
  this->RunBand(priority, band);
  this->in_guarantee = false;
}

void PlacementPass::RunBand(std::int32_t priority, PriorityBand* band) {
  if (this->Full() || band->Empty()) return;
  this->blocked_services.clear();
  this->TryHolder(priority);
  while (!this->Full() &&
         (!this->in_guarantee || this->state->BelowGuarantee(*band)) &&
         this->blocked_services.size() < band->WaitingServices()) {
    const std::optional<TeamIndex> team = band->NextTeam();
    if (!team) break;
    if (!this->PlaceNextOf(*band, *team)) band->Park(*team);
  }
  band->UnparkAll();
}

void PlacementPass::DropStaleReservation() {
  GangReservation& reservation = this->state->reservation;
  if (!reservation.Active()) return;
  const auto slot = this->state->queue.SlotOf(*reservation.Holder());
  if (slot) {
    const LaneIndex lane = this->state->queue.At(*slot).lane;
    const ServiceIndex service = this->state->queue.LaneAt(lane).service;
    const Profile& profile = this->state->catalog.ServiceAt(service).profile;
    if (profile.priority == reservation.Priority()) return;
  }
  // Cancelled, expired, or of another priority since a change of the
  // configuration.
  reservation.Drop(this->ledger);
}

void PlacementPass::GuaranteeReservation() {
  GangReservation& reservation = this->state->reservation;
  if (!reservation.Active()) return;
  const PriorityBand& band = this->state->bands[reservation.Priority()];
  reservation.SetGuaranteed(this->state->BelowGuarantee(band));
}

void PlacementPass::TryHolder(std::int32_t priority) {
  GangReservation& reservation = this->state->reservation;
  if (!reservation.Active() || reservation.Priority() != priority) return;
  const auto slot = this->state->queue.SlotOf(*reservation.Holder());
  if (!slot) return;
  if (this->TryPlace(*slot) == Attempt::kPlaced) return;
  if (!reservation.PlanIsOld(this->now)) return;
  const QueueEntry& entry = this->state->queue.At(*slot);
  const ServiceIndex service = this->state->queue.LaneAt(entry.lane).service;
  reservation.Take(
      this->now,
      {entry.request.request, &this->state->catalog.ServiceAt(service),
       entry.request.avoid},
      this->state->running, this->state->catalog, this->ledger);
  this->GuaranteeReservation();
}

bool PlacementPass::PlaceNextOf(const PriorityBand& band, TeamIndex team) {
  while (const auto lane = this->FirstLane(band, team)) {
    const RequestSlot slot = *this->state->queue.Head(*lane);
    switch (this->TryPlace(slot)) {
      case Attempt::kPlaced:
        return true;
      case Attempt::kServiceBlocked:
        this->BlockService(this->state->queue.LaneAt(*lane).service);
        break;
      case Attempt::kLaneBlocked:
        this->blocked_lanes.insert(*lane);
        break;
      case Attempt::kRequestBlocked:
        this->state->queue.SetAside(*lane);
        this->set_aside.push_back(slot);
        break;
    }
  }
  return false;
}

void PlacementPass::BlockService(ServiceIndex service) {
  this->blocked_services.insert(service);
}

std::optional<LaneIndex> PlacementPass::FirstLane(const PriorityBand& band,
                                                  TeamIndex team) {
  std::optional<LaneIndex> first;
  Instant earliest = Instant::max();
  for (const LaneIndex lane : band.LanesOf(team)) {
    const RequestQueue::Lane& known = this->state->queue.LaneAt(lane);
    if (known.live == 0 || this->blocked_lanes.contains(lane)) continue;
    if (this->blocked_services.contains(known.service)) continue;
    const auto head = this->state->queue.Head(lane);
    if (!head) continue;
    const Instant place_by = this->state->queue.At(*head).request.place_by;
    if (first && place_by >= earliest) continue;
    first = lane;
    earliest = place_by;
  }
  return first;
}

PlacementPass::Attempt PlacementPass::TryPlace(RequestSlot slot) {
  const QueueEntry& entry = this->state->queue.At(slot);
  if (entry.request.place_by <= this->now) return Attempt::kRequestBlocked;
  const RequestQueue::Lane& lane = this->state->queue.LaneAt(entry.lane);
  const ServiceEntry& service = this->state->catalog.ServiceAt(lane.service);
  const TeamEntry& team = this->state->catalog.TeamAt(lane.team);
  if (!team.HasQuotaFor(service.all_tasks)) return Attempt::kLaneBlocked;
  const bool holder = this->state->reservation.HeldBy(entry.request.request);
  const HoldPolicy holds =
      holder ? HoldPolicy::kIgnore
             : this->state->reservation.HoldsFor(this->now, service);
  const std::vector<WorkerId> workers = this->FindRoom(entry, service, holds);
  if (workers.empty()) {
    this->ConsiderReservation(entry, service);
    if (entry.request.avoid.empty()) return Attempt::kServiceBlocked;
    return ++this->avoided <= kMostAvoided ? Attempt::kRequestBlocked
                                           : Attempt::kLaneBlocked;
  }
  if (!this->LeavesHeadroom(service, workers, holder)) {
    this->state->waits_for_headroom = true;
    // Else gangs, which find no room and reserve it, would pass by for good.
    if (!holder) this->ConsiderReservation(entry, service);
    return Attempt::kServiceBlocked;
  }
  return this->Commit(entry, workers) ? Attempt::kPlaced
                                      : Attempt::kRequestBlocked;
}

std::vector<WorkerId> PlacementPass::FindRoom(const QueueEntry& entry,
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
  // Work of the holder's priority or below leaves what is held besides, so room
  // for the holder builds up next to the headroom. The holder itself leaves as
  // little as priority 1, which outranks it and would else keep it out for
  // good. Work below its guaranteed share likewise: priority 1 would take all
  // room before as much is free as lower priorities must leave.
  const Headroom& headroom = this->state->headroom;
  const std::int32_t priority = holds_reservation || this->in_guarantee
                                    ? std::min(service.profile.priority, 1)
                                    : service.profile.priority;
  const std::int64_t wanted = headroom.WantedOf(priority);
  if (wanted == 0) return true;
  std::int64_t left = this->ledger->TrackedFitCount();
  const GangReservation& reservation = this->state->reservation;
  const bool outranks = reservation.OutrankedBy(service.profile.priority);
  if (reservation.Active() && !holds_reservation && !outranks) {
    left -= reservation.HeldRoomFor(headroom.Task(), *this->ledger);
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
  return left >= wanted;
}

void PlacementPass::ConsiderReservation(const QueueEntry& entry,
                                        const ServiceEntry& service) {
  GangReservation& reservation = this->state->reservation;
  if (!reservation.MayBeTaken(this->now, service.profile.priority)) return;
  if (service.tasks == 1) {
    const double size =
        DominantShare(service.resources, this->ledger->LargestCapacity());
    if (size < kLargeTask) return;
    const QueuedRequest& request = entry.request;
    if (this->now - request.arrived < kPatience) return;
  }
  reservation.Take(this->now,
                   {entry.request.request, &service, entry.request.avoid},
                   this->state->running, this->state->catalog, this->ledger);
  this->GuaranteeReservation();
}

bool PlacementPass::Commit(const QueueEntry& entry,
                           const std::vector<WorkerId>& workers) {
  const RequestQueue::Lane& lane = this->state->queue.LaneAt(entry.lane);
  const ServiceEntry& service = this->state->catalog.ServiceAt(lane.service);
  const QueuedRequest& request = entry.request;
  const std::size_t before = this->placements.size();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    TaskId task = MakeTaskId(request.request, static_cast<std::int32_t>(i),
                             request.attempt);
    if (!this->ledger->Reserve(workers[i], task, service.resources)) {
      // The id is in use already: this attempt runs, found at a takeover. All
      // or nothing, so the rest is given back.
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
    this->state->reservation.Drop(this->ledger);
  }
  this->placed[service.profile.priority] += entry.size;
  const ServiceIndex service_number = lane.service;
  const TeamIndex team = lane.team;
  this->state->Leave(RequestId(request.request));
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
    this->state->Start(std::move(started));
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
