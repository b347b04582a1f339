#ifndef MUSTARDPROXY_CORE_CONFIGURATION_H_
#define MUSTARDPROXY_CORE_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// How tasks of a profile are packed onto workers.
enum class Packing {
  /// Onto the worker whose free resources match the task most closely; this
  /// leaves large free blocks intact.
  kBestFit,
  /// Onto the first worker with room, in a fixed order.
  kFirstFit,
  /// Onto the worker with the most free resources; this reduces interference
  /// between tasks.
  kSpread,
};

/// How one kind of work is scheduled. Operators define profiles and may change
/// them.
struct Profile {
  ProfileId id;
  /// The caller gets an id at once; the request is written to the journal and
  /// run later.
  bool deferred = false;
  /// All tasks of a request start together or none does.
  bool gang = false;
  /// Longest time from arrival to placement; a longer predicted wait is
  /// refused on arrival.
  Duration max_wait = std::chrono::seconds(5);
  /// Longest time a task may run before its worker stops it.
  Duration max_run = std::chrono::minutes(10);
  /// 0 is the most urgent. A lower number is placed before a higher one.
  std::int32_t priority = 1;
  Packing packing = Packing::kBestFit;
  /// Tasks may be checkpointed or stopped to make room for urgent work.
  bool preemptible = false;
  /// Maximum number of requests queued in one entry process.
  std::int32_t queue_limit = 10000;
  /// Maximum number of attempts of an idempotent request, including the first.
  std::int32_t max_attempts = 3;
  /// How long the result of deferred work is kept.
  Duration result_retention = std::chrono::hours(1);

  friend bool operator==(const Profile&, const Profile&) = default;
};

/// A named kind of request that callers can send.
struct Service {
  ServiceId id;
  ProfileId profile;
  /// Resources that one task needs, including `slots`.
  Resources resources;
  /// A request may safely run more than once.
  bool idempotent = true;
  /// Tasks per request; more than 1 is useful only with a gang profile.
  std::int32_t tasks = 1;
  /// Expected run time as declared by the operator; only a hint.
  Duration expected_run = std::chrono::milliseconds(100);

  friend bool operator==(const Service&, const Service&) = default;
};

/// A group of callers with a share of the cell.
struct Team {
  TeamId id;
  /// Share under contention, relative to the other teams.
  double weight = 1.0;
  /// Maximum resources that the team's running tasks may hold on the workers of
  /// one entry process; a component of zero means no limit.
  Resources quota;

  friend bool operator==(const Team&, const Team&) = default;
};

/// The configuration document. Operators change it by compare-and-swap.
struct Configuration {
  ConfigurationVersion version = 0;
  std::map<ProfileId, Profile> profiles;
  std::map<ServiceId, Service> services;
  std::map<TeamId, Team> teams;
  /// Team of requests that name no team.
  TeamId default_team;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_CONFIGURATION_H_
