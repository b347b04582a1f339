#ifndef MUSTARDPROXY_JOBS_TEAM_SHARES_H_
#define MUSTARDPROXY_JOBS_TEAM_SHARES_H_

#include <cstdint>
#include <limits>
#include <span>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy::jobs {

/// Index of a team in TeamShares; it does not change.
using TeamNumber = std::uint32_t;

/// Weight of the jobs that were submitted without a team, which count as one
/// team together, and of a team that is not in the desired state any more.
inline constexpr double kUnknownTeamWeight = 1.0;

/// What one team takes and asks for.
struct TeamLoad {
  /// A team of weight 0 gets only what all others leave.
  double weight = kUnknownTeamWeight;
  /// Resources of its running tasks.
  Resources used;
  /// Resources of its tasks that could start now.
  Resources waiting;
  /// Upper bound for both together; a component of 0 is not limited.
  Resources cap;
};

/// Divides the capacity among the teams that ask for it: weighted max-min
/// fairness of their dominant shares of processors and memory. What a team does
/// not ask for is divided among the others by their weights.
///
/// Load answered: some teams ask for many times what they usually do, in narrow
/// and wide work. Their tasks may use whatever the others leave, but do not
/// precede those of teams that are within their shares.
class TeamShares {
 public:
  /// Adds the team if it is not known yet.
  TeamNumber NumberOf(const TeamId& team);
  /// The known teams by number.
  [[nodiscard]] std::span<const TeamId> Teams() const { return this->names; }

  /// Divides the capacity anew.
  /// @param loads of all known teams, by number
  void Update(const Resources& capacity, std::span<const TeamLoad> loads);
  /// Changes what the running tasks of a team take.
  void SetUsed(TeamNumber team, const Resources& used);

  /// Counts the tasks that may start before the team is beyond its share. The
  /// last one counts if it brings the team closer to its share, and so does
  /// the first one of a team that runs nothing: without this a task wider than
  /// the share would never be within it.
  /// @param each resources of one task, or of a whole gang
  [[nodiscard]] std::int64_t CountWithin(TeamNumber team, const Resources& each,
                                         std::int64_t limit) const;

  /// @return the part of the capacity, from 0 to 1, that the team is entitled
  ///   to now; 1 while the capacity suffices for all
  [[nodiscard]] double ShareOf(TeamNumber team) const;
  /// @return the part of the capacity that its running tasks take
  [[nodiscard]] double UsedOf(TeamNumber team) const;
  /// @return true if its running tasks take more than its share
  [[nodiscard]] bool Above(TeamNumber team) const;
  /// @return the same by name; false for an unknown team
  [[nodiscard]] bool Above(const TeamId& team) const;

 private:
  struct Entry {
    TeamLoad load;
    /// May exceed 1.
    double entitled = std::numeric_limits<double>::infinity();
  };

  std::unordered_map<TeamId, TeamNumber> numbers;
  std::vector<TeamId> names;
  std::vector<Entry> entries;
  Resources capacity;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_TEAM_SHARES_H_
