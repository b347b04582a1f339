#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_GANG_SEARCH_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_GANG_SEARCH_H_

#include <cstdint>
#include <span>
#include <vector>

#include "ledger/worker_entry.h"
#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy::detail {

/// A worker that may take part of a gang.
struct GangCandidate {
  WorkerIndex worker = 0;
  RackIndex rack = 0;
  /// Tasks of the gang that fit there.
  std::int64_t room = 0;
};

/// Places `tasks` tasks on candidates: within one rack if any can hold them
/// all, else over as few racks as possible.
/// @param candidates grouped by rack
/// @return one worker per task, or empty
[[nodiscard]] std::vector<WorkerIndex> PlaceGang(
    std::span<const GangCandidate> candidates, std::int64_t tasks,
    Packing packing);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_GANG_SEARCH_H_
