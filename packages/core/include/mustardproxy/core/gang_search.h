#ifndef MUSTARDPROXY_CORE_GANG_SEARCH_H_
#define MUSTARDPROXY_CORE_GANG_SEARCH_H_

#include <cstdint>
#include <span>
#include <vector>

#include "mustardproxy/core/configuration.h"

namespace mustardproxy {

/// A worker that may run tasks of a gang.
struct GangCandidate {
  /// Index of the worker in a table of the caller.
  std::uint32_t worker = 0;
  std::uint32_t rack = 0;
  /// Number of tasks of the gang that fit on the worker.
  std::int64_t fitting_tasks = 0;
};

/// Assigns `tasks` tasks to candidates: all within one rack if a rack can hold
/// them, otherwise over racks in descending order of fitting tasks.
/// @param candidates grouped by rack
/// @return one worker per task, or empty if the tasks do not fit
[[nodiscard]] std::vector<std::uint32_t> PlaceGang(
    std::span<const GangCandidate> candidates, std::int64_t tasks,
    Packing packing);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_GANG_SEARCH_H_
