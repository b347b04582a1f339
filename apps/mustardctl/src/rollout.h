#ifndef MUSTARDPROXY_MUSTARDCTL_ROLLOUT_H_
#define MUSTARDPROXY_MUSTARDCTL_ROLLOUT_H_

#include <string>
#include <vector>

#include "entries.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::ctl {

/// An entry process that does not have a version in force, as far as is known.
struct Laggard {
  Entry entry;
  bool reached = false;
  /// Version it reported, if it was reached.
  ConfigurationVersion version = 0;
  /// Why it was not reached.
  std::string reason;
};

/// How far a version has come.
struct Rollout {
  /// Processes that report the version or a later one.
  std::vector<Entry> in_force;
  std::vector<Laggard> laggards;
  /// Highest version that any process reported.
  ConfigurationVersion highest = 0;
};

/// Asks the entries again and again until all report `version` or a later one,
/// or `timeout` has passed. Each is asked at least once.
[[nodiscard]] Rollout WaitUntilInForce(std::vector<Entry> entries,
                                       ConfigurationVersion version,
                                       Duration timeout);

/// @return `waw1: 2, waw2: 1`, the processes by data centre
[[nodiscard]] std::string CountByDataCenter(const std::vector<Entry>& entries);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_ROLLOUT_H_
