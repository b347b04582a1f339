#include "team_usage.h"

namespace mustardproxy::jobs {

void TeamUsage::Add(const TeamShare& share) {
  if (share.resources == Resources{}) return;
  this->used[share.team] += share.resources;
}

void TeamUsage::Subtract(const TeamShare& share) {
  const auto found = this->used.find(share.team);
  if (found == this->used.end()) return;
  found->second -= share.resources;
  if (found->second == Resources{}) this->used.erase(found);
}

Resources TeamUsage::Of(const TeamId& team) const {
  const auto found = this->used.find(team);
  return found == this->used.end() ? Resources{} : found->second;
}

}  // namespace mustardproxy::jobs
