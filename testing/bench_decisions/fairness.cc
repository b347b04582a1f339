#include <cstdio>

#include "driver.h"
#include "sections.h"

namespace mustardproxy::bench {
namespace {

/// Load of the small team; the large one sends ten times as much.
constexpr double kSmallLoad = 0.1;
constexpr double kLargeLoad = 10 * kSmallLoad;

void PrintLine(const char* service, Outcomes alone, Outcomes beside,
               Outcomes fifo) {
  const double fifo_p99 = fifo.Wait(0.99);
  std::printf(
      "%-7s %9.2f %9.2f | %9.2f %9.2f %7.2f%% | %9.2f %7.2f%% | %7.3f\n",
      service, alone.Wait(0.5), alone.Wait(0.99), beside.Wait(0.5),
      beside.Wait(0.99), beside.Placed() * 100, fifo_p99, fifo.Placed() * 100,
      fifo_p99 > 0 ? beside.Wait(0.99) / fifo_p99 : 1.0);
}

}  // namespace

void BenchFairness(const BenchOptions& options) {
  const CellShape cell = Dlonie();
  const Mix mix = MakeMix(cell, {"small", "large"});
  RunPlan alone{cell,
                mix.configuration,
                StreamsOf(cell, mix, "small", kSmallLoad),
                options.seconds,
                20,
                options.seed};
  RunPlan beside = alone;
  for (const Stream& stream : StreamsOf(cell, mix, "large", kLargeLoad)) {
    beside.streams.push_back(stream);
  }
  const auto run = [&](const RunPlan& plan) {
    Ledger ledger = OpenCell(cell);
    ProductDispatcher dispatcher(plan.configuration, &ledger);
    return Drive(plan, &ledger, &dispatcher);
  };
  const RunResult quiet = run(alone);
  const RunResult busy = run(beside);
  Ledger ledger = OpenCell(cell);
  FifoDispatcher fifo(beside.configuration, &ledger);
  const RunResult baseline = Drive(beside, &ledger, &fifo);
  std::printf(
      "waiting time in ms of a small team (10%% of the cell) alone and beside "
      "one that sends 10 times as much; baseline: fifo\n");
  std::printf("%-7s %9s %9s | %9s %9s %8s | %9s %8s | %7s\n", "service",
              "alone p50", "alone p99", "p50", "p99", "placed", "fifo p99",
              "placed", "p99/p99");
  for (const ServiceLoad& service : mix.loads) {
    const std::string& name = service.service.Text();
    PrintLine(name.c_str(), quiet.Of("small", name), busy.Of("small", name),
              baseline.Of("small", name));
  }
}

}  // namespace mustardproxy::bench
