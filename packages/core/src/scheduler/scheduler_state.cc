#include "scheduler/scheduler_state.h"

#include <utility>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// Run time below which an expected release rate would say nothing.
constexpr Duration kLeastRun = std::chrono::milliseconds(1);

void Count(ProfileCount* counts, TeamIndex team, std::int64_t change) {
  if (team >= counts->by_team.size()) counts->by_team.resize(team + 1);
  counts->all += change;
  counts->by_team[team] += change;
}

}  // namespace

double SchedulerState::ShareOf(TeamIndex team) const {
  const TeamEntry& entry = this->catalog.TeamAt(team);
  return DominantShare(entry.used, this->total_capacity) / entry.weight;
}

double SchedulerState::SizeOf(const Resources& resources) const {
  return DominantShare(resources, this->total_capacity);
}

PriorityBand& SchedulerState::BandOf(ServiceIndex service) {
  return this->bands[this->catalog.ServiceAt(service).profile.priority];
}

bool SchedulerState::BelowGuarantee(const PriorityBand& band) const {
  return this->SizeOf(band.held) < this->guaranteed_share;
}

void SchedulerState::Rank(TeamIndex team) {
  const double share = this->ShareOf(team);
  for (auto& [priority, band] : this->bands) band.Rank(team, share);
}

void SchedulerState::FollowCapacity(const Ledger& ledger) {
  const Resources total = ledger.TotalCapacity();
  if (total == this->total_capacity) return;
  this->total_capacity = total;
  for (TeamIndex team = 0; team < this->catalog.TeamCount(); ++team) {
    this->Rank(team);
  }
}

void SchedulerState::File(const QueueEntry& entry) {
  const RequestQueue::Lane& lane = this->queue.LaneAt(entry.lane);
  PriorityBand& band = this->BandOf(lane.service);
  band.Join({entry.lane, lane.service, lane.team, entry.size},
            this->ShareOf(lane.team));
  const ProfileId& profile = this->catalog.ServiceAt(lane.service).profile.id;
  Count(&this->queued_by_profile[profile], lane.team, 1);
}

void SchedulerState::RebuildBands() {
  std::map<std::int32_t, PriorityBand> before = std::move(this->bands);
  this->bands.clear();
  this->queued_by_profile.clear();
  for (auto& [priority, band] : before) {
    PriorityBand& fresh = this->bands[priority];
    fresh.drain = band.drain;
    fresh.arrivals = band.arrivals;
    fresh.held = band.held;
  }
  this->queue.Visit([this](const QueueEntry& entry) { this->File(entry); });
}

void SchedulerState::Join(Instant now, QueuedRequest request,
                          ServiceIndex service, TeamIndex team) {
  const LaneIndex lane = this->queue.LaneFor(service, team);
  const double size = this->SizeOf(this->catalog.ServiceAt(service).all_tasks);
  const RequestSlot slot = this->queue.Add(std::move(request), lane, size);
  this->File(this->queue.At(slot));
  this->BandOf(service).arrivals.Add(now, size);
}

std::optional<QueueEntry> SchedulerState::Leave(const RequestId& request) {
  std::optional<QueueEntry> entry = this->queue.Remove(request);
  if (!entry) return std::nullopt;
  const RequestQueue::Lane& lane = this->queue.LaneAt(entry->lane);
  this->BandOf(lane.service)
      .Leave({entry->lane, lane.service, lane.team, entry->size});
  const ProfileId& profile = this->catalog.ServiceAt(lane.service).profile.id;
  Count(&this->queued_by_profile[profile], lane.team, -1);
  return entry;
}

void SchedulerState::Start(RunningEntry entry) {
  ServiceEntry& service = this->catalog.ServiceAt(entry.service);
  const Duration run = std::max(service.MeanRun(), kLeastRun);
  entry.release_per_second = this->SizeOf(entry.resources) /
                             std::chrono::duration<double>(run).count();
  entry.priority = service.profile.priority;
  entry.preemptible = service.profile.preemptible && entry.priority > 0;
  entry.gang = service.tasks > 1;
  const TeamIndex team = entry.team;
  const Resources resources = entry.resources;
  const std::int32_t priority = entry.priority;
  const bool urgent = priority == 0;
  if (!this->running.Add(std::move(entry))) return;
  this->bands[priority].held += resources;
  if (urgent) this->headroom.UrgentStarted();
  this->headroom.FollowOtherWork(this->running.OtherReleasePerSecond());
  this->catalog.TeamAt(team).used += resources;
  this->Rank(team);
}

std::optional<RunningEntry> SchedulerState::End(const TaskId& task,
                                                Ledger* ledger) {
  std::optional<RunningEntry> entry = this->running.Remove(task);
  if (!entry) return std::nullopt;
  ledger->Release(entry->worker, task);
  this->reservation.OnFreed(entry->worker, entry->resources, ledger);
  this->bands[entry->priority].held -= entry->resources;
  if (entry->priority == 0) this->headroom.UrgentEnded();
  this->headroom.FollowOtherWork(this->running.OtherReleasePerSecond());
  this->catalog.TeamAt(entry->team).used -= entry->resources;
  this->Rank(entry->team);
  return entry;
}

}  // namespace mustardproxy::detail
