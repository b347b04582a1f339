#include "team_shares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace mustardproxy::jobs {
namespace {

constexpr double kUnlimited = std::numeric_limits<double>::infinity();
/// Relative error allowed in sums of shares.
constexpr double kRounding = 1e-9;

/// The resources that shares are measured in.
constexpr std::size_t kResources = 2;
using Amounts = std::array<double, kResources>;

Amounts AmountsOf(const Resources& resources) {
  return {static_cast<double>(resources.cpu_milli),
          static_cast<double>(resources.memory_mb)};
}

/// @return the largest part; a resource without capacity does not count
double Dominant(const Amounts& used, const Amounts& capacity) {
  double most = 0;
  for (std::size_t i = 0; i < kResources; ++i) {
    if (capacity[i] > 0) most = std::max(most, used[i] / capacity[i]);
  }
  return most;
}

/// What one team asks for.
struct Demand {
  double weight = 0;
  /// Parts of the capacity.
  Amounts parts{};
  double dominant = 0;
};

Demand DemandOf(const TeamLoad& load, const Amounts& capacity) {
  Amounts asked = AmountsOf(load.used + load.waiting);
  const Amounts cap = AmountsOf(load.cap);
  const Amounts used = AmountsOf(load.used);
  Demand demand;
  demand.weight = load.weight > 0 ? load.weight : 0;
  for (std::size_t i = 0; i < kResources; ++i) {
    if (cap[i] > 0) asked[i] = std::max(used[i], std::min(asked[i], cap[i]));
    if (capacity[i] > 0) demand.parts[i] = asked[i] / capacity[i];
  }
  demand.dominant = Dominant(asked, capacity);
  return demand;
}

/// @param demands in ascending order of dominant share by weight
/// @return the dominant share per weight at which a resource is used up, if
///   each team takes at most what it asks for
double LevelOf(std::span<const Demand> demands, std::size_t resource) {
  double slope = 0;
  for (const Demand& one : demands) {
    slope += one.weight * one.parts[resource] / one.dominant;
  }
  double satisfied = 0;
  for (const Demand& one : demands) {
    if (one.weight == 0) break;
    if (satisfied + slope * one.dominant / one.weight > 1 + kRounding) {
      return std::max(0.0, 1 - satisfied) / slope;
    }
    satisfied += one.parts[resource];
    slope -= one.weight * one.parts[resource] / one.dominant;
    slope = std::max(slope, 0.0);
  }
  return kUnlimited;
}

}  // namespace

TeamNumber TeamShares::NumberOf(const TeamId& team) {
  const auto [found, added] = this->numbers.try_emplace(
      team, static_cast<TeamNumber>(this->names.size()));
  if (added) {
    this->names.push_back(team);
    this->entries.emplace_back();
  }
  return found->second;
}

void TeamShares::Update(const Resources& capacity,
                        std::span<const TeamLoad> loads) {
  this->capacity = capacity;
  const Amounts all = AmountsOf(capacity);
  Amounts asked{};
  std::vector<Demand> demands;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    this->entries[i] = {.load = loads[i]};
    const Demand demand = DemandOf(loads[i], all);
    if (demand.dominant == 0) continue;
    demands.push_back(demand);
    for (std::size_t k = 0; k < kResources; ++k) asked[k] += demand.parts[k];
  }
  const bool suffices = asked[0] <= 1 + kRounding && asked[1] <= 1 + kRounding;
  if (suffices || demands.size() < 2) return;
  // Compared without a division, so that a weight of 0 comes last.
  std::sort(demands.begin(), demands.end(),
            [](const Demand& a, const Demand& b) {
              return a.dominant * b.weight < b.dominant * a.weight;
            });
  double level = kUnlimited;
  for (std::size_t k = 0; k < kResources; ++k) {
    level = std::min(level, LevelOf(demands, k));
  }
  for (Entry& entry : this->entries) {
    entry.entitled = entry.load.weight > 0 ? entry.load.weight * level : 0;
  }
}

void TeamShares::SetUsed(TeamNumber team, const Resources& used) {
  this->entries[team].load.used = used;
}

std::int64_t TeamShares::CountWithin(TeamNumber team, const Resources& each,
                                     std::int64_t limit) const {
  const Entry& entry = this->entries[team];
  if (entry.entitled == kUnlimited) return limit;
  const Amounts all = AmountsOf(this->capacity);
  const Amounts used = AmountsOf(entry.load.used);
  const Amounts task = AmountsOf(each);
  auto count = static_cast<double>(limit);
  for (std::size_t i = 0; i < kResources; ++i) {
    if (all[i] <= 0) continue;
    const double left = entry.entitled * all[i] - used[i];
    if (task[i] > 0) {
      count = std::min(count, std::floor(left / task[i] + 0.5 + kRounding));
    } else if (left < -kRounding * all[i]) {
      return 0;
    }
  }
  const bool idle = used == Amounts{};
  const double least = idle && entry.entitled > 0 ? 1 : 0;
  return std::min(limit, static_cast<std::int64_t>(std::max(count, least)));
}

double TeamShares::ShareOf(TeamNumber team) const {
  return std::min(1.0, this->entries[team].entitled);
}

double TeamShares::UsedOf(TeamNumber team) const {
  return Dominant(AmountsOf(this->entries[team].load.used),
                  AmountsOf(this->capacity));
}

bool TeamShares::Above(TeamNumber team) const {
  return this->UsedOf(team) > this->entries[team].entitled + kRounding;
}

bool TeamShares::Above(const TeamId& team) const {
  const auto found = this->numbers.find(team);
  return found != this->numbers.end() && this->Above(found->second);
}

}  // namespace mustardproxy::jobs
