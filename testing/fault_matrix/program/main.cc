#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cell.h"

namespace {

using mustardproxy::fault_matrix::Cell;
using mustardproxy::fault_matrix::FaultNamed;
using mustardproxy::fault_matrix::NameOf;
using mustardproxy::fault_matrix::PlannedFault;
using mustardproxy::fault_matrix::ScheduleOptions;
using mustardproxy::fault_matrix::ScheduleResult;
using mustardproxy::fault_matrix::StepNamed;

constexpr int kUsageExit = 2;
constexpr std::int64_t kMostPrinted = 20;

struct Arguments {
  std::uint64_t schedules = 1200;
  ScheduleOptions schedule;
  bool cells = false;
};

struct Totals {
  std::int64_t schedules = 0;
  std::int64_t faults = 0;
  std::int64_t broken = 0;
  std::int64_t broken_schedules = 0;
  std::int64_t sent = 0;
  std::int64_t completed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t runs = 0;
  /// Broken promises by kind, with the first seed of each.
  std::map<std::string, std::int64_t> kinds;
  std::map<std::string, std::uint64_t> first_seeds;
  /// Faults that struck, by step and fault.
  std::map<std::string, std::int64_t> cells;
};

int Usage() {
  std::cerr << "usage: fault_matrix [--schedules N] [--seed S] [--step NAME] "
               "[--fault NAME] [--refuse-after-lapse] [--no-incarnation] "
               "[--cells] [--trace]\n"
               "Runs the schedules of the seeds S to S+N-1. A schedule is "
               "repeated with --schedules 1 --seed S.\n";
  return kUsageExit;
}

std::optional<Arguments> Parse(int argc, char** argv) {
  Arguments arguments;
  for (int i = 1; i < argc; ++i) {
    const std::string_view name = argv[i];
    if (name == "--refuse-after-lapse") {
      arguments.schedule.rules.refuses_after_lapse = true;
      continue;
    }
    if (name == "--no-incarnation") {
      arguments.schedule.rules.names_incarnation = false;
      continue;
    }
    if (name == "--trace") {
      arguments.schedule.verbose = true;
      continue;
    }
    if (name == "--cells") {
      arguments.cells = true;
      continue;
    }
    if (++i == argc) {
      return std::nullopt;
    }
    const std::string value = argv[i];
    if (name == "--schedules") {
      arguments.schedules = std::strtoull(value.c_str(), nullptr, 10);
    } else if (name == "--seed") {
      arguments.schedule.seed = std::strtoull(value.c_str(), nullptr, 10);
    } else if (name == "--step" && StepNamed(value)) {
      arguments.schedule.step = StepNamed(value);
    } else if (name == "--fault" && FaultNamed(value)) {
      arguments.schedule.fault = FaultNamed(value);
    } else {
      return std::nullopt;
    }
  }
  return arguments;
}

void Print(const ScheduleOptions& schedule, const ScheduleResult& result) {
  std::cout << "seed " << schedule.seed << ":\n";
  for (const PlannedFault& fault : result.faults) {
    std::cout << "  fault " << NameOf(fault.fault) << " at "
              << NameOf(fault.step) << " number " << fault.occurrence << " for "
              << fault.lasting.count() / 1000 << " ms"
              << (fault.struck ? "" : " (did not strike)") << "\n";
  }
  for (const std::string& broken : result.broken) {
    std::cout << "  BROKEN " << broken << "\n";
  }
}

void Add(const ScheduleOptions& schedule, const ScheduleResult& result,
         Totals* totals) {
  ++totals->schedules;
  for (const PlannedFault& fault : result.faults) {
    if (fault.struck) {
      ++totals->faults;
      std::string cell(NameOf(fault.step));
      cell.append(" x ").append(NameOf(fault.fault));
      ++totals->cells[cell];
    }
  }
  totals->sent += result.sent;
  totals->completed += result.completed;
  totals->not_run += result.not_run;
  totals->unknown += result.unknown;
  totals->runs += result.runs;
  for (const std::string& broken : result.broken) {
    const std::string kind = broken.substr(0, broken.find(':'));
    ++totals->kinds[kind];
    totals->first_seeds.emplace(kind, schedule.seed);
  }
  totals->broken += static_cast<std::int64_t>(result.broken.size());
  if (!result.broken.empty() && ++totals->broken_schedules <= kMostPrinted) {
    Print(schedule, result);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::optional<Arguments> parsed = Parse(argc, argv);
  if (!parsed) {
    return Usage();
  }
  ScheduleOptions schedule = parsed->schedule;
  const auto begin = std::chrono::steady_clock::now();
  Totals totals;
  for (std::uint64_t i = 0; i < parsed->schedules; ++i) {
    Cell cell(schedule);
    Add(schedule, cell.Run(), &totals);
    ++schedule.seed;
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - begin;
  if (parsed->cells) {
    for (const auto& [cell, count] : totals.cells) {
      std::cout << cell << ": " << count << "\n";
    }
  }
  for (const auto& [kind, count] : totals.kinds) {
    std::cout << "broken " << count << " times: " << kind << ", first in seed "
              << totals.first_seeds[kind] << "\n";
  }
  std::cout << "requests " << totals.sent << ", completed " << totals.completed
            << ", not run " << totals.not_run << ", unknown " << totals.unknown
            << ", task runs " << totals.runs << "\n"
            << "faults: " << totals.schedules << " schedules from seed "
            << parsed->schedule.seed << ", " << totals.faults
            << " faults injected in " << totals.cells.size()
            << " pairs of step and fault, " << totals.broken
            << " promises broken in " << totals.broken_schedules
            << " schedules, " << took.count() << " s\n";
  return totals.broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
