#include <boost/test/unit_test.hpp>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using job_sim::SimWorker;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kSmall{2000, 64'000, 0, 0};
constexpr Resources kWhole{16'000, 64'000, 0, 0};

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_capacity)

// Guards against sending a start for capacity that no longer exists.
BOOST_AUTO_TEST_CASE(a_delayed_start_is_checked_against_current_capacity) {
  const auto cell = SimCell::Builder().Workers(1).Build();
  cell->Store().leases_run_on = false;
  Step second = MakeStep(2, 7000, seconds(1));
  second.after = {0};
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(1)), second}));
  cell->Time().RunFor(milliseconds(500));
  cell->Store().silent = true;
  cell->Time().RunFor(seconds(1));
  SimWorker* worker = cell->Workers().Find("w0");
  cell->ResizeWorker(worker, kSmall);
  cell->Time().RunFor(seconds(6));
  cell->Store().silent = false;
  cell->Time().RunFor(seconds(3));
  BOOST_TEST(cell->Workers().Find("w0")->RunningCount() == 0U);
  cell->ResizeWorker(worker, kWhole);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(20)));
  CheckInvariants(cell.get());
}

// Guards against placing by a worker's former capacity, and against not using
// restored capacity.
BOOST_AUTO_TEST_CASE(placement_follows_registered_capacity) {
  const auto cell = SimCell::Builder().Workers(1).Build();
  SimWorker* worker = cell->Workers().Find("w0");
  cell->Submit(MakeSpec({MakeStep(2, 5000, seconds(12))}));
  cell->Time().RunFor(seconds(1));
  cell->ResizeWorker(worker, kSmall);
  cell->Time().RunFor(seconds(1));
  SimJob* later = cell->Submit(MakeSpec({MakeStep(1, 5000, seconds(1))}));
  cell->Time().RunFor(seconds(8));
  // Running tasks continue, and nothing is added.
  BOOST_TEST(worker->RunningCount() == 2U);
  cell->ResizeWorker(worker, kWhole);
  BOOST_TEST(cell->AwaitFinal(later->job.id, seconds(3)));
  cell->Settle(seconds(20));
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
