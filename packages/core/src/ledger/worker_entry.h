#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_ENTRY_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_ENTRY_H_

#include <cstdint>
#include <unordered_map>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy::detail {

/// Index of a worker in the ledger's table; reused after the worker is removed.
using WorkerIndex = std::uint32_t;
/// Index of a rack in the ledger's table; never reused.
using RackIndex = std::uint32_t;

/// Ledger entry of one worker.
struct WorkerEntry {
  WorkerId id;
  RackId rack;
  Resources capacity;
  /// Sum over `tasks`. May exceed `capacity` if a worker reports more running
  /// tasks than it has capacity for.
  Resources used;
  /// Held for a gang.
  Resources held;
  std::unordered_map<TaskId, Resources> tasks;
  bool registered = false;
  bool placeable = true;
  /// Fraction of the slots that may be used, in 0..1.
  double share = 1.0;

  /// @return capacity available to new tasks, ignoring holds
  [[nodiscard]] Resources Free() const;
  /// Adds a task. A known task is not added again.
  /// @return false if it was known
  bool AddTask(const TaskId& task, const Resources& resources);
  /// Removes a task and its resources. Unknown tasks are ignored.
  void RemoveTask(const TaskId& task);
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_ENTRY_H_
