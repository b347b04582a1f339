#ifndef MUSTARDPROXY_CORE_DIGEST_H_
#define MUSTARDPROXY_CORE_DIGEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// State of an entry process that it sends to its peers with each heartbeat.
struct Digest {
  ProcessId process;
  Incarnation incarnation = 0;
  DataCenterId data_center;
  ConfigurationVersion configuration_version = 0;
  /// Journals that this process writes or has adopted and not yet emptied.
  std::vector<JournalId> journals;
  std::int32_t owned_workers = 0;
  /// Sum of the free resources of all owned workers that accept new tasks.
  Resources free;
  /// Largest free amount on a single worker, for each kind of resource
  /// separately.
  Resources largest_free;
  /// Predicted queueing time of a request of the most urgent priority that
  /// arrives now.
  Duration predicted_wait{0};
  std::int32_t queued = 0;
  /// Shutting down: the process releases its workers and accepts no new work.
  bool stopping = false;
  /// The platform is currently reachable from this process.
  bool platform_reachable = true;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_DIGEST_H_
