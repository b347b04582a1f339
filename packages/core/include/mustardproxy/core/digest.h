#ifndef MUSTARDPROXY_CORE_DIGEST_H_
#define MUSTARDPROXY_CORE_DIGEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// What an entry process tells its peers with each heartbeat.
struct Digest {
  ProcessId process;
  Incarnation incarnation = 0;
  DataCenterId data_center;
  ConfigurationVersion configuration_version = 0;
  /// Journals that this process writes or has adopted and not yet emptied.
  std::vector<JournalId> journals;
  std::int32_t owned_workers = 0;
  /// Sum of free resources over owned workers that take new work.
  Resources free;
  /// The largest single free amount, part by part on one worker.
  Resources largest_free;
  /// Predicted wait of a request that arrives now at the most urgent level.
  Duration predicted_wait{0};
  std::int32_t queued = 0;
  /// In shutdown: owns nothing soon, takes nothing new.
  bool stopping = false;
  /// Reaches the platform at present.
  bool platform_reachable = true;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_DIGEST_H_
