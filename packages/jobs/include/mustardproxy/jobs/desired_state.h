#ifndef MUSTARDPROXY_JOBS_DESIRED_STATE_H_
#define MUSTARDPROXY_JOBS_DESIRED_STATE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/team.h"

namespace mustardproxy::jobs {

/// A pool of workers.
struct Service {
  ServiceId id;
  /// The workers reject tasks that exceed their capacity. Otherwise they start
  /// every task that they are ordered to start.
  bool workers_enforce_capacity = false;
  /// The hosts of the service are powered off until they are moved to another
  /// service.
  bool standby = false;

  friend bool operator==(const Service&, const Service&) = default;
};

/// Limits for requests of callers.
struct RequestBounds {
  std::int64_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 262'144;
  Duration header_time = std::chrono::seconds(3);
  Duration idle_time = std::chrono::seconds(15);

  friend bool operator==(const RequestBounds&, const RequestBounds&) = default;
};

/// The configuration that operators have put in force. It is always replaced as
/// a whole.
struct DesiredState {
  ConfigurationVersion version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Team> teams;
  /// Calls need the key of a team, except to queues that are open to all. False
  /// if the configuration does not mention teams.
  bool keys_required = false;
  RequestBounds bounds;

  /// @return the queue with the longest matching path prefix for this host
  ///   name, or null
  [[nodiscard]] const Queue* Route(std::string_view host,
                                   std::string_view path) const;
  [[nodiscard]] const Queue* FindQueue(const QueueName& name) const;
  [[nodiscard]] const Service* FindService(const ServiceId& id) const;
  /// @return the team that a key belongs to, or null
  [[nodiscard]] const Team* FindTeam(const KeyDigest& key) const;
  /// Validates the teams.
  /// @return the first problem, or `std::nullopt` if there is none
  [[nodiscard]] std::optional<SpecProblem> Check() const;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_DESIRED_STATE_H_
