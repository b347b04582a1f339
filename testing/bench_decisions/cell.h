#ifndef MUSTARDPROXY_BENCH_DECISIONS_CELL_H_
#define MUSTARDPROXY_BENCH_DECISIONS_CELL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/ledger.h"

namespace mustardproxy::bench {

/// Workers of one customer.
struct CellShape {
  std::string name;
  std::int32_t workers = 0;
  std::int32_t workers_per_rack = 0;
  Resources capacity;
};

/// Today's sizes.
[[nodiscard]] CellShape Dlonie();
[[nodiscard]] CellShape Addis();

/// The size to build towards: as many workers of Dlonie's shape.
[[nodiscard]] CellShape Large();

/// @return the name of a worker, counted from 0
[[nodiscard]] WorkerId WorkerName(std::int32_t number);

/// @return a ledger with all workers of the cell open and empty
[[nodiscard]] Ledger OpenCell(const CellShape& cell);

/// How a service loads the cell.
struct ServiceLoad {
  ServiceId service;
  /// Part of the load that it makes up.
  double part = 0;
  /// Mean run time; run times are log-normal.
  double run_seconds = 0;
  /// Spread of the logarithm of run times.
  double sigma = 0;
};

/// Configuration and load of a mixed cell.
struct Mix {
  Configuration configuration;
  std::vector<ServiceLoad> loads;
};

/// Urgent, standard, deferred and gang work, sized for the cell.
/// @param teams each with weight 1 and no quota
[[nodiscard]] Mix MakeMix(const CellShape& cell,
                          const std::vector<std::string>& teams);

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_DECISIONS_CELL_H_
