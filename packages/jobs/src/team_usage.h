#ifndef MUSTARDPROXY_JOBS_TEAM_USAGE_H_
#define MUSTARDPROXY_JOBS_TEAM_USAGE_H_

#include <unordered_map>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy::jobs {

/// Part of a team's cap that a run takes.
struct TeamShare {
  /// Empty for a run that counts towards no cap.
  TeamId team;
  Resources resources;
};

/// Resources that the runs of each team take over all workers, from their
/// placement until they are known to have ended.
class TeamUsage {
 public:
  void Add(const TeamShare& share);
  void Subtract(const TeamShare& share);
  [[nodiscard]] Resources Of(const TeamId& team) const;

 private:
  std::unordered_map<TeamId, Resources> used;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_TEAM_USAGE_H_
