#include <cmath>
#include <cstdio>
#include <random>

#include "driver.h"
#include "sections.h"

namespace mustardproxy::bench {
namespace {

constexpr double kLoad = 0.85;
/// Half of the cell.
constexpr std::int32_t kGangTasks = 200;
/// Declared run times are off by up to this factor, up or down.
constexpr double kDeclaredOff = 10.0;
/// Gangs of half a cell are few, so the runs are longer.
constexpr double kTimesLonger = 10;

/// Short and long tasks and large gangs of one priority, with time to wait. No
/// urgent work, whose headroom would blur the comparison.
Mix MakeGangMix(const CellShape& cell) {
  Mix mix = MakeMix(cell, {"a"});
  mix.loads = {{ServiceId("review"), 0.3, 0.5, 0.8},
               {ServiceId("rota"), 0.4, 20.0, 1.0},
               {ServiceId("match"), 0.3, 10.0, 0.3}};
  for (auto& [id, profile] : mix.configuration.profiles) {
    profile.priority = 1;
    profile.max_wait = std::chrono::hours(1);
  }
  mix.configuration.services[ServiceId("match")].tasks = kGangTasks;
  return mix;
}

void Declare(const Mix& mix, double off, std::uint64_t seed,
             Configuration* configuration) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> exponent(-1.0, 1.0);
  for (const ServiceLoad& load : mix.loads) {
    const double seconds = load.run_seconds * std::pow(off, exponent(random));
    configuration->services[load.service].expected_run =
        Duration(static_cast<Duration::rep>(seconds * 1e6));
  }
}

void PrintLine(const char* name, const RunResult& result,
               const RunResult& baseline) {
  Outcomes gang = result.OfService("match");
  const Outcomes rota = result.OfService("rota");
  const Outcomes review = result.OfService("review");
  std::printf(
      "%-24s %9.2f %9.2f %7.2f%% | %9.2f | %9.3f | %6.3f | %6.3f %6.3f "
      "%6.3f\n",
      name, gang.MeanWait() / 1e3, gang.Wait(0.99) / 1e3, gang.Placed() * 100,
      rota.MeanWait() / 1e3, review.MeanWait() / 1e3, result.utilisation,
      gang.MeanWait() / baseline.OfService("match").MeanWait(),
      rota.MeanWait() / baseline.OfService("rota").MeanWait(),
      review.MeanWait() / baseline.OfService("review").MeanWait());
}

}  // namespace

void BenchGangs(const BenchOptions& options) {
  const CellShape cell = Dlonie();
  const Mix mix = MakeGangMix(cell);
  RunPlan plan{cell,
               mix.configuration,
               StreamsOf(cell, mix, "a", kLoad),
               kTimesLonger * options.seconds,
               20,
               options.seed};
  Configuration exact = mix.configuration;
  Declare(mix, 1.0, options.seed, &exact);
  Configuration wrong = mix.configuration;
  Declare(mix, kDeclaredOff, options.seed, &wrong);
  std::printf(
      "waiting time in s at %.0f%% with gangs of %d tasks, half of the cell; "
      "baseline: fifo, which drains the cell for each gang without "
      "backfill\n",
      kLoad * 100, kGangTasks);
  std::printf("%-24s %9s %9s %8s | %9s | %9s | %6s | %6s %6s %6s\n", "policy",
              "gang mean", "gang p99", "placed", "rota mean", "rev. mean",
              "in use", "gang", "rota", "review");
  const auto run = [&](const Configuration& configuration, bool learns) {
    Ledger ledger = OpenCell(cell);
    ProductDispatcher dispatcher(configuration, &ledger, learns);
    return Drive(plan, &ledger, &dispatcher);
  };
  Ledger ledger = OpenCell(cell);
  FifoDispatcher fifo(plan.configuration, &ledger);
  const RunResult without = Drive(plan, &ledger, &fifo);
  PrintLine("fifo, no backfill", without, without);
  PrintLine("declared, right", run(exact, false), without);
  PrintLine("declared, up to 10x off", run(wrong, false), without);
  PrintLine("measured", run(wrong, true), without);
}

}  // namespace mustardproxy::bench
