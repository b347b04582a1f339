#ifndef MUSTARDPROXY_BENCH_DECISIONS_SECTIONS_H_
#define MUSTARDPROXY_BENCH_DECISIONS_SECTIONS_H_

#include <cstdint>

namespace mustardproxy::bench {

/// What every section is run with.
struct BenchOptions {
  std::uint64_t seed = 1;
  /// Runs with seeds that follow each other, where mean and spread are printed.
  std::int32_t seeds = 5;
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
/// A fifth of the workers fails everything: with ejection against without.
void BenchFailingWorkers(const BenchOptions& options);
/// Urgent work with deferred tasks stopped for it against without.
void BenchPreemption(const BenchOptions& options);
/// A small team beside a large one with a quota against without.
void BenchQuotas(const BenchOptions& options);
/// Waiting time with 1,200 workers.
void BenchLargeCell(const BenchOptions& options);
/// A share guaranteed to each priority against strict priority and fifo.
void BenchOverload(const BenchOptions& options);
/// A wave of cancellations.
void BenchCancellations(const BenchOptions& options);

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_DECISIONS_SECTIONS_H_
