#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

#include "driver.h"
#include "sections.h"
#include "statistics.h"

namespace mustardproxy::bench {
namespace {

constexpr double kLoads[] = {0.95, 1.2};
constexpr double kOverloadSeconds = 240;
/// A run is twice as long as others, and there are four policies.
constexpr std::int32_t kOverloadSeeds = 2;

struct ServiceFigures {
  Statistics p99;
  Statistics placed;
  Statistics expired;
};

/// A policy that is compared, with its figures.
struct Policy {
  std::string name;
  double guaranteed_share = 0;
  bool fifo = false;
  std::map<std::string, ServiceFigures> services;
  Statistics use;
};

void Count(const RunResult& result, const Mix& mix, Policy* policy) {
  for (const ServiceLoad& load : mix.loads) {
    const std::string& name = load.service.Text();
    Outcomes outcomes = result.OfService(name);
    policy->services[name].p99.Add(outcomes.Wait(0.99));
    policy->services[name].placed.Add(outcomes.Placed() * 100);
    policy->services[name].expired.Add(outcomes.Expired() * 100);
  }
  policy->use.Add(result.utilisation);
}

RunResult RunPolicy(const RunPlan& plan, const Policy& policy) {
  Ledger ledger = OpenCell(plan.cell);
  if (policy.fifo) {
    FifoDispatcher fifo(plan.configuration, &ledger);
    return Drive(plan, &ledger, &fifo);
  }
  ProductDispatcher product(plan.configuration, &ledger, true,
                            {policy.guaranteed_share});
  return Drive(plan, &ledger, &product);
}

void Print(const CellShape& cell, double load, const Mix& mix,
           const Policy& policy) {
  for (const ServiceLoad& service : mix.loads) {
    const std::string& name = service.service.Text();
    const ServiceFigures& figures = policy.services.at(name);
    std::printf("%-7s %4.0f%% %-10s %-7s %22s %18s %18s\n", cell.name.c_str(),
                load * 100, policy.name.c_str(), name.c_str(),
                figures.p99.Text(1).c_str(), figures.placed.Text(2).c_str(),
                figures.expired.Text(2).c_str());
  }
  std::printf("%-7s %4.0f%% %-10s scarcest in use %s\n", cell.name.c_str(),
              load * 100, policy.name.c_str(), policy.use.Text(3).c_str());
}

void RunLoad(const BenchOptions& options, const CellShape& cell, double load) {
  const Mix mix = MakeMix(cell, {"a"});
  Policy policies[] = {{"strict", 0.0, false, {}, {}},
                       {"share 15%", 0.15, false, {}, {}},
                       {"share 30%", 0.3, false, {}, {}},
                       {"fifo", 0.0, true, {}, {}}};
  const std::int32_t seeds = std::min(options.seeds, kOverloadSeeds);
  for (std::int32_t i = 0; i < seeds; ++i) {
    RunPlan plan{cell,
                 mix.configuration,
                 StreamsOf(cell, mix, "a", load),
                 kOverloadSeconds,
                 kOverloadSeconds / 6,
                 options.seed + static_cast<std::uint64_t>(i)};
    for (Policy& policy : policies) {
      Count(RunPolicy(plan, policy), mix, &policy);
    }
  }
  for (const Policy& policy : policies) Print(cell, load, mix, policy);
}

}  // namespace

void BenchOverload(const BenchOptions& options) {
  std::printf(
      "wait in ms and share placed in %% by policy: strict priority, a share "
      "of "
      "the cell guaranteed to each priority but the first, fifo; %d seeds, "
      "%.0f virtual "
      "seconds a run\n",
      std::min(options.seeds, kOverloadSeeds), kOverloadSeconds);
  std::printf("%-7s %5s %-10s %-7s %22s %18s %18s\n", "cell", "load", "policy",
              "service", "p99", "placed", "expired");
  for (const CellShape& cell : {Dlonie(), Addis()}) {
    for (const double load : kLoads) RunLoad(options, cell, load);
  }
}

}  // namespace mustardproxy::bench
