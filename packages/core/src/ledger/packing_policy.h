#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_PACKING_POLICY_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_PACKING_POLICY_H_

#include <optional>
#include <span>

#include "ledger/worker_table.h"
#include "mustardproxy/core/configuration.h"

namespace mustardproxy::detail {

/// What one task needs of a worker.
struct TaskDemand {
  Resources resources;
  std::span<const WorkerId> avoid;
};

/// Chooses one of the workers with room for a task.
class PackingPolicy {
 public:
  PackingPolicy() = default;
  PackingPolicy(const PackingPolicy&) = delete;
  PackingPolicy& operator=(const PackingPolicy&) = delete;
  virtual ~PackingPolicy() = default;

  /// @return nothing if the task fits nowhere
  [[nodiscard]] virtual std::optional<WorkerIndex> Choose(
      const WorkerTable& table, const TaskDemand& need) const = 0;
};

/// @return the policy that a profile names; it lives as long as the program
[[nodiscard]] const PackingPolicy& PolicyFor(Packing packing);

/// @return true if `worker` is none of `avoid`
[[nodiscard]] bool IsAllowed(const WorkerTable& table, WorkerIndex worker,
                             std::span<const WorkerId> avoid);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_PACKING_POLICY_H_
