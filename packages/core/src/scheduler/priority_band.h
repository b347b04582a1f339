#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_PRIORITY_BAND_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_PRIORITY_BAND_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "scheduler/catalog.h"
#include "scheduler/rates.h"
#include "scheduler/request_queue.h"

namespace mustardproxy::detail {

/// Data by which a band counts a queued request.
struct BandRequest {
  FlowIndex flow = 0;
  ServiceIndex service = 0;
  TeamIndex team = 0;
  /// Dominant share of the cell that its tasks use.
  double size = 0;
};

/// All waiting requests of one priority. Teams are ordered by weighted dominant
/// share, lowest first.
class PriorityBand {
 public:
  void AddRequest(const BandRequest& request, double team_share);
  void RemoveRequest(const BandRequest& request);
  /// Updates the share of a team and its position in the order.
  void UpdateTeamShare(TeamIndex team, double share);

  /// @return the team with the lowest share that is not suspended
  [[nodiscard]] std::optional<TeamIndex> NextTeam() const;
  /// Excludes a team from `NextTeam` until `ResumeTeams` because none of its
  /// requests can be placed.
  void SuspendTeam(TeamIndex team);
  void ResumeTeams();

  [[nodiscard]] std::span<const FlowIndex> FlowsOf(TeamIndex team) const;
  [[nodiscard]] bool Empty() const { return this->live == 0; }
  /// Number of services with waiting requests.
  [[nodiscard]] std::size_t WaitingServices() const;
  /// Sum of the sizes of all waiting requests.
  [[nodiscard]] double Backlog() const;
  [[nodiscard]] double BacklogOf(TeamIndex team) const;
  /// Calls `visit(team, backlog)` for each team with waiting requests that is
  /// not suspended.
  template <typename Visitor>
  void VisitTeams(Visitor visit) const;

  /// Drain rate of this band and all more urgent ones together.
  DrainRate drain;
  /// Arrival rate of the sizes queued in this band.
  ArrivalRate arrivals;
  /// Resources of the running tasks of this priority.
  Resources in_use;

 private:
  struct TeamQueue {
    std::vector<FlowIndex> flows;
    std::size_t live = 0;
    double backlog = 0;
    double share = 0;
    bool suspended = false;
  };
  struct TeamRank {
    double share = 0;
    TeamIndex team = 0;
    friend bool operator<(const TeamRank& a, const TeamRank& b) {
      return a.share != b.share ? a.share < b.share : a.team < b.team;
    }
  };

  [[nodiscard]] TeamQueue& QueueOf(TeamIndex team);

  std::vector<TeamQueue> teams;
  std::set<TeamRank> ranks;
  std::vector<TeamIndex> suspended;
  std::vector<std::size_t> live_by_service;
  std::size_t waiting_services = 0;
  std::size_t live = 0;
  double backlog = 0;
};

template <typename Visitor>
void PriorityBand::VisitTeams(Visitor visit) const {
  for (const TeamRank& rank : this->ranks) {
    visit(rank.team, this->teams[rank.team].backlog);
  }
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_PRIORITY_BAND_H_
