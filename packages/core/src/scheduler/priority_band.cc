#include "scheduler/priority_band.h"

#include <algorithm>

namespace mustardproxy::detail {

PriorityBand::TeamQueue& PriorityBand::QueueOf(TeamIndex team) {
  if (team >= this->teams.size()) this->teams.resize(team + 1);
  return this->teams[team];
}

void PriorityBand::AddRequest(const BandRequest& request, double team_share) {
  TeamQueue& queue = this->QueueOf(request.team);
  if (std::ranges::find(queue.flows, request.flow) == queue.flows.end()) {
    queue.flows.push_back(request.flow);
  }
  if (queue.live == 0) {
    queue.share = team_share;
    this->ranks.insert({queue.share, request.team});
  }
  ++queue.live;
  queue.backlog += request.size;
  ++this->live;
  this->backlog += request.size;
  if (request.service >= this->live_by_service.size()) {
    this->live_by_service.resize(request.service + 1);
  }
  if (this->live_by_service[request.service]++ == 0) ++this->waiting_services;
}

void PriorityBand::RemoveRequest(const BandRequest& request) {
  TeamQueue& queue = this->QueueOf(request.team);
  --queue.live;
  queue.backlog -= request.size;
  --this->live;
  this->backlog -= request.size;
  if (--this->live_by_service[request.service] == 0) --this->waiting_services;
  // Floating-point sums drift, so the sum of an empty queue is reset to zero.
  if (this->live == 0) this->backlog = 0;
  if (queue.live > 0) return;
  queue.backlog = 0;
  if (!queue.suspended) this->ranks.erase({queue.share, request.team});
}

void PriorityBand::UpdateTeamShare(TeamIndex team, double share) {
  TeamQueue& queue = this->QueueOf(team);
  const bool ranked = queue.live > 0 && !queue.suspended;
  if (ranked) this->ranks.erase({queue.share, team});
  queue.share = share;
  if (ranked) this->ranks.insert({queue.share, team});
}

std::optional<TeamIndex> PriorityBand::NextTeam() const {
  if (this->ranks.empty()) return std::nullopt;
  return this->ranks.begin()->team;
}

void PriorityBand::SuspendTeam(TeamIndex team) {
  TeamQueue& queue = this->QueueOf(team);
  this->ranks.erase({queue.share, team});
  queue.suspended = true;
  this->suspended.push_back(team);
}

void PriorityBand::ResumeTeams() {
  for (const TeamIndex team : this->suspended) {
    TeamQueue& queue = this->teams[team];
    queue.suspended = false;
    if (queue.live > 0) this->ranks.insert({queue.share, team});
  }
  this->suspended.clear();
}

std::span<const FlowIndex> PriorityBand::FlowsOf(TeamIndex team) const {
  return this->teams[team].flows;
}

std::size_t PriorityBand::WaitingServices() const {
  return this->waiting_services;
}

double PriorityBand::Backlog() const { return this->backlog; }

double PriorityBand::BacklogOf(TeamIndex team) const {
  return team < this->teams.size() ? this->teams[team].backlog : 0.0;
}

}  // namespace mustardproxy::detail
