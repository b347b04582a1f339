#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_PACKING_POLICY_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_PACKING_POLICY_H_

#include <optional>
#include <span>

#include "ledger/worker_table.h"
#include "mustardproxy/core/configuration.h"

namespace mustardproxy::detail {

/// Requirements of one task.
struct TaskDemand {
  Resources resources;
  std::span<const WorkerId> avoid;
};

/// Strategy that chooses a worker for a task among those on which it fits.
class PackingPolicy {
 public:
  PackingPolicy() = default;
  PackingPolicy(const PackingPolicy&) = delete;
  PackingPolicy& operator=(const PackingPolicy&) = delete;
  virtual ~PackingPolicy() = default;

  /// @return nothing if the task fits on no worker
  [[nodiscard]] virtual std::optional<WorkerIndex> Choose(
      const WorkerTable& table, const TaskDemand& need) const = 0;
};

/// @return the policy for a profile's packing; a static object
[[nodiscard]] const PackingPolicy& PolicyFor(Packing packing);

/// @return true if `worker` is not in `avoid`
[[nodiscard]] bool IsAllowed(const WorkerTable& table, WorkerIndex worker,
                             std::span<const WorkerId> avoid);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_PACKING_POLICY_H_
