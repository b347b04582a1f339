#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_GANG_PLAN_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_GANG_PLAN_H_

#include <cstdint>
#include <optional>
#include <span>

#include "ledger/worker_table.h"
#include "mustardproxy/core/ledger.h"

namespace mustardproxy::detail {

/// A gang that waits for capacity.
struct GangDemand {
  Resources resources;
  std::int32_t tasks = 1;
  Packing packing = Packing::kBestFit;
  std::span<const WorkerId> avoid;
  Instant now;
};

/// See `Ledger::PlanGang`.
/// @complexity linear in workers and releases
[[nodiscard]] std::optional<GangPlan> PlanGang(
    const WorkerTable& table, const GangDemand& need,
    std::span<const ExpectedRelease> releases);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_GANG_PLAN_H_
