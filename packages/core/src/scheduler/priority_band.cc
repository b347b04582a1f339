#include "scheduler/priority_band.h"

#include <algorithm>

namespace mustardproxy::detail {

PriorityBand::TeamQueue& PriorityBand::QueueOf(TeamIndex team) {
  if (team >= this->teams.size()) this->teams.resize(team + 1);
  return this->teams[team];
}

void PriorityBand::Join(const BandRequest& request, double team_share) {
  TeamQueue& queue = this->QueueOf(request.team);
  if (std::ranges::find(queue.lanes, request.lane) == queue.lanes.end()) {
    queue.lanes.push_back(request.lane);
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

void PriorityBand::Leave(const BandRequest& request) {
  TeamQueue& queue = this->QueueOf(request.team);
  --queue.live;
  queue.backlog -= request.size;
  --this->live;
  this->backlog -= request.size;
  if (--this->live_by_service[request.service] == 0) --this->waiting_services;
  // Sums of floating point drift; an empty queue is exactly empty.
  if (this->live == 0) this->backlog = 0;
  if (queue.live > 0) return;
  queue.backlog = 0;
  if (!queue.parked) this->ranks.erase({queue.share, request.team});
}

void PriorityBand::Rank(TeamIndex team, double share) {
  TeamQueue& queue = this->QueueOf(team);
  const bool ranked = queue.live > 0 && !queue.parked;
  if (ranked) this->ranks.erase({queue.share, team});
  queue.share = share;
  if (ranked) this->ranks.insert({queue.share, team});
}

std::optional<TeamIndex> PriorityBand::NextTeam() const {
  if (this->ranks.empty()) return std::nullopt;
  return this->ranks.begin()->team;
}

void PriorityBand::Park(TeamIndex team) {
  TeamQueue& queue = this->QueueOf(team);
  this->ranks.erase({queue.share, team});
  queue.parked = true;
  this->parked.push_back(team);
}

void PriorityBand::UnparkAll() {
  for (const TeamIndex team : this->parked) {
    TeamQueue& queue = this->teams[team];
    queue.parked = false;
    if (queue.live > 0) this->ranks.insert({queue.share, team});
  }
  this->parked.clear();
}

std::span<const LaneIndex> PriorityBand::LanesOf(TeamIndex team) const {
  return this->teams[team].lanes;
}

std::size_t PriorityBand::WaitingServices() const {
  return this->waiting_services;
}

double PriorityBand::Backlog() const { return this->backlog; }

double PriorityBand::BacklogOf(TeamIndex team) const {
  return team < this->teams.size() ? this->teams[team].backlog : 0.0;
}

}  // namespace mustardproxy::detail
