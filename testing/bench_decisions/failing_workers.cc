#include <cstdio>
#include <map>
#include <string>

#include "driver.h"
#include "sections.h"
#include "statistics.h"

namespace mustardproxy::bench {
namespace {

constexpr double kFailingShare = 0.2;
/// Of the whole cell; four fifths of it work.
constexpr double kLoads[] = {0.5, 0.7};

struct ServiceFigures {
  Statistics p99;
  Statistics placed;
  Statistics plain_p99;
  Statistics plain_placed;
};

struct TaskFigures {
  Statistics met_percent;
  Statistics plain_met_percent;
};

double MetPercent(const RunResult& result) {
  return 100 * static_cast<double>(result.failed_tasks) /
         static_cast<double>(result.tasks);
}

void RunSeed(const RunPlan& plan, const Mix& mix,
             std::map<std::string, ServiceFigures>* services,
             TaskFigures* tasks) {
  Ledger ejecting_ledger = OpenCell(plan.cell);
  EjectingDispatcher ejecting(plan.cell, plan.configuration, &ejecting_ledger);
  const RunResult ours = Drive(plan, &ejecting_ledger, &ejecting);
  Ledger plain_ledger = OpenCell(plan.cell);
  ProductDispatcher plain(plan.configuration, &plain_ledger);
  const RunResult theirs = Drive(plan, &plain_ledger, &plain);
  for (const ServiceLoad& load : mix.loads) {
    const std::string& name = load.service.Text();
    ServiceFigures& figures = (*services)[name];
    Outcomes mine = ours.OfService(name);
    Outcomes other = theirs.OfService(name);
    figures.p99.Add(mine.Wait(0.99));
    figures.placed.Add(mine.Placed() * 100);
    figures.plain_p99.Add(other.Wait(0.99));
    figures.plain_placed.Add(other.Placed() * 100);
  }
  tasks->met_percent.Add(MetPercent(ours));
  tasks->plain_met_percent.Add(MetPercent(theirs));
}

void RunLoad(const BenchOptions& options, const CellShape& cell, double load) {
  const Mix mix = MakeMix(cell, {"a"});
  std::map<std::string, ServiceFigures> services;
  TaskFigures tasks;
  for (std::int32_t i = 0; i < options.seeds; ++i) {
    RunPlan plan{cell,
                 mix.configuration,
                 StreamsOf(cell, mix, "a", load),
                 options.seconds,
                 options.seconds / 6,
                 options.seed + static_cast<std::uint64_t>(i)};
    plan.failing_share = kFailingShare;
    RunSeed(plan, mix, &services, &tasks);
  }
  for (const ServiceLoad& service : mix.loads) {
    const std::string& name = service.service.Text();
    const ServiceFigures& figures = services[name];
    std::printf("%-7s %4.0f%% %-7s %20s %16s | %20s %16s\n", cell.name.c_str(),
                load * 100, name.c_str(), figures.p99.Text(2).c_str(),
                figures.placed.Text(2).c_str(),
                figures.plain_p99.Text(2).c_str(),
                figures.plain_placed.Text(2).c_str());
  }
  std::printf(
      "%-7s %4.0f%% tasks that met a failing worker: %s %%, baseline %s %%, "
      "ratio %.4f\n",
      cell.name.c_str(), load * 100, tasks.met_percent.Text(3).c_str(),
      tasks.plain_met_percent.Text(3).c_str(),
      tasks.met_percent.Mean() / tasks.plain_met_percent.Mean());
}

}  // namespace

void BenchFailingWorkers(const BenchOptions& options) {
  std::printf(
      "a fifth of the workers fails every task after 5 ms; up to 3 attempts, "
      "no "
      "retry budget; wait in ms until a placement that works, and share of "
      "requests that got one in %%; baseline: the same without ejection\n");
  std::printf("%-7s %5s %-7s %20s %16s | %20s %16s\n", "cell", "load",
              "service", "p99", "placed", "plain p99", "plain placed");
  for (const CellShape& cell : {Dlonie(), Addis()}) {
    for (const double load : kLoads) RunLoad(options, cell, load);
  }
}

}  // namespace mustardproxy::bench
