#ifndef MUSTARDPROXY_BENCH_DECISIONS_SECTIONS_H_
#define MUSTARDPROXY_BENCH_DECISIONS_SECTIONS_H_

#include <cstdint>

namespace mustardproxy::bench {

/// What every section is run with.
struct BenchOptions {
  std::uint64_t seed = 1;
  /// Virtual seconds of each run of a cell.
  double seconds = 120;
};

/// ns per placement against a linear scan.
void BenchPlacementCost(const BenchOptions& options);
/// Waiting time per profile against first come, first served.
void BenchWaitingTime(const BenchOptions& options);
/// Capacity stranded and hosts needed by packing policy.
void BenchPacking(const BenchOptions& options);
/// A small team's waiting time beside a large one against alone.
void BenchFairness(const BenchOptions& options);
/// Gangs with backfill by measured run times against without.
void BenchGangs(const BenchOptions& options);
/// A wave of cancellations.
void BenchCancellations(const BenchOptions& options);

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_DECISIONS_SECTIONS_H_
