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

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_worker)

// A worker is lost permanently while it runs tasks. Failure: each attempt to
// reach it postpones the time at which its lease is certain to have expired,
// and its tasks are never started elsewhere.
BOOST_AUTO_TEST_CASE(tasks_of_a_lost_worker_are_rescheduled) {
  const auto cell = SimCell::Builder().Workers(2).Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(8, 3000, seconds(3))}));
  cell->Time().RunFor(seconds(1));
  cell->CrashWorker(cell->Workers().Find("w0"), std::nullopt);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(20)));
  CheckInvariants(cell.get());
}

// A worker has been idle, so its lease has expired, when a task is placed on
// it. Failure: while the start is being stored the worker is considered lost
// together with its other new tasks, and each is placed again, one store call
// later, on a worker that must be fenced again.
BOOST_AUTO_TEST_CASE(idle_worker_is_not_lost_while_a_start_is_stored) {
  const auto cell = SimCell::Builder().Workers(2).Build();
  cell->Time().RunFor(seconds(30));
  cell->Store().latency = milliseconds(250);
  SimJob* job = cell->Submit(MakeSpec({MakeStep(4, 3000, seconds(1))}));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(20)));
  BOOST_TEST(cell->Log().Count("worker-lost") == 0U);
  CheckInvariants(cell.get());
}

// A worker crashes and restarts immediately at the same address. The new
// incarnation proves that the former one has ended, so that its tasks need not
// wait for the lease to expire.
BOOST_AUTO_TEST_CASE(next_incarnation_confirms_the_loss_at_once) {
  const auto cell = SimCell::Builder().Workers(2).Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(4, 3000, seconds(2))}));
  cell->Time().RunFor(milliseconds(500));
  cell->CrashWorker(cell->Workers().Find("w0"), milliseconds(300));
  cell->CrashWorker(cell->Workers().Find("w1"), milliseconds(300));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(6)));
  CheckInvariants(cell.get());
}

// A worker is partitioned and keeps running. Its tasks are started elsewhere
// only after its lease has expired by its own slow clock, and the runs that it
// lists after the partition have no effect.
BOOST_AUTO_TEST_CASE(partitioned_worker_causes_no_duplicate_run) {
  const auto cell = SimCell::Builder().Workers(3).Build();
  cell->Submit(MakeSpec({MakeStep(8, 3000, seconds(7))}));
  cell->Time().RunFor(seconds(1));
  cell->Workers().cut.insert("w0");
  cell->Time().RunFor(seconds(9));
  cell->Workers().cut.clear();
  cell->Settle(seconds(30));
  CheckInvariants(cell.get());
}

// 5 % of the orders get no response and are carried out seconds later, when the
// task may be running elsewhere or be done.
BOOST_AUTO_TEST_CASE(delayed_orders_cause_no_duplicate_run) {
  const auto cell = SimCell::Builder().Workers(4).Build();
  cell->Workers().late_orders = 0.05;
  for (int i = 0; i < 20; ++i) {
    JobSpec spec = MakeSpec({MakeStep(4, 1500, milliseconds(1500))});
    spec.steps[0].gang = i % 3 == 0;
    SimJob* job = cell->Submit(spec);
    if (i % 5 == 0) {
      cell->Time().After(seconds(1),
                         [&cell, id = job->job.id] { cell->Cancel(id); });
    }
    cell->Time().RunFor(milliseconds(400));
  }
  cell->Workers().late_orders = 0;
  cell->Time().RunFor(seconds(13));
  cell->Settle(seconds(60));
  CheckInvariants(cell.get());
}

// All members of a gang complete, and the store stops responding while the
// first end is being stored. Failure: the workers forget the other ends before
// that, and the next owner finds no end and runs the gang again.
BOOST_AUTO_TEST_CASE(
    gang_ends_are_acknowledged_only_after_the_first_is_stored) {
  const auto cell = SimCell::Builder().Workers(4).Build();
  JobSpec spec = MakeSpec({MakeStep(8, 6000, seconds(2))});
  spec.steps[0].gang = true;
  SimJob* job = cell->Submit(spec);
  cell->Time().RunFor(milliseconds(1900));
  cell->Store().silent = true;
  cell->Time().RunFor(seconds(3));
  const auto owner = cell->OwnerIndex();
  BOOST_REQUIRE(owner.has_value());
  cell->KillProcess(*owner);
  cell->Store().silent = false;
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(20)));
  BOOST_TEST(cell->Judge().Runs() == 8);
  CheckInvariants(cell.get());
}

// A task is stopped while running and resumes elsewhere from its checkpoint.
BOOST_AUTO_TEST_CASE(task_resumes_from_its_checkpoint) {
  const auto cell = SimCell::Builder().Workers(2).Build();
  JobSpec spec = MakeSpec({MakeStep(1, 3000, seconds(10))});
  spec.steps[0].checkpointing = true;
  SimJob* job = cell->Submit(spec);
  cell->Time().RunFor(seconds(6));
  SimWorker* worker = nullptr;
  for (SimWorker* one : cell->Workers().Alive()) {
    if (one->RunningCount() > 0) worker = one;
  }
  BOOST_REQUIRE(worker != nullptr);
  worker->EndRun({{{job->job.id, 0, 0}, 0}, 1}, RunEnd::kStopped);
  const Instant stopped = cell->Time().Now();
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(20)));
  BOOST_TEST((cell->Time().Now() - stopped < seconds(6)));
}

// The entry of a worker is overwritten with invalid data. No task is started on
// it until the worker writes its entry again; the other workers keep receiving
// tasks.
BOOST_AUTO_TEST_CASE(invalid_worker_entry_stops_starts_on_that_worker) {
  const auto cell = SimCell::Builder().Workers(2).Build();
  SimWorker* broken = cell->Workers().Alive().front();
  const std::string key = "workers/" + broken->Info().incarnation.id.Text();
  cell->Store().Put(key, "{\"state\":");
  cell->Time().RunFor(seconds(1));
  SimJob* first = cell->Submit(MakeSpec({MakeStep(8, 4000, seconds(1))}));
  cell->Time().RunFor(milliseconds(500));
  BOOST_TEST(broken->RunningCount() == 0U);
  BOOST_TEST(cell->Workers().Alive().back()->RunningCount() == 4U);
  cell->Store().Put(key, "ready");
  BOOST_TEST(cell->AwaitFinal(first->job.id, seconds(10)));
  cell->Submit(MakeSpec({MakeStep(8, 4000, seconds(5))}));
  cell->Time().RunFor(seconds(1));
  BOOST_TEST(broken->RunningCount() == 4U);
  CheckInvariants(cell.get());
}

// Failure: a start order is repeated as fast as it is rejected.
BOOST_AUTO_TEST_CASE(rejected_start_is_retried_with_backoff) {
  const auto cell = SimCell::Builder().Workers(1).Build();
  SimWorker* worker = cell->Workers().Find("w0");
  worker->refuses_all = true;
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(1))}));
  cell->Time().RunFor(seconds(10));
  constexpr std::size_t kMaxStarts = 30;
  BOOST_TEST(cell->Log().Count("start-not-done") < kMaxStarts);
  worker->refuses_all = false;
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(5)));
  CheckInvariants(cell.get());
}

// Failure: the owner is seconds behind with the workers' entries, because there
// are thousands of them or their watch has fallen silent, and starts tasks on a
// worker that has been draining all the while.
BOOST_AUTO_TEST_CASE(no_start_goes_by_an_old_view_of_the_workers) {
  constexpr Duration kDrainBound = seconds(2);
  // Longer than a watch that waits already.
  constexpr Duration kSilence = milliseconds(1300);
  constexpr milliseconds kStep(200);
  constexpr milliseconds kLast(1600);
  for (milliseconds moment{0}; moment <= kLast; moment += kStep) {
    const auto cell = SimCell::Builder().Workers(1).Build();
    cell->Time().RunFor(seconds(15) + moment);
    cell->Store().silent_prefix = "workers/";
    cell->Time().RunFor(kSilence);
    cell->DrainWorker(cell->Workers().Find("w0"));
    cell->Time().RunFor(kDrainBound);
    cell->Submit(MakeSpec({MakeStep(2, 1000, seconds(1))}));
    cell->Time().RunFor(seconds(5));
    BOOST_TEST(cell->Judge().Runs() == 0);
    cell->Store().silent_prefix.clear();
    cell->AddWorker();
    cell->Time().RunFor(seconds(8));
    BOOST_TEST(cell->Judge().Runs() == 2);
    CheckInvariants(cell.get());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
