#include "scheduler/scheduler_state.h"

#include <utility>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// Lower limit of the run time for an expected release rate.
constexpr Duration kMinRunTime = std::chrono::milliseconds(1);

void AdjustCount(ProfileCount* counts, TeamIndex team, std::int64_t change) {
  if (team >= counts->by_team.size()) counts->by_team.resize(team + 1);
  counts->all += change;
  counts->by_team[team] += change;
}

}  // namespace

double SchedulerState::WeightedShareOf(TeamIndex team) const {
  const TeamEntry& entry = this->catalog.TeamAt(team);
  return DominantShare(entry.used, this->total_capacity) / entry.weight;
}

double SchedulerState::DominantShareOf(const Resources& resources) const {
  return DominantShare(resources, this->total_capacity);
}

PriorityBand& SchedulerState::BandOf(ServiceIndex service) {
  return this->bands[this->catalog.ServiceAt(service).profile.priority];
}

bool SchedulerState::BelowGuarantee(const PriorityBand& band) const {
  return this->DominantShareOf(band.in_use) < this->guaranteed_share;
}

void SchedulerState::UpdateTeamShare(TeamIndex team) {
  const double share = this->WeightedShareOf(team);
  for (auto& [priority, band] : this->bands) band.UpdateTeamShare(team, share);
}

void SchedulerState::UpdateCapacity(const Ledger& ledger) {
  const Resources total = ledger.TotalCapacity();
  if (total == this->total_capacity) return;
  this->total_capacity = total;
  for (TeamIndex team = 0; team < this->catalog.TeamCount(); ++team) {
    this->UpdateTeamShare(team);
  }
}

void SchedulerState::AddToBand(const QueueEntry& entry) {
  const RequestQueue::FlowQueue& flow = this->queue.FlowAt(entry.flow);
  PriorityBand& band = this->BandOf(flow.service);
  band.AddRequest({entry.flow, flow.service, flow.team, entry.size},
                  this->WeightedShareOf(flow.team));
  const ProfileId& profile = this->catalog.ServiceAt(flow.service).profile.id;
  AdjustCount(&this->queued_by_profile[profile], flow.team, 1);
}

void SchedulerState::RebuildBands() {
  std::map<std::int32_t, PriorityBand> before = std::move(this->bands);
  this->bands.clear();
  this->queued_by_profile.clear();
  for (auto& [priority, band] : before) {
    PriorityBand& fresh = this->bands[priority];
    fresh.drain = band.drain;
    fresh.arrivals = band.arrivals;
    fresh.in_use = band.in_use;
  }
  this->queue.Visit(
      [this](const QueueEntry& entry) { this->AddToBand(entry); });
}

void SchedulerState::AddRequest(Instant now, QueuedRequest request,
                                ServiceIndex service, TeamIndex team) {
  const FlowIndex flow = this->queue.FindOrAddFlow(service, team);
  const double size =
      this->DominantShareOf(this->catalog.ServiceAt(service).request_resources);
  const RequestSlot slot = this->queue.Add(std::move(request), flow, size);
  this->AddToBand(this->queue.At(slot));
  this->BandOf(service).arrivals.Add(now, size);
}

std::optional<QueueEntry> SchedulerState::RemoveRequest(
    const RequestId& request) {
  std::optional<QueueEntry> entry = this->queue.Remove(request);
  if (!entry) return std::nullopt;
  const RequestQueue::FlowQueue& flow = this->queue.FlowAt(entry->flow);
  this->BandOf(flow.service)
      .RemoveRequest({entry->flow, flow.service, flow.team, entry->size});
  const ProfileId& profile = this->catalog.ServiceAt(flow.service).profile.id;
  AdjustCount(&this->queued_by_profile[profile], flow.team, -1);
  return entry;
}

void SchedulerState::AddRunningTask(RunningEntry entry) {
  ServiceEntry& service = this->catalog.ServiceAt(entry.service);
  const Duration run = std::max(service.MeanRunTime(), kMinRunTime);
  entry.release_per_second = this->DominantShareOf(entry.resources) /
                             std::chrono::duration<double>(run).count();
  entry.priority = service.profile.priority;
  entry.preemptible = service.profile.preemptible && entry.priority > 0;
  entry.gang = service.tasks > 1;
  const TeamIndex team = entry.team;
  const Resources resources = entry.resources;
  const std::int32_t priority = entry.priority;
  const bool urgent = priority == 0;
  if (!this->running.Add(std::move(entry))) return;
  this->bands[priority].in_use += resources;
  if (urgent) this->headroom.OnUrgentStarted();
  this->headroom.SetNonUrgentReleaseRate(
      this->running.NonUrgentReleasePerSecond());
  this->catalog.TeamAt(team).used += resources;
  this->UpdateTeamShare(team);
}

std::optional<RunningEntry> SchedulerState::RemoveRunningTask(
    const TaskId& task, Ledger* ledger) {
  std::optional<RunningEntry> entry = this->running.Remove(task);
  if (!entry) return std::nullopt;
  ledger->Release(entry->worker, task);
  this->reservation.OnResourcesReleased(entry->worker, entry->resources,
                                        ledger);
  this->bands[entry->priority].in_use -= entry->resources;
  if (entry->priority == 0) this->headroom.OnUrgentEnded();
  this->headroom.SetNonUrgentReleaseRate(
      this->running.NonUrgentReleasePerSecond());
  this->catalog.TeamAt(entry->team).used -= entry->resources;
  this->UpdateTeamShare(entry->team);
  return entry;
}

}  // namespace mustardproxy::detail
