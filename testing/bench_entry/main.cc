#include <sys/resource.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

#include "callers.h"
#include "cell/cell.h"
#include "growth.h"
#include "load/figures.h"

namespace mustardproxy::bench {
namespace {

constexpr int kFaulty = 1;
constexpr int kUsageError = 2;
/// The first is the baseline.
constexpr std::int32_t kConnections[] = {1, 8, 64};
constexpr std::int32_t kSlotsPerWorker = 16;
constexpr const char* kDecision = "mustardproxy_decision_time_us";
constexpr const char* kControlCpu = "mustardproxy_control_cpu_seconds";
constexpr const char* kCpu = "process_cpu_seconds_total";
/// What is aimed at.
constexpr double kWantedPerSecond = 5000;
constexpr double kWantedDecisionUs = 1000;

/// One run with a number of callers.
struct Step {
  CallerResult callers;
  double decision_p50_us = 0;
  double decision_p99_us = 0;
  double decisions = 0;
  double control_cpu = 0;
  double entry_cpu = 0;
  double callers_cpu = 0;
};

/// @return processor seconds that this process has used
double OwnCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// @return the machine's load, since figures of a busy one are lower
std::string LoadAverage() {
  std::ifstream file("/proc/loadavg");
  std::string one;
  file >> one;
  return one;
}

Step Measure(const cell::Cell& cell, const std::string& entry,
             std::int32_t connections, std::chrono::milliseconds length) {
  const std::vector<load::EntryName> names = {{entry, cell.OperatorUrl(entry)}};
  const auto before = load::ReadMetrics(names);
  const double own_before = OwnCpuSeconds();
  Step step;
  step.callers = RunCallers({cell.Url(entry), connections, length});
  const double own_after = OwnCpuSeconds();
  const auto after = load::ReadMetrics(names);
  const Growth growth(before.front().samples, after.front().samples);
  const double seconds = step.callers.seconds;
  step.decision_p50_us = growth.Quantile(kDecision, 0.5);
  step.decision_p99_us = growth.Quantile(kDecision, 0.99);
  step.decisions = growth.Count(kDecision);
  step.control_cpu = growth.Of(kControlCpu) / seconds;
  step.entry_cpu = growth.Of(kCpu) / seconds;
  step.callers_cpu = (own_after - own_before) / seconds;
  return step;
}

void Print(std::int32_t connections, const Step& step, const Step& baseline) {
  const double rate = step.callers.CompletedPerSecond();
  std::printf(
      "%11d %12.0f %7.2f %8lld %9.3f %9.3f %9.3f %9.3f %9.1f %8.1f"
      " %8.1f\n",
      connections, rate, rate / baseline.callers.CompletedPerSecond(),
      static_cast<long long>(step.callers.others), step.callers.AnswerMs(0.5),
      step.callers.AnswerMs(0.99), step.decision_p50_us / 1e3,
      step.decision_p99_us / 1e3, step.control_cpu * 100, step.entry_cpu * 100,
      step.callers_cpu * 100);
  std::fflush(stdout);
}

void PrintVerdict(const Step& last) {
  const double rate = last.callers.CompletedPerSecond();
  std::printf("wanted: %.0f placements/s, decision p99 below %.0f us: %s, %s\n",
              kWantedPerSecond, kWantedDecisionUs,
              rate >= kWantedPerSecond ? "met" : "missed",
              last.decision_p99_us < kWantedDecisionUs ? "met" : "missed");
}

int Run(int argc, char** argv) {
  cxxopts::Options usage("bench_entry",
                         "Placements a second through one real entry process");
  usage.add_options()("seconds", "length of each step",
                      cxxopts::value<std::int32_t>()->default_value("5"))(
      "workers", "workers", cxxopts::value<std::int32_t>()->default_value("8"))(
      "help", "this text");
  const auto arguments = usage.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::printf("%s", usage.help().c_str());
    return 0;
  }
  cell::CellLayout layout;
  layout.data_centers = 1;
  layout.entries_per_data_center = 1;
  layout.workers_per_data_center = arguments["workers"].as<std::int32_t>();
  layout.worker_capacity.slots = kSlotsPerWorker;
  cell::Cell cell(layout);
  if (!cell.Start()) {
    std::fprintf(stderr, "bench_entry: %s\n", cell.Trouble().c_str());
    return kFaulty;
  }
  const std::chrono::seconds length(arguments["seconds"].as<std::int32_t>());
  const std::string entry = cell.Entries().front();
  std::printf(
      "1 entry process, %d workers, tasks of 0 ms, %lld s a step, load "
      "of the machine %s; baseline: 1 connection\n",
      layout.workers_per_data_center, static_cast<long long>(length.count()),
      LoadAverage().c_str());
  std::printf("%11s %12s %7s %8s %9s %9s %9s %9s %9s %8s %8s\n", "connections",
              "placements/s", "ratio", "not done", "answer50", "answer99",
              "decide50", "decide99", "control %", "entry %", "callers%");
  std::vector<Step> steps;
  for (const std::int32_t connections : kConnections) {
    steps.push_back(Measure(cell, entry, connections, length));
    Print(connections, steps.back(), steps.front());
  }
  PrintVerdict(steps.back());
  return 0;
}

}  // namespace
}  // namespace mustardproxy::bench

int main(int argc, char** argv) {
  try {
    return mustardproxy::bench::Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_entry: %s\n", error.what());
    return mustardproxy::bench::kUsageError;
  }
}
