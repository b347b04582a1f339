// Prints what waiting jobs cost the control thread of the owner: its load, its
// longest task, and the same for a takeover, against waiting jobs and workers,
// with the slopes.
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <span>
#include <vector>

#include "job_sim/sim_cell.h"

namespace mustardproxy::bench {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kProcesses = 24;
constexpr std::int64_t kWorkerCpu = 64'000;
constexpr std::int64_t kWorkerMemory = 262'144;
constexpr double kPermittedShare = 0.3;
constexpr Duration kDecision = milliseconds(560);
/// Longer than anything that is measured.
constexpr Duration kOccupied = seconds(1000);
/// One of this many jobs is a wide gang.
constexpr int kGangEvery = 4;
constexpr Duration kMeasured = seconds(3);
constexpr double kMillis = 1e3;

struct Load {
  std::size_t workers = 0;
  int waiting = 0;
};

struct Cost {
  /// Processor seconds a second while the jobs wait.
  double busy = 0.0;
  /// Longest task of the control thread while they wait, in seconds.
  double longest = 0.0;
  /// Processor seconds of a new owner until it has made its first passes.
  double takeover = 0.0;
  double longest_in_takeover = 0.0;
};

std::unique_ptr<SimCell> MakeCell(std::size_t workers) {
  jobs::Queue filler;
  filler.name = jobs::QueueName("filler");
  return SimCell::Builder()
      .Processes(kProcesses)
      .Workers(workers)
      .WorkersPerRack(12)
      .Capacity(kWorkerCpu, kWorkerMemory)
      .StoreWrites(1200)
      .Advice(kPermittedShare, kDecision)
      .Queue(filler, 1.0)
      .Build();
}

/// Has every worker busy, so that what is handed in afterwards waits.
void Occupy(SimCell* cell, std::size_t workers) {
  (void)cell->SubmitTo(jobs::QueueName("filler"),
                       MakeSpec({MakeStep(static_cast<std::int32_t>(workers),
                                          kWorkerCpu, kOccupied)}),
                       0);
  cell->Time().RunFor(seconds(2));
}

void SubmitWaiting(SimCell* cell, int count) {
  for (int i = 0; i < count; ++i) {
    jobs::Step step = MakeStep(3, 9900, milliseconds(800));
    if (i % kGangEvery == 0) {
      step = MakeStep(20, 18'000, seconds(5));
      step.gang = true;
    }
    (void)cell->Submit(MakeSpec({step}),
                       static_cast<std::size_t>(i) % kProcesses);
  }
  cell->Time().RunFor(seconds(4));
}

Cost Measure(const Load& load) {
  const auto cell = MakeCell(load.workers);
  Occupy(cell.get(), load.workers);
  SubmitWaiting(cell.get(), load.waiting);
  Cost cost;
  const auto owner = cell->OwnerIndex();
  if (!owner) return cost;
  job_sim::Process* process = cell->ProcessAt(*owner);
  const double before = process->ProcessorSeconds();
  process->ResetLongestTask();
  cell->Time().RunFor(kMeasured);
  cost.busy = (process->ProcessorSeconds() - before) /
              std::chrono::duration<double>(kMeasured).count();
  cost.longest = process->LongestTaskSeconds();
  cell->KillProcess(*owner);
  cell->Time().RunUntil([&] { return cell->OwnerIndex().has_value(); },
                        seconds(10));
  cell->Time().RunFor(milliseconds(500));
  const auto next = cell->OwnerIndex();
  if (!next) return cost;
  cost.takeover = cell->ProcessAt(*next)->ProcessorSeconds();
  cost.longest_in_takeover = cell->ProcessAt(*next)->LongestTaskSeconds();
  return cost;
}

Cost Print(const Load& load) {
  const Cost cost = Measure(load);
  std::printf("%8zu %8d | %9.1f %9.1f | %9.1f %9.1f\n", load.workers,
              load.waiting, cost.busy * kMillis, cost.longest * kMillis,
              cost.takeover * kMillis, cost.longest_in_takeover * kMillis);
  std::fflush(stdout);
  return cost;
}

void PrintSlope(const Load& first, const Cost& low, const Load& last,
                const Cost& high) {
  const double jobs = last.waiting - first.waiting;
  std::printf(
      "slope per 1000 waiting jobs: %.2f ms a second, longest task %.2f ms, "
      "takeover %.2f ms\n\n",
      (high.busy - low.busy) * kMillis * kMillis / jobs,
      (high.longest - low.longest) * kMillis * kMillis / jobs,
      (high.takeover - low.takeover) * kMillis * kMillis / jobs);
}

void AgainstWaiting(std::size_t workers, std::span<const int> waiting) {
  std::optional<Cost> first;
  Cost last;
  for (const int count : waiting) {
    last = Print({workers, count});
    if (!first) first = last;
  }
  PrintSlope({workers, waiting.front()}, *first, {workers, waiting.back()},
             last);
}

}  // namespace
}  // namespace mustardproxy::bench

int main(int argc, char** argv) {
  using mustardproxy::bench::AgainstWaiting;
  std::printf(
      "processor time of the control thread of the owner, ms\n"
      " workers  waiting |  a second   longest |  takeover   longest\n");
  constexpr int kMost = 5000;
  const int most = argc > 1 ? std::atoi(argv[1]) : kMost;
  std::vector<int> waiting;
  for (const int count : {100, 500, 1000, 2500, 5000, 10'000}) {
    if (count <= most) waiting.push_back(count);
  }
  if (waiting.empty()) return EXIT_FAILURE;
  for (const std::size_t workers : {std::size_t{350}, std::size_t{1200}}) {
    AgainstWaiting(workers, waiting);
  }
  return EXIT_SUCCESS;
}
