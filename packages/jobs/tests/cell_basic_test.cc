#include <boost/test/unit_test.hpp>
#include <set>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_basic)

BOOST_AUTO_TEST_CASE(a_job_of_two_steps_runs_in_order_and_completes) {
  const auto cell = SimCell::Builder().Build();
  JobSpec spec = MakeSpec(
      {MakeStep(6, 2000, seconds(1)), MakeStep(3, 1000, milliseconds(500))});
  spec.steps[1].after = {0};
  SimJob* job = cell->Submit(spec);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(10)));
  BOOST_TEST((cell->Ask(job->job.id, 1) == JobState::kCompleted));
  BOOST_TEST(cell->Judge().Runs() == 9);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_CASE(every_process_reports_the_state_of_every_job) {
  const auto cell = SimCell::Builder().Processes(3).Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(2))}), 2);
  cell->Time().RunFor(milliseconds(500));
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST((cell->Ask(job->job.id, i) == JobState::kRunning));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(!cell->Ask(JobId("nobody"), i).has_value());
  }
}

// A caller without an answer submits its job again at another process, at the
// same time and seconds later. It stays one job, and each task runs once.
BOOST_AUTO_TEST_CASE(the_same_id_at_every_process_is_one_job) {
  const auto cell = SimCell::Builder().Processes(3).Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(2, 1000, seconds(1))}), 0);
  int accepted = 0;
  const auto again = [&](std::size_t process) {
    cell->ProcessAt(process)->Post([&cell, &accepted, job, process] {
      cell->NodeAt(process)->Submit(
          Admission{.queue = job->job.queue}, job->job.id, job->job.spec,
          seconds(3), [&accepted](const SubmitResult& result) {
            if (result.end == SubmitOutcome::kAccepted) ++accepted;
          });
    });
  };
  again(1);
  again(2);
  cell->Time().RunFor(seconds(2));
  again(1);
  cell->Time().RunFor(seconds(3));
  BOOST_TEST(accepted == 3);
  BOOST_TEST(cell->Judge().Runs() == 2);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_CASE(a_job_that_always_fails_ends_after_its_attempts) {
  const auto cell = SimCell::Builder().MaxAttempts(3).Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(1))}));
  job->hopeless = true;
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(10)));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kFailed));
  BOOST_TEST(cell->Judge().Runs() == 3);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_stops_and_stays_cancelled) {
  const auto cell = SimCell::Builder().Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(4, 1000, seconds(60))}));
  cell->Time().RunFor(seconds(1));
  cell->Cancel(job->job.id, 1);
  cell->Time().RunFor(seconds(1));
  BOOST_TEST(job->cancelled);
  for (job_sim::SimWorker* worker : cell->Workers().Alive()) {
    BOOST_TEST(worker->RunningCount() == 0U);
  }
  BOOST_TEST((cell->Ask(job->job.id, 2) == JobState::kCancelled));
  // A delayed duplicate of the submission changes nothing.
  cell->Submit(job->job.spec, 0);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_CASE(a_gang_runs_whole) {
  const auto cell = SimCell::Builder().Workers(4).Build();
  JobSpec spec = MakeSpec({MakeStep(10, 4500, seconds(2))});
  spec.steps[0].gang = true;
  SimJob* job = cell->Submit(spec);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(10)));
  BOOST_TEST(cell->Judge().Runs() == 10);
  CheckInvariants(cell.get());
}

// Small tasks keep all workers busy, and more arrive all the time. A gang that
// needs three quarters of the cell is still scheduled.
BOOST_AUTO_TEST_CASE(a_wide_gang_is_not_starved_by_small_tasks) {
  const auto cell = SimCell::Builder().Workers(4).Build();
  cell->queue.stretch = 3.0;
  cell->Apply();
  for (int i = 0; i < 60; ++i) {
    cell->Time().After(milliseconds(200) * i, [&cell] {
      cell->Submit(MakeSpec({MakeStep(8, 2000, seconds(2))}));
    });
  }
  cell->Time().RunFor(seconds(3));
  JobSpec spec = MakeSpec({MakeStep(12, 4000, seconds(2))});
  spec.steps[0].gang = true;
  SimJob* gang = cell->Submit(spec);
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(12)));
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_CASE(only_permitted_workers_get_tasks) {
  const auto cell =
      SimCell::Builder().Workers(8).Advice(0.4, milliseconds(50)).Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(6, 4000, seconds(1))}));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(15)));
  BOOST_TEST(cell->Log().Count("permissions") >= 1U);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_CASE(a_draining_worker_gets_nothing_new) {
  const auto cell = SimCell::Builder().Workers(2).Build();
  job_sim::SimWorker* leaving = cell->Workers().Find("w0");
  cell->DrainWorker(leaving);
  cell->Time().RunFor(seconds(1));
  SimJob* job = cell->Submit(MakeSpec({MakeStep(4, 1000, seconds(1))}));
  cell->Time().RunFor(milliseconds(500));
  BOOST_TEST(leaving->RunningCount() == 0U);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(10)));
}

BOOST_AUTO_TEST_CASE(a_worker_that_joins_is_used) {
  const auto cell = SimCell::Builder().Workers(1).Build();
  cell->Submit(MakeSpec({MakeStep(8, 2000, seconds(30))}));
  cell->Time().RunFor(seconds(1));
  SimJob* more = cell->Submit(MakeSpec({MakeStep(1, 2000, seconds(1))}));
  cell->Time().RunFor(seconds(1));
  cell->AddWorker();
  BOOST_TEST(cell->AwaitFinal(more->job.id, seconds(4)));
}

// A worker fails all its tasks immediately, so it always looks idle. After a
// few failures the others get the tasks.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_is_left_out) {
  const auto cell = SimCell::Builder().Workers(4).MaxAttempts(20).Build();
  cell->Workers().Find("w1")->fails_all = true;
  for (int i = 0; i < 20; ++i) {
    cell->Submit(MakeSpec({MakeStep(2, 1000, milliseconds(500))}));
    cell->Time().RunFor(milliseconds(100));
  }
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() < 40 + 15);
  CheckInvariants(cell.get());
}

// A failed task is retried on another worker, so that its two attempts are not
// both lost on the failing one.
BOOST_AUTO_TEST_CASE(a_task_that_failed_is_tried_on_another_worker) {
  const auto cell = SimCell::Builder().Workers(2).MaxAttempts(2).Build();
  cell->Workers().Find("w0")->fails_all = true;
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 16'000, seconds(1))}));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(5)));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kCompleted));
  BOOST_TEST(cell->Judge().Runs() == 2);
}

BOOST_AUTO_TEST_CASE(pending_counts_jobs_that_have_started_nothing) {
  const auto cell = SimCell::Builder().Workers(1).Build();
  cell->Submit(MakeSpec({MakeStep(1, 16'000, seconds(5))}));
  cell->Time().RunFor(milliseconds(500));
  for (int i = 0; i < 3; ++i) {
    cell->Submit(MakeSpec({MakeStep(1, 16'000, seconds(5))}));
  }
  cell->Time().RunFor(milliseconds(500));
  for (std::size_t i = 0; i < 3; ++i) {
    std::int64_t pending = -1;
    cell->ProcessAt(i)->Post([&cell, &pending, i] {
      cell->NodeAt(i)->Pending(cell->queue.name, seconds(1),
                               [&pending](const Result<std::int64_t>& count) {
                                 if (count) pending = count.value();
                               });
    });
    cell->Time().RunFor(milliseconds(200));
    BOOST_TEST(pending == 3);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
