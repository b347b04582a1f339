#include "scheduler/catalog.h"

#include <algorithm>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// A weight of zero would cause a division by zero in the weighted share.
constexpr double kMinWeight = 1e-6;

bool ComponentWithin(std::int64_t amount, std::int64_t limit) {
  return limit <= 0 || amount <= limit;
}

}  // namespace

Duration ServiceEntry::ExpectedRunTime() const {
  return this->run_times.HasSamples() ? this->run_times.Median()
                                      : this->declared_run_time;
}

Duration ServiceEntry::P90RunTime() const {
  return this->run_times.HasSamples() ? this->run_times.NinetiethPercentile()
                                      : this->declared_run_time;
}

Duration ServiceEntry::MeanRunTime() const {
  return this->run_times.HasSamples() ? this->run_times.Mean()
                                      : this->declared_run_time;
}

Duration ServiceEntry::ExpectedRemaining(Duration elapsed) const {
  if (this->run_times.HasSamples()) return this->run_times.Remaining(elapsed);
  if (this->declared_run_time > elapsed)
    return this->declared_run_time - elapsed;
  return std::max(elapsed, Duration(1));
}

bool WithinQuota(const Resources& amount, const Resources& quota) {
  return ComponentWithin(amount.cpu_milli, quota.cpu_milli) &&
         ComponentWithin(amount.memory_mb, quota.memory_mb) &&
         ComponentWithin(amount.accelerators, quota.accelerators) &&
         ComponentWithin(amount.slots, quota.slots);
}

bool TeamEntry::HasQuotaFor(const Resources& more) const {
  return WithinQuota(this->used + more, this->quota);
}

void Catalog::Configure(const Configuration& configuration) {
  for (ServiceEntry& service : this->services) service.configured = false;
  for (TeamEntry& team : this->teams) team.configured = false;
  for (const auto& [id, service] : configuration.services) {
    const auto profile = configuration.profiles.find(service.profile);
    if (profile == configuration.profiles.end()) continue;
    this->ConfigureService(service, profile->second);
  }
  this->total_weight = 0;
  for (const auto& [id, team] : configuration.teams) {
    TeamEntry& entry = this->TeamAt(this->FindOrAddTeam(id));
    entry.configured = true;
    entry.weight = std::max(team.weight, kMinWeight);
    entry.quota = team.quota;
    this->total_weight += entry.weight;
  }
}

void Catalog::ConfigureService(const Service& service, const Profile& profile) {
  ServiceEntry& entry = this->ServiceAt(this->FindOrAddService(service.id));
  entry.configured = true;
  entry.resources = service.resources;
  entry.tasks = std::max(service.tasks, 1);
  entry.request_resources = Multiply(entry.resources, entry.tasks);
  entry.profile = profile;
  entry.declared_run_time = std::max(service.expected_run, Duration(1));
}

ServiceIndex Catalog::FindOrAddService(const ServiceId& id) {
  const auto next = static_cast<ServiceIndex>(this->services.size());
  const auto [found, added] = this->service_indexes.emplace(id, next);
  if (added) this->services.emplace_back().id = id;
  return found->second;
}

TeamIndex Catalog::FindOrAddTeam(const TeamId& id) {
  const auto next = static_cast<TeamIndex>(this->teams.size());
  const auto [found, added] = this->team_indexes.emplace(id, next);
  if (added) this->teams.emplace_back().id = id;
  return found->second;
}

std::optional<ServiceIndex> Catalog::FindService(const ServiceId& id) const {
  const auto found = this->service_indexes.find(id);
  if (found == this->service_indexes.end()) return std::nullopt;
  if (!this->services[found->second].configured) return std::nullopt;
  return found->second;
}

std::optional<TeamIndex> Catalog::FindTeam(const TeamId& id) const {
  const auto found = this->team_indexes.find(id);
  if (found == this->team_indexes.end()) return std::nullopt;
  if (!this->teams[found->second].configured) return std::nullopt;
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
