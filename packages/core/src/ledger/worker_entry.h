#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_ENTRY_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_ENTRY_H_

#include <cstdint>
#include <unordered_map>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy::detail {

/// Position of a worker in the ledger's table; reused after the worker closes.
using WorkerIndex = std::uint32_t;
/// Position of a rack in the ledger's table; never reused.
using RackIndex = std::uint32_t;

/// What the ledger knows of one open worker.
struct WorkerEntry {
  WorkerId id;
  RackId rack;
  Resources capacity;
  /// Sum over `tasks`. May pass `capacity` when a worker reports more running
  /// than it has.
  Resources used;
  /// Kept back for a gang.
  Resources held;
  std::unordered_map<TaskId, Resources> tasks;
  bool registered = false;
  bool placeable = true;
  /// Part of the slots that may be handed out, in 0..1.
  double share = 1.0;

  /// @return what new tasks may take, holds left out of account
  [[nodiscard]] Resources Free() const;
  /// Counts a task; one that is known already is not indexed again.
  /// @return false if it was known
  bool AddTask(const TaskId& task, const Resources& resources);
  /// Gives a task's resources back; an unknown one is ignored.
  void RemoveTask(const TaskId& task);
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_ENTRY_H_
