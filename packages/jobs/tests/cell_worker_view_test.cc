#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimWorker;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHeartbeat = seconds(3);
/// What one answer of the store holds.
constexpr std::size_t kMaxEvents = 200;

std::unique_ptr<SimCell> MakeCell(std::size_t workers) {
  auto cell = SimCell::Builder()
                  .Processes(2)
                  .Workers(workers)
                  .WorkersPerRack(12)
                  .Build();
  cell->Store().max_events = kMaxEvents;
  cell->StartHeartbeats(kHeartbeat);
  return cell;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_worker_view)

// Guards against a view of the workers that falls behind by ever more, because
// there are more heartbeats between two watches than one answer holds.
BOOST_AUTO_TEST_CASE(each_worker_that_drains_is_known_in_time_at_any_size) {
  constexpr Duration kBound = milliseconds(1500);
  constexpr std::size_t kDraining = 10;
  for (const std::size_t workers : {600, 6000}) {
    const auto cell = MakeCell(workers);
    cell->Time().RunFor(seconds(6));
    const std::vector<SimWorker*> alive = cell->Workers().Alive();
    for (std::size_t i = 0; i < kDraining; ++i) {
      cell->DrainWorker(alive[i * workers / kDraining]);
      cell->Time().RunFor(milliseconds(70));
    }
    cell->Time().RunFor(kBound - milliseconds(70));
    BOOST_TEST(cell->Log().Count("worker-draining") == kDraining);
    BOOST_TEST(cell->Log().Count("view-outdated") == 0U);
  }
}

// Guards against starts by a view that can't keep up: the store answers so
// slowly that more entries change meanwhile than its answer holds.
BOOST_AUTO_TEST_CASE(starts_are_withheld_while_the_view_falls_behind) {
  const auto cell = MakeCell(600);
  cell->Time().RunFor(seconds(1));
  cell->Store().max_events = 2;
  cell->Store().latency = milliseconds(30);
  cell->Time().RunFor(seconds(6));
  SimWorker* worker = cell->Workers().Alive().front();
  cell->DrainWorker(worker);
  cell->Time().RunFor(seconds(2));
  cell->Submit(MakeSpec({MakeStep(1200, 16'000, seconds(1))}));
  cell->Time().RunFor(seconds(2));
  BOOST_TEST(worker->RunningCount() == 0U);
  BOOST_TEST(cell->Log().Count("view-outdated") > 0U);
  cell->Store().max_events = kMaxEvents;
  cell->Store().latency = milliseconds(4);
  cell->Settle(seconds(30));
  BOOST_TEST(cell->Log().Count("view-recent") > 0U);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
