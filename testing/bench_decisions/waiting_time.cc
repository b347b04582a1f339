#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

#include "driver.h"
#include "sections.h"
#include "statistics.h"

namespace mustardproxy::bench {
namespace {

/// Figures of one service over the seeds.
struct ServiceFigures {
  Statistics p50;
  Statistics p99;
  Statistics p999;
  Statistics placed;
  Statistics fifo_p99;
  Statistics fifo_placed;
  Statistics ratio;
};

void Count(Outcomes product, Outcomes fifo, ServiceFigures* figures) {
  const double p99 = product.Wait(0.99);
  const double fifo_p99 = fifo.Wait(0.99);
  figures->p50.Add(product.Wait(0.5));
  figures->p99.Add(p99);
  figures->p999.Add(product.Wait(0.999));
  figures->placed.Add(product.Placed() * 100);
  figures->fifo_p99.Add(fifo_p99);
  figures->fifo_placed.Add(fifo.Placed() * 100);
  figures->ratio.Add(fifo_p99 > 0 ? p99 / fifo_p99 : 1.0);
}

void PrintLine(const char* cell, double load, const std::string& service,
               const ServiceFigures& figures) {
  std::printf("%-7s %4.0f%% %-7s %10.2f %18s %10.2f %16s | %18s %16s | %16s\n",
              cell, load * 100, service.c_str(), figures.p50.Mean(),
              figures.p99.Text(2).c_str(), figures.p999.Mean(),
              figures.placed.Text(2).c_str(), figures.fifo_p99.Text(1).c_str(),
              figures.fifo_placed.Text(2).c_str(),
              figures.ratio.Text(4).c_str());
}

void PrintHeader() {
  std::printf(
      "waiting time in ms of placed requests and share placed in %%, mean and "
      "standard deviation over the seeds; baseline: fifo\n");
  std::printf("%-7s %5s %-7s %10s %18s %10s %16s | %18s %16s | %16s\n", "cell",
              "load", "service", "p50", "p99", "p99.9", "placed", "fifo p99",
              "fifo placed", "p99/p99");
}

/// One entry process's part of a cell, filled with deferred tasks of minutes
/// and little urgent work: room comes free once in some seconds.
constexpr std::int32_t kSmallWorkers = 8;
constexpr double kLongRunSeconds = 300;
constexpr double kSmallSeconds = 3000;
constexpr double kSmallUrgentPart = 0.05;

/// With 1,200 workers a virtual second holds some 24,000 requests.
constexpr double kLargeSeconds = 12;
constexpr std::int32_t kLargeSeeds = 2;

struct Pair {
  RunResult product;
  RunResult fifo;
};

Pair RunBoth(const RunPlan& plan) {
  Pair pair;
  Ledger product_ledger = OpenCell(plan.cell);
  ProductDispatcher product(plan.configuration, &product_ledger);
  pair.product = Drive(plan, &product_ledger, &product);
  Ledger fifo_ledger = OpenCell(plan.cell);
  FifoDispatcher fifo(plan.configuration, &fifo_ledger);
  pair.fifo = Drive(plan, &fifo_ledger, &fifo);
  return pair;
}

void RunLoad(const BenchOptions& options, const CellShape& cell, const Mix& mix,
             double load) {
  std::map<std::string, ServiceFigures> services;
  Statistics use;
  Statistics fifo_use;
  for (std::int32_t i = 0; i < options.seeds; ++i) {
    RunPlan plan{cell,
                 mix.configuration,
                 StreamsOf(cell, mix, "a", load * 0.7),
                 options.seconds,
                 options.seconds / 6,
                 options.seed + static_cast<std::uint64_t>(i)};
    for (const Stream& stream : StreamsOf(cell, mix, "b", load * 0.3)) {
      plan.streams.push_back(stream);
    }
    const Pair pair = RunBoth(plan);
    for (const ServiceLoad& service : mix.loads) {
      const std::string& name = service.service.Text();
      Count(pair.product.OfService(name), pair.fifo.OfService(name),
            &services[name]);
    }
    use.Add(pair.product.utilisation);
    fifo_use.Add(pair.fifo.utilisation);
  }
  for (const ServiceLoad& service : mix.loads) {
    const std::string& name = service.service.Text();
    PrintLine(cell.name.c_str(), load, name, services[name]);
  }
  std::printf("%-7s %4.0f%% scarcest in use %s, fifo %s, ratio %.3f\n",
              cell.name.c_str(), load * 100, use.Text(3).c_str(),
              fifo_use.Text(3).c_str(), use.Mean() / fifo_use.Mean());
}

}  // namespace

void BenchWaitingTime(const BenchOptions& options) {
  PrintHeader();
  for (const CellShape& cell : {Dlonie(), Addis()}) {
    const Mix mix = MakeMix(cell, {"a", "b"});
    for (const double load : {0.5, 0.8, 0.95, 1.2}) {
      RunLoad(options, cell, mix, load);
    }
  }
  CellShape cell = Dlonie();
  cell.name = "small";
  cell.workers = kSmallWorkers;
  Mix mix = MakeMix(cell, {"a", "b"});
  for (ServiceLoad& load : mix.loads) {
    load.part = kSmallUrgentPart;
    if (load.service != ServiceId("rota")) continue;
    load.part = 1 - 3 * kSmallUrgentPart;
    load.run_seconds = kLongRunSeconds;
    mix.configuration.services[load.service].expected_run =
        Duration(std::chrono::seconds(300));
  }
  std::printf("%d workers with deferred tasks of %.0f s:\n", kSmallWorkers,
              kLongRunSeconds);
  BenchOptions longer = options;
  longer.seconds = kSmallSeconds;
  RunLoad(longer, cell, mix, 1.2);
}

void BenchLargeCell(const BenchOptions& options) {
  const CellShape cell = Large();
  const Mix mix = MakeMix(cell, {"a", "b"});
  BenchOptions shorter = options;
  shorter.seconds = kLargeSeconds;
  shorter.seeds = std::min(options.seeds, kLargeSeeds);
  std::printf("%d workers, %d seeds, %.0f virtual seconds a run\n",
              cell.workers, shorter.seeds, shorter.seconds);
  PrintHeader();
  for (const double load : {0.95, 1.2}) RunLoad(shorter, cell, mix, load);
}

}  // namespace mustardproxy::bench
