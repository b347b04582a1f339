#ifndef MUSTARDPROXY_CORE_GANG_SEARCH_H_
#define MUSTARDPROXY_CORE_GANG_SEARCH_H_

#include <cstdint>
#include <span>
#include <vector>

#include "mustardproxy/core/configuration.h"

namespace mustardproxy {

/// A worker that may take part of a gang.
struct GangCandidate {
  /// Position in a table of the searcher's.
  std::uint32_t worker = 0;
  std::uint32_t rack = 0;
  /// Tasks of the gang that fit there.
  std::int64_t fitting_tasks = 0;
};

/// Places `tasks` tasks on candidates: within one rack if any can hold them
/// all, else over as few racks as possible.
/// @param candidates grouped by rack
/// @return one worker per task, or empty
[[nodiscard]] std::vector<std::uint32_t> PlaceGang(
    std::span<const GangCandidate> candidates, std::int64_t tasks,
    Packing packing);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_GANG_SEARCH_H_
