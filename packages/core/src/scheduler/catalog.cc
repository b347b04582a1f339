#include "scheduler/catalog.h"

#include <algorithm>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// A weight of zero would make a share endless.
constexpr double kLeastWeight = 1e-6;

bool PartWithin(std::int64_t amount, std::int64_t limit) {
  return limit <= 0 || amount <= limit;
}

}  // namespace

Duration ServiceEntry::ExpectedRun() const {
  return this->run_times.Measured() ? this->run_times.Median()
                                    : this->declared_run;
}

Duration ServiceEntry::LongRun() const {
  return this->run_times.Measured() ? this->run_times.NinetiethPercentile()
                                    : this->declared_run;
}

Duration ServiceEntry::MeanRun() const {
  return this->run_times.Measured() ? this->run_times.Mean()
                                    : this->declared_run;
}

Duration ServiceEntry::ExpectedRemaining(Duration elapsed) const {
  if (this->run_times.Measured()) return this->run_times.Remaining(elapsed);
  if (this->declared_run > elapsed) return this->declared_run - elapsed;
  return std::max(elapsed, Duration(1));
}

bool WithinQuota(const Resources& amount, const Resources& quota) {
  return PartWithin(amount.cpu_milli, quota.cpu_milli) &&
         PartWithin(amount.memory_mb, quota.memory_mb) &&
         PartWithin(amount.accelerators, quota.accelerators) &&
         PartWithin(amount.slots, quota.slots);
}

bool TeamEntry::HasQuotaFor(const Resources& more) const {
  return WithinQuota(this->used + more, this->quota);
}

void Catalog::Configure(const Configuration& configuration) {
  for (ServiceEntry& service : this->services) service.known = false;
  for (TeamEntry& team : this->teams) team.known = false;
  for (const auto& [id, service] : configuration.services) {
    const auto profile = configuration.profiles.find(service.profile);
    if (profile == configuration.profiles.end()) continue;
    this->ConfigureService(service, profile->second);
  }
  this->total_weight = 0;
  for (const auto& [id, team] : configuration.teams) {
    TeamEntry& entry = this->TeamAt(this->TeamNumber(id));
    entry.known = true;
    entry.weight = std::max(team.weight, kLeastWeight);
    entry.quota = team.quota;
    this->total_weight += entry.weight;
  }
}

void Catalog::ConfigureService(const Service& service, const Profile& profile) {
  ServiceEntry& entry = this->ServiceAt(this->ServiceNumber(service.id));
  entry.known = true;
  entry.resources = service.resources;
  entry.tasks = std::max(service.tasks, 1);
  entry.all_tasks = Multiply(entry.resources, entry.tasks);
  entry.profile = profile;
  entry.declared_run = std::max(service.expected_run, Duration(1));
}

ServiceIndex Catalog::ServiceNumber(const ServiceId& id) {
  const auto next = static_cast<ServiceIndex>(this->services.size());
  const auto [found, added] = this->service_numbers.emplace(id, next);
  if (added) this->services.emplace_back().id = id;
  return found->second;
}

TeamIndex Catalog::TeamNumber(const TeamId& id) {
  const auto next = static_cast<TeamIndex>(this->teams.size());
  const auto [found, added] = this->team_numbers.emplace(id, next);
  if (added) this->teams.emplace_back().id = id;
  return found->second;
}

std::optional<ServiceIndex> Catalog::FindService(const ServiceId& id) const {
  const auto found = this->service_numbers.find(id);
  if (found == this->service_numbers.end()) return std::nullopt;
  if (!this->services[found->second].known) return std::nullopt;
  return found->second;
}

std::optional<TeamIndex> Catalog::FindTeam(const TeamId& id) const {
  const auto found = this->team_numbers.find(id);
  if (found == this->team_numbers.end()) return std::nullopt;
  if (!this->teams[found->second].known) return std::nullopt;
  return found->second;
}

ServiceEntry& Catalog::ServiceAt(ServiceIndex service) {
  return this->services[service];
}

const ServiceEntry& Catalog::ServiceAt(ServiceIndex service) const {
  return this->services[service];
}

TeamEntry& Catalog::TeamAt(TeamIndex team) { return this->teams[team]; }

const TeamEntry& Catalog::TeamAt(TeamIndex team) const {
  return this->teams[team];
}

std::size_t Catalog::ServiceCount() const { return this->services.size(); }

std::size_t Catalog::TeamCount() const { return this->teams.size(); }

}  // namespace mustardproxy::detail
