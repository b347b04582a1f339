#include <cmath>
#include <cstdio>
#include <random>

#include "driver.h"
#include "sections.h"

namespace mustardproxy::bench {
namespace {

constexpr double kLoad = 0.95;
constexpr std::int32_t kGangTasks = 64;
const ServiceId kUrgent("screen");
/// Declared run times are off by up to this factor, up or down.
constexpr double kDeclaredOff = 10.0;
/// Declared by all, so that nothing is expected to end before a gang starts.
constexpr Duration kNeverEnds = std::chrono::hours(24);

Mix MakeGangMix(const CellShape& cell, std::uint64_t seed) {
  Mix mix = MakeMix(cell, {"a"});
  const double parts[] = {0.05, 0.20, 0.40, 0.35};
  for (std::size_t i = 0; i < mix.loads.size(); ++i) {
    mix.loads[i].part = parts[i];
  }
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> exponent(-1.0, 1.0);
  mix.configuration.services[ServiceId("match")].tasks = kGangTasks;
  for (auto& [id, service] : mix.configuration.services) {
    // The headroom would follow what urgent work declares; not measured here.
    if (id == kUrgent) continue;
    const double off = std::pow(kDeclaredOff, exponent(random));
    service.expected_run = Duration(static_cast<Duration::rep>(
        static_cast<double>(service.expected_run.count()) * off));
  }
  return mix;
}

void PrintLine(const char* name, const RunResult& result,
               const RunResult& baseline) {
  Outcomes gang = result.OfService("match");
  Outcomes batch = result.OfService("rota");
  Outcomes review = result.OfService("review");
  Outcomes base_gang = baseline.OfService("match");
  Outcomes base_batch = baseline.OfService("rota");
  std::printf(
      "%-22s %9.0f %9.0f %7.2f%% | %9.0f %9.0f %7.2f%% | %7.2f%% | %6.3f | "
      "%7.3f %7.3f\n",
      name, gang.MeanWait(), gang.Wait(0.99), gang.Placed() * 100,
      batch.MeanWait(), batch.Wait(0.99), batch.Placed() * 100,
      review.Placed() * 100, result.utilisation,
      gang.MeanWait() / base_gang.MeanWait(),
      batch.MeanWait() / base_batch.MeanWait());
}

}  // namespace

void BenchGangs(const BenchOptions& options) {
  const CellShape cell = Dlonie();
  const Mix mix = MakeGangMix(cell, options.seed);
  RunPlan plan{cell,
               mix.configuration,
               StreamsOf(cell, mix, "a", kLoad),
               3 * options.seconds,
               20,
               options.seed};
  Configuration never_ends = mix.configuration;
  for (auto& [id, service] : never_ends.services) {
    if (id != kUrgent) service.expected_run = kNeverEnds;
  }
  std::printf(
      "waiting time in ms of gangs (64 tasks) and deferred tasks at %.0f%%; "
      "baseline: reservation without backfill by time\n",
      kLoad * 100);
  std::printf("%-22s %9s %9s %8s | %9s %9s %8s | %8s | %6s | %7s %7s\n",
              "policy", "gang mean", "gang p99", "placed", "rota mean",
              "rota p99", "placed", "review", "in use", "gang", "rota");
  const auto run = [&](const Configuration& configuration, bool learns) {
    Ledger ledger = OpenCell(cell);
    ProductDispatcher dispatcher(configuration, &ledger, learns);
    return Drive(plan, &ledger, &dispatcher);
  };
  const RunResult without = run(never_ends, false);
  Ledger ledger = OpenCell(cell);
  FifoDispatcher fifo(plan.configuration, &ledger);
  PrintLine("no backfill by time", without, without);
  PrintLine("fifo", Drive(plan, &ledger, &fifo), without);
  PrintLine("declared, up to 10x off", run(plan.configuration, false), without);
  PrintLine("measured", run(plan.configuration, true), without);
}

}  // namespace mustardproxy::bench
