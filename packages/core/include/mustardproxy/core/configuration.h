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
  /// Onto the worker whose free resources match the task best; keeps large
  /// gaps whole.
  kBestFit,
  /// Onto the first worker with room, in a fixed order.
  kFirstFit,
  /// Onto the worker with most room; keeps neighbours from disturbing a task.
  kSpread,
};

/// How a kind of work is treated. Operators name profiles and change them.
struct Profile {
  ProfileId id;
  /// Answered at once with an id, journalled, run later.
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
  /// Most requests that wait in one entry process.
  std::int32_t queue_limit = 10000;
  /// Attempts at an idempotent request, the first included.
  std::int32_t max_attempts = 3;
  /// How long the result of deferred work is kept.
  Duration result_retention = std::chrono::hours(1);

  friend bool operator==(const Profile&, const Profile&) = default;
};

/// What callers can ask for, by name.
struct Service {
  ServiceId id;
  ProfileId profile;
  /// What one task takes, `slots` included.
  Resources resources;
  /// May run again without harm.
  bool idempotent = true;
  /// Tasks per request; more than 1 only makes sense with a gang profile.
  std::int32_t tasks = 1;
  /// Declared run time, only a hint.
  Duration expected_run = std::chrono::milliseconds(100);

  friend bool operator==(const Service&, const Service&) = default;
};

/// A group of callers with a share of the cell.
struct Team {
  TeamId id;
  /// Share under contention, relative to the other teams.
  double weight = 1.0;
  /// Most that the team's running tasks may hold in one entry process's
  /// workers; a zero part means no limit on it.
  Resources quota;

  friend bool operator==(const Team&, const Team&) = default;
};

/// The whole document that operators change by compare-and-swap.
struct Configuration {
  ConfigurationVersion version = 0;
  std::map<ProfileId, Profile> profiles;
  std::map<ServiceId, Service> services;
  std::map<TeamId, Team> teams;
  /// Team of callers that name none.
  TeamId default_team;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_CONFIGURATION_H_
