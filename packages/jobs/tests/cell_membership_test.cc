#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kLarge = 1000;
constexpr std::int64_t kSmall = 120;
/// One host in so many is large.
constexpr std::size_t kLargeEvery = 5;

std::unique_ptr<SimCell> MakeCell(std::size_t processes) {
  std::vector<std::int64_t> sizes(processes, kSmall);
  for (std::size_t i = 0; i < processes; i += kLargeEvery) sizes[i] = kLarge;
  auto cell = SimCell::Builder()
                  .Processes(processes)
                  .HostSizes(sizes)
                  .StartWithin(milliseconds(300))
                  .ConfigurationBound(seconds(5))
                  .Build();
  cell->Time().RunFor(seconds(5));
  return cell;
}

/// What each process costs on the mean.
struct Cost {
  /// Events of the membership and lines of the log until all have started.
  double start_events = 0;
  double start_lines = 0;
  /// Calls of the store a second, renewals left out, without work.
  double idle_calls = 0;
  /// Lines of the log while the owner is replaced.
  double takeover_lines = 0;
};

Cost Measure(std::size_t processes) {
  const auto cell = MakeCell(processes);
  const auto each = [&](std::int64_t total) {
    return static_cast<double>(total) / static_cast<double>(processes);
  };
  const auto lines = [&] { return std::ssize(cell->Log().Lines()); };
  Cost cost;
  cost.start_events = each(cell->Store().watched_events);
  cost.start_lines = each(lines());
  constexpr Duration kIdle = seconds(20);
  const job_sim::SimStore::Calls before = cell->Store().calls;
  cell->Time().RunFor(kIdle);
  const job_sim::SimStore::Calls after = cell->Store().calls;
  cost.idle_calls = each(after.watches - before.watches + after.reads -
                         before.reads + after.writes - before.writes) /
                    std::chrono::duration<double>(kIdle).count();
  const auto owner = cell->OwnerIndex();
  BOOST_REQUIRE(owner.has_value());
  const std::int64_t lines_before = lines();
  cell->KillProcess(*owner);
  cell->Time().RunFor(seconds(4));
  cost.takeover_lines = each(lines() - lines_before);
  BOOST_TEST(cell->OwnerIndex().has_value());
  return cost;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_membership)

// Guards against what each process does for all others: its events, log lines
// and calls of the store must not grow with the cell.
BOOST_AUTO_TEST_CASE(what_a_process_costs_does_not_grow_with_the_cell) {
  constexpr std::size_t kFew = 100;
  constexpr std::size_t kMany = 400;
  constexpr double kGrowth = 1.25;
  const Cost few = Measure(kFew);
  const Cost many = Measure(kMany);
  BOOST_TEST(many.start_events <= kGrowth * few.start_events);
  BOOST_TEST(many.start_lines <= kGrowth * few.start_lines);
  BOOST_TEST(many.idle_calls <= kGrowth * few.idle_calls);
  BOOST_TEST(many.takeover_lines <= kGrowth * few.takeover_lines);
  // A watch of the owner's key every 10 s and one of the desired state every 3.
  BOOST_TEST(many.idle_calls < 0.6);
}

// Guards against a takeover that waits for hosts which are gone: all that track
// the others end at one moment, and one of the rest owns the group soon.
BOOST_AUTO_TEST_CASE(a_small_host_owns_soon_after_all_large_ones_are_gone) {
  const auto cell = MakeCell(100);
  cell->Submit(MakeSpec({MakeStep(4, 2000, seconds(6))}), 1);
  cell->Time().RunFor(milliseconds(500));
  for (std::size_t i = 0; i < 100; i += kLargeEvery) cell->KillProcess(i);
  const Instant killed = cell->Time().Now();
  BOOST_TEST(cell->Time().RunUntil(
      [&] { return cell->OwnerIndex().has_value(); }, seconds(10)));
  // The lease of the former owner and the longest delay of an election.
  BOOST_TEST((cell->Time().Now() - killed < milliseconds(2000)));
  cell->Time().RunFor(seconds(2));
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() == 4);
  // A large one that comes back is given the group.
  cell->StartProcess(0);
  BOOST_TEST(cell->Time().RunUntil([&] { return cell->OwnerIndex() == 0U; },
                                   seconds(10)));
  CheckInvariants(cell.get());
}

// Guards against a process that tracks the owner alone and misses a change of
// it: jobs that it accepts are announced to the present owner.
BOOST_AUTO_TEST_CASE(a_process_that_tracks_the_owner_alone_follows_it) {
  const auto cell = MakeCell(100);
  constexpr std::size_t kAsked = 7;
  for (int i = 0; i < 3; ++i) {
    const auto owner = cell->OwnerIndex();
    BOOST_REQUIRE(owner.has_value());
    cell->StopProcess(*owner);
    cell->Time().RunFor(seconds(3));
    const Instant sent = cell->Time().Now();
    cell->Submit(MakeSpec({MakeStep(2, 2000, seconds(1))}), kAsked);
    const std::int64_t runs = cell->Judge().Runs();
    BOOST_TEST(cell->Time().RunUntil(
        [&] { return cell->Judge().Runs() > runs; }, seconds(2)));
    // Without the announcement the owner finds the job 0.3 s later.
    BOOST_TEST((cell->Time().Now() - sent < milliseconds(200)));
  }
  cell->Settle(seconds(20));
  CheckInvariants(cell.get());
}

// Guards against leases that all end together in a large cell: every process
// registers again, and one of the largest owns the group.
BOOST_AUTO_TEST_CASE(a_large_cell_recovers_after_all_leases_have_ended) {
  const auto cell = MakeCell(100);
  cell->Submit(MakeSpec({MakeStep(4, 2000, seconds(8))}), 1);
  cell->Time().RunFor(milliseconds(500));
  cell->Store().RevokeLeases();
  cell->Time().RunFor(seconds(3));
  const auto owner = cell->OwnerIndex();
  BOOST_REQUIRE(owner.has_value());
  BOOST_TEST(*owner % kLargeEvery == 0U);
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() == 4);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
