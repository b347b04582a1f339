#include <algorithm>
#include <cmath>
#include <cstdio>

#include "driver.h"
#include "sections.h"
#include "statistics.h"

namespace mustardproxy::bench {
namespace {

constexpr double kSmallLoad = 0.1;
constexpr double kLargeLoad = 10 * kSmallLoad;
/// Of every part of the cell that the large team may hold.
constexpr double kQuotaShare = 0.4;

Resources QuotaOf(const CellShape& cell) {
  const auto part = [&cell](std::int64_t whole) {
    return static_cast<std::int64_t>(kQuotaShare *
                                     static_cast<double>(whole * cell.workers));
  };
  return {part(cell.capacity.cpu_milli), part(cell.capacity.memory_mb), 0,
          part(cell.capacity.slots)};
}

struct Figures {
  Statistics small_urgent_p99;
  Statistics small_deferred_p99;
  Statistics small_placed;
  Statistics large_placed;
  Statistics large_held;
};

void RunSeed(const RunPlan& plan, Figures* figures) {
  Ledger ledger = OpenCell(plan.cell);
  ProductDispatcher product(plan.configuration, &ledger);
  const RunResult result = Drive(plan, &ledger, &product);
  figures->small_urgent_p99.Add(result.Of("small", "screen").Wait(0.99));
  figures->small_deferred_p99.Add(result.Of("small", "rota").Wait(0.99));
  figures->small_placed.Add(result.Of("small", "rota").Placed() * 100);
  figures->large_placed.Add(result.Of("large", "rota").Placed() * 100);
  figures->large_held.Add(result.most_held.at(TeamId("large")) * 100);
}

void Print(const char* name, const Figures& figures) {
  std::printf("%-10s %20s %20s %16s %16s %16s\n", name,
              figures.small_urgent_p99.Text(2).c_str(),
              figures.small_deferred_p99.Text(1).c_str(),
              figures.small_placed.Text(2).c_str(),
              figures.large_placed.Text(2).c_str(),
              figures.large_held.Text(2).c_str());
}

}  // namespace

void BenchQuotas(const BenchOptions& options) {
  const CellShape cell = Dlonie();
  const Mix mix = MakeMix(cell, {"small", "large"});
  Figures with;
  Figures without;
  for (std::int32_t i = 0; i < options.seeds; ++i) {
    RunPlan plan{cell,
                 mix.configuration,
                 StreamsOf(cell, mix, "small", kSmallLoad),
                 options.seconds,
                 options.seconds / 6,
                 options.seed + static_cast<std::uint64_t>(i)};
    for (const Stream& stream : StreamsOf(cell, mix, "large", kLargeLoad)) {
      plan.streams.push_back(stream);
    }
    RunSeed(plan, &without);
    plan.configuration.teams[TeamId("large")].quota = QuotaOf(cell);
    RunSeed(plan, &with);
  }
  std::printf(
      "a small team (10 %% of the cell) beside one that sends 10 times as much "
      "and has a quota of %.0f %%; baseline: no quota\n",
      kQuotaShare * 100);
  std::printf("%-10s %20s %20s %16s %16s %16s\n", "", "small screen p99",
              "small rota p99", "small rota pl.", "large rota pl.",
              "large held most");
  Print("quota", with);
  Print("baseline", without);
}

}  // namespace mustardproxy::bench
