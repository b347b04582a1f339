#ifndef MUSTARDPROXY_JOBS_TEAM_USAGE_H_
#define MUSTARDPROXY_JOBS_TEAM_USAGE_H_

#include <unordered_map>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy::jobs {

/// What a run takes of its team's cap and share.
struct TeamShare {
  /// Empty for a run of a job without a team, which has no cap.
  TeamId team;
  Resources resources;
};

/// Resources that the runs of each team take over all workers, from their
/// placement until they are known to have ended.
class TeamUsage {
 public:
  using Map = std::unordered_map<TeamId, Resources>;

  void Add(const TeamShare& share);
  void Subtract(const TeamShare& share);
  [[nodiscard]] Resources Of(const TeamId& team) const;
  [[nodiscard]] Map::const_iterator begin() const { return this->used.begin(); }
  [[nodiscard]] Map::const_iterator end() const { return this->used.end(); }

 private:
  Map used;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_TEAM_USAGE_H_
