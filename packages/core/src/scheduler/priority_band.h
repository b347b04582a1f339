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

/// What a band counts when a request joins or leaves it.
struct BandRequest {
  FlowIndex flow = 0;
  ServiceIndex service = 0;
  TeamIndex team = 0;
  /// Dominant share of the cell that its tasks take.
  double size = 0;
};

/// All waiting requests of one priority, ordered between teams by weighted
/// dominant share: the team that holds least, relative to its weight, is next.
class PriorityBand {
 public:
  void AddRequest(const BandRequest& request, double team_share);
  void RemoveRequest(const BandRequest& request);
  /// Moves a team to the place that its share gives it.
  void UpdateTeamShare(TeamIndex team, double share);

  /// @return the team that is next, leaving out suspended ones
  [[nodiscard]] std::optional<TeamIndex> NextTeam() const;
  /// Leaves a team out until `ResumeTeams`, since nothing of it can be placed.
  void SuspendTeam(TeamIndex team);
  void ResumeTeams();

  [[nodiscard]] std::span<const FlowIndex> FlowsOf(TeamIndex team) const;
  [[nodiscard]] bool Empty() const { return this->live == 0; }
  /// Services of which something waits.
  [[nodiscard]] std::size_t WaitingServices() const;
  /// Sum of the sizes of all that wait.
  [[nodiscard]] double Backlog() const;
  [[nodiscard]] double BacklogOf(TeamIndex team) const;
  /// Calls `visit(team, backlog)` for each team with something that waits.
  template <typename Visitor>
  void VisitTeams(Visitor visit) const;

  /// Drain of this band and all more urgent ones together.
  DrainRate drain;
  /// Sizes accepted into this band.
  ArrivalRate arrivals;
  /// Held by the tasks that were started from it.
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
