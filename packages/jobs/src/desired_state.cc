#include "mustardproxy/jobs/desired_state.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace mustardproxy::jobs {
namespace {

std::optional<SpecProblem> CheckTeam(const Team& team,
                                     const std::string& field) {
  if (team.id.Empty()) return SpecProblem{field + ".name", "is empty"};
  // Not a number compares as false, too.
  if (!(team.weight > 0)) {
    return SpecProblem{field + ".weight", "is " + std::to_string(team.weight) +
                                              ", must be greater than 0"};
  }
  const std::int64_t least =
      std::min({team.cap.cpu_milli, team.cap.memory_mb, team.cap.accelerators});
  if (least < 0) {
    return SpecProblem{field + ".cap", "has " + std::to_string(least) +
                                           ", must not be negative"};
  }
  return std::nullopt;
}

}  // namespace

const Queue* DesiredState::Route(std::string_view host,
                                 std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    const bool longer =
        best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &queue;
  }
  return best;
}

const Queue* DesiredState::FindQueue(const QueueName& name) const {
  for (const Queue& queue : this->queues) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

const Service* DesiredState::FindService(const ServiceId& id) const {
  for (const Service& service : this->services) {
    if (service.id == id) return &service;
  }
  return nullptr;
}

const Team* DesiredState::FindTeam(const KeyDigest& key) const {
  for (const Team& team : this->teams) {
    const auto end = team.keys.end();
    if (std::find(team.keys.begin(), end, key) != end) return &team;
  }
  return nullptr;
}

std::optional<SpecProblem> DesiredState::Check() const {
  std::set<TeamId> names;
  std::map<KeyDigest, TeamId> keys;
  for (std::size_t i = 0; i < this->teams.size(); ++i) {
    const Team& team = this->teams[i];
    const std::string field = "teams[" + std::to_string(i) + "]";
    if (auto problem = CheckTeam(team, field)) return problem;
    if (!names.insert(team.id).second) {
      return SpecProblem{field + ".name",
                         "is " + team.id.Text() + ", as of an earlier team"};
    }
    for (const KeyDigest& key : team.keys) {
      const auto [known, added] = keys.emplace(key, team.id);
      if (added || known->second == team.id) continue;
      return SpecProblem{field + ".keys", "contains the key " +
                                              key.Fingerprint() + " of team " +
                                              known->second.Text()};
    }
  }
  return std::nullopt;
}

}  // namespace mustardproxy::jobs
