#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_CATALOG_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_CATALOG_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/configuration.h"
#include "scheduler/rates.h"
#include "scheduler/run_times.h"

namespace mustardproxy::detail {

using ServiceIndex = std::uint32_t;
using TeamIndex = std::uint32_t;

/// A service with its profile and its measured statistics.
struct ServiceEntry {
  ServiceId id;
  /// False if the current configuration does not contain the service. Its
  /// queued requests then use its last definition.
  bool configured = false;
  Resources resources;
  std::int32_t tasks = 1;
  /// Resources of all tasks of one request.
  Resources request_resources;
  Profile profile;
  Duration declared_run_time{0};
  RunTimes run_times;
  /// All requests, accepted or refused.
  ArrivalRate arrivals;
  std::int64_t running_tasks = 0;

  /// The measured run time if there are samples, otherwise the declared one.
  [[nodiscard]] Duration ExpectedRunTime() const;
  [[nodiscard]] Duration P90RunTime() const;
  [[nodiscard]] Duration MeanRunTime() const;
  [[nodiscard]] Duration ExpectedRemaining(Duration elapsed) const;
};

/// A team with the resources of its running tasks.
struct TeamEntry {
  TeamId id;
  bool configured = false;
  double weight = 1.0;
  Resources quota;
  Resources used;

  /// @return true if `more` fits into the quota in addition to `used`
  [[nodiscard]] bool HasQuotaFor(const Resources& more) const;
};

/// @return true if no component of `amount` exceeds `quota`; a component of
///   zero is unlimited
[[nodiscard]] bool WithinQuota(const Resources& amount, const Resources& quota);

/// Services and teams under indexes that stay valid when the configuration
/// changes.
class Catalog {
 public:
  void Configure(const Configuration& configuration);
  /// @return the index of a service, added if new, whether configured or not
  ServiceIndex FindOrAddService(const ServiceId& id);
  TeamIndex FindOrAddTeam(const TeamId& id);
  [[nodiscard]] std::optional<ServiceIndex> FindService(
      const ServiceId& id) const;
  [[nodiscard]] std::optional<TeamIndex> FindTeam(const TeamId& id) const;
  [[nodiscard]] ServiceEntry& ServiceAt(ServiceIndex service);
  [[nodiscard]] const ServiceEntry& ServiceAt(ServiceIndex service) const;
  [[nodiscard]] TeamEntry& TeamAt(TeamIndex team);
  [[nodiscard]] const TeamEntry& TeamAt(TeamIndex team) const;
  [[nodiscard]] std::size_t ServiceCount() const;
  [[nodiscard]] std::size_t TeamCount() const;
  /// Sum of the weights of all teams in the configuration.
  [[nodiscard]] double TotalWeight() const { return this->total_weight; }

 private:
  void ConfigureService(const Service& service, const Profile& profile);

  std::vector<ServiceEntry> services;
  std::vector<TeamEntry> teams;
  std::unordered_map<ServiceId, ServiceIndex> service_indexes;
  std::unordered_map<TeamId, TeamIndex> team_indexes;
  double total_weight = 0;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_CATALOG_H_
