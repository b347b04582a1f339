#ifndef MUSTARDPROXY_CORE_WORKER_H_
#define MUSTARDPROXY_CORE_WORKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy {

/// A worker as the platform's host list or the settings name it.
struct WorkerDescription {
  WorkerId id;
  /// `ip:port` of its HTTP interface.
  std::string address;
  DataCenterId data_center;
  RackId rack;
  /// On its way out: gets no new work.
  bool leaving = false;

  friend bool operator==(const WorkerDescription&,
                         const WorkerDescription&) = default;
};

/// A worker's answer to an attach: all that its new owner must know before it
/// places anything.
struct WorkerReport {
  WorkerId worker;
  Epoch epoch = 0;
  /// Drawn by the worker at its own start. A change means that everything that
  /// ran there before is gone.
  Incarnation incarnation = 0;
  Resources capacity;
  std::int32_t connections = 0;
  std::vector<RunningTask> running;
  /// Tasks ended recently, oldest first.
  std::vector<EndedTask> ended;
  /// Number of the last entry in `ended`; given back in the next renewal.
  std::uint64_t ended_sequence = 0;
  /// Resources in use as measured there, with a lag.
  Resources usage;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_WORKER_H_
