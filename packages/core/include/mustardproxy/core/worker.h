#ifndef MUSTARDPROXY_CORE_WORKER_H_
#define MUSTARDPROXY_CORE_WORKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy {

/// A worker as listed in the platform's host list or in the settings.
struct WorkerDescription {
  WorkerId id;
  /// `ip:port` of its HTTP interface.
  std::string address;
  DataCenterId data_center;
  RackId rack;
  /// The worker is leaving and gets no new work.
  bool leaving = false;

  friend bool operator==(const WorkerDescription&,
                         const WorkerDescription&) = default;
};

/// A worker's answer to an attach: the state that a new owner needs before it
/// places tasks.
struct WorkerReport {
  WorkerId worker;
  Epoch epoch = 0;
  /// Drawn by the worker when it starts. A change means that all tasks that ran
  /// there before are gone.
  Incarnation incarnation = 0;
  Resources capacity;
  std::int32_t connections = 0;
  std::vector<RunningTask> running;
  /// Recently ended tasks, oldest first.
  std::vector<EndedTask> ended;
  /// Sequence number of the last entry in `ended`; returned to the worker with
  /// the next renewal.
  std::uint64_t ended_sequence = 0;
  /// Resources in use as measured by the worker, with a delay.
  Resources usage;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_WORKER_H_
