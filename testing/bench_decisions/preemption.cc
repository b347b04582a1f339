#include <cstdio>

#include "driver.h"
#include "sections.h"
#include "statistics.h"

namespace mustardproxy::bench {
namespace {

/// One entry process's part of a cell, filled with deferred tasks of minutes;
/// urgent work comes in on top.
constexpr std::int32_t kWorkers = 8;
constexpr double kSeconds = 1800;
constexpr double kLongRunSeconds = 300;
constexpr double kUrgentPart = 0.05;
constexpr double kLoad = 1.2;

Mix LongDeferredMix(const CellShape& cell) {
  Mix mix = MakeMix(cell, {"a"});
  for (ServiceLoad& load : mix.loads) {
    load.part = kUrgentPart;
    if (load.service != ServiceId("rota")) continue;
    load.part = 1 - 3 * kUrgentPart;
    load.run_seconds = kLongRunSeconds;
    mix.configuration.services[load.service].expected_run =
        std::chrono::seconds(300);
  }
  mix.configuration.profiles[ProfileId("deferred")].preemptible = true;
  return mix;
}

struct Figures {
  Statistics urgent_p99;
  Statistics urgent_p999;
  Statistics urgent_placed;
  Statistics deferred_finished;
  Statistics lost_percent;
  Statistics stopped;
};

void RunSeed(const RunPlan& plan, Figures* figures) {
  Ledger ledger = OpenCell(plan.cell);
  ProductDispatcher product(plan.configuration, &ledger);
  const RunResult result = Drive(plan, &ledger, &product);
  Outcomes urgent = result.OfService("screen");
  figures->urgent_p99.Add(urgent.Wait(0.99));
  figures->urgent_p999.Add(urgent.Wait(0.999));
  figures->urgent_placed.Add(urgent.Placed() * 100);
  const auto finished =
      static_cast<double>(result.OfService("rota").finished_tasks);
  figures->deferred_finished.Add(finished);
  figures->lost_percent.Add(100 * result.lost_seconds /
                            (result.lost_seconds + finished * kLongRunSeconds));
  figures->stopped.Add(static_cast<double>(result.stopped_tasks));
}

void Print(const char* name, const Figures& figures) {
  std::printf(
      "%-14s %16s %16s %16s %18s %16s %14s\n", name,
      figures.urgent_p99.Text(1).c_str(), figures.urgent_p999.Text(1).c_str(),
      figures.urgent_placed.Text(2).c_str(),
      figures.deferred_finished.Text(1).c_str(),
      figures.stopped.Text(1).c_str(), figures.lost_percent.Text(1).c_str());
}

}  // namespace

void BenchPreemption(const BenchOptions& options) {
  CellShape cell = Dlonie();
  cell.workers = kWorkers;
  const Mix mix = LongDeferredMix(cell);
  Figures with;
  Figures without;
  for (std::int32_t i = 0; i < options.seeds; ++i) {
    RunPlan plan{cell,
                 mix.configuration,
                 StreamsOf(cell, mix, "a", kLoad),
                 kSeconds,
                 kSeconds / 6,
                 options.seed + static_cast<std::uint64_t>(i)};
    RunSeed(plan, &without);
    plan.preempts = true;
    RunSeed(plan, &with);
  }
  std::printf(
      "%d workers, %.0f %% load, deferred tasks of %.0f s, %.0f virtual "
      "seconds; a stopped task ends after 50 ms and runs again from its "
      "beginning; baseline: nothing is stopped\n",
      cell.workers, kLoad * 100, kLongRunSeconds, kSeconds);
  std::printf("%-14s %16s %16s %16s %18s %16s %14s\n", "", "urgent p99 ms",
              "urgent p99.9 ms", "urgent placed", "deferred finished",
              "stopped", "time lost %");
  Print("preemption", with);
  Print("baseline", without);
  std::printf("urgent p99, ratio %.4f\n",
              with.urgent_p99.Mean() / without.urgent_p99.Mean());
}

}  // namespace mustardproxy::bench
