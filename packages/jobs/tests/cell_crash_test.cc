#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::CrashingTasks;
using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return a submitted job whose tasks crash their workers
SimJob* SubmitCrashing(SimCell* cell, const Step& step,
                       const CrashingTasks& crashing) {
  SimJob* job = cell->Submit(MakeSpec({step}));
  job->crashing = crashing;
  return job;
}

/// @return the number of runs at workers that are up
std::size_t CountRunning(SimCell* cell) {
  std::size_t count = 0;
  for (const job_sim::SimWorker* worker : cell->Workers().Alive()) {
    count += worker->RunningCount();
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_crash)

// Failure: a task that crashes its worker is started on one worker after the
// other.
BOOST_AUTO_TEST_CASE(job_fails_if_its_task_crashes_workers_at_start) {
  const auto cell = SimCell::Builder().Workers(8).Build();
  SimJob* job = SubmitCrashing(cell.get(), MakeStep(1, 2000, seconds(1)), {});
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(40)));
  const auto status = cell->AskStatus(job->job.id);
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST((status->state == JobState::kFailed));
  BOOST_TEST(
      status->cause.find("workers were lost while running task job0.0.0.0") !=
      std::string::npos);
  CheckInvariants(cell.get());
}

// As above, but the task crashes its worker some time after the worker has
// responded.
BOOST_AUTO_TEST_CASE(job_fails_if_its_task_crashes_workers_later) {
  const auto cell = SimCell::Builder().Workers(8).Build();
  SimJob* job = SubmitCrashing(cell.get(), MakeStep(1, 2000, seconds(5)),
                               {.after = milliseconds(1200)});
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(60)));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kFailed));
  CheckInvariants(cell.get());
}

// Failure: a new owner does not know the losses seen by previous owners.
BOOST_AUTO_TEST_CASE(crash_counts_survive_an_owner_change) {
  const auto cell = SimCell::Builder().Workers(8).Build();
  SimJob* job = SubmitCrashing(cell.get(), MakeStep(1, 2000, seconds(1)), {});
  constexpr int kChanges = 6;
  for (int i = 0; i < kChanges; ++i) {
    cell->Time().RunFor(seconds(4));
    const auto owner = cell->OwnerIndex();
    if (!owner) continue;
    cell->KillProcess(*owner);
    cell->Time().RunFor(seconds(1));
    cell->StartProcess(*owner);
  }
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(60)));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kFailed));
  CheckInvariants(cell.get());
}

// Failure: if the owner is lost at an unfavourable time, its successor does not
// know the recorded losses.
BOOST_AUTO_TEST_CASE(crash_counts_survive_loss_of_the_owner_at_any_time) {
  constexpr milliseconds kStep(150);
  constexpr milliseconds kLast(15'000);
  for (milliseconds moment{0}; moment < kLast; moment += kStep) {
    const auto cell = SimCell::Builder().Workers(6).Build();
    SimJob* job = SubmitCrashing(cell.get(), MakeStep(2, 2000, seconds(1)), {});
    cell->Time().RunFor(moment);
    if (const auto owner = cell->OwnerIndex()) cell->KillProcess(*owner);
    BOOST_TEST_CONTEXT("after " << moment.count() << " ms") {
      BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(60)));
      BOOST_TEST((cell->Ask(job->job.id) == JobState::kFailed));
      CheckInvariants(cell.get());
    }
  }
}

// Failure: tasks that merely share a worker with a crashing task are blamed for
// its loss.
BOOST_AUTO_TEST_CASE(tasks_sharing_workers_with_crashing_tasks_complete) {
  const auto cell = SimCell::Builder().Workers(12).Build();
  std::vector<SimJob*> healthy;
  constexpr int kRounds = 20;
  constexpr int kCrashingEvery = 5;
  for (int i = 0; i < kRounds; ++i) {
    healthy.push_back(cell->Submit(MakeSpec({MakeStep(3, 1500, seconds(2))})));
    if (i % kCrashingEvery == 0) {
      SubmitCrashing(cell.get(), MakeStep(2, 1500, seconds(2)), {});
    }
    cell->Time().RunFor(milliseconds(400));
  }
  cell->Settle(seconds(90));
  for (const SimJob* job : healthy) {
    BOOST_TEST((cell->Ask(job->job.id) == JobState::kCompleted));
  }
  CheckInvariants(cell.get());
}

// Failure: a gang is restarted each time one member has crashed its worker.
BOOST_AUTO_TEST_CASE(job_fails_if_a_gang_member_crashes_its_worker) {
  const auto cell = SimCell::Builder().Workers(8).Build();
  Step step = MakeStep(6, 6000, seconds(2));
  step.gang = true;
  SimJob* job = SubmitCrashing(cell.get(), step, {.index = 2});
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(60)));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kFailed));
  CheckInvariants(cell.get());
}

// Failure: all tasks of a wide step are retried at once although each of them
// crashes its worker.
BOOST_AUTO_TEST_CASE(tasks_of_a_suspicious_step_are_retried_one_at_a_time) {
  constexpr std::int64_t kWorkers = 8;
  const auto cell = SimCell::Builder().Workers(kWorkers).Build();
  SimJob* job = SubmitCrashing(cell.get(), MakeStep(24, 4000, seconds(1)), {});
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(40)));
  // Each worker may be lost once, and two more while one task is retried.
  BOOST_TEST(cell->Judge().TaskCrashes() <= kWorkers + 2);
  CheckInvariants(cell.get());
}

// Failure: other tasks are lost together with a suspicious task.
BOOST_AUTO_TEST_CASE(no_task_starts_on_a_quarantined_worker) {
  const auto cell = SimCell::Builder().Workers(4).Build();
  SimJob* crashing = SubmitCrashing(cell.get(), MakeStep(1, 1000, seconds(9)),
                                    {.after = milliseconds(800)});
  cell->Time().RunFor(milliseconds(700));
  std::vector<SimJob*> healthy;
  constexpr int kJobs = 60;
  for (int i = 0; i < kJobs; ++i) {
    healthy.push_back(cell->Submit(MakeSpec({MakeStep(2, 500, seconds(1))})));
    cell->Time().RunFor(milliseconds(200));
  }
  BOOST_TEST(cell->AwaitFinal(crashing->job.id, seconds(40)));
  cell->Settle(seconds(60));
  BOOST_TEST(cell->Judge().GivenUpWrongly() == 0U);
  BOOST_TEST(cell->Judge().TaskCrashes() == 3);
  CheckInvariants(cell.get());
}

// Failure: a worker that was only partitioned is taken for one that crashed.
BOOST_AUTO_TEST_CASE(returning_worker_clears_suspicion_of_its_tasks) {
  const auto cell = SimCell::Builder().Workers(4).Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 2000, seconds(40))}));
  constexpr int kCuts = 5;
  for (int i = 0; i < kCuts; ++i) {
    cell->Time().RunFor(seconds(1));
    for (job_sim::SimWorker* worker : cell->Workers().Alive()) {
      if (worker->RunningCount() == 0) continue;
      cell->Workers().cut.insert(worker->Info().incarnation.id.Text());
    }
    cell->Time().RunFor(seconds(9));
    cell->Workers().cut.clear();
  }
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(60)));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kCompleted));
  CheckInvariants(cell.get());
}

// Failure: a long-running job is failed because hosts fail during its lifetime.
BOOST_AUTO_TEST_CASE(long_running_job_survives_host_failures) {
  const auto cell = SimCell::Builder().Workers(4).Build();
  Step step = MakeStep(1, 2000, seconds(1000));
  step.long_running = true;
  SimJob* job = cell->Submit(MakeSpec({step}));
  constexpr int kFailures = 5;
  for (int i = 0; i < kFailures; ++i) {
    cell->Time().RunFor(seconds(90));
    for (job_sim::SimWorker* worker : cell->Workers().Alive()) {
      if (worker->RunningCount() > 0) cell->CrashWorker(worker, seconds(2));
    }
  }
  cell->Time().RunFor(seconds(10));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kRunning));
  CheckInvariants(cell.get());
}

// Guards against a service that is failed, and stopped as a whole, because one
// of its hosts fails again and again.
BOOST_AUTO_TEST_CASE(long_running_job_survives_one_host_that_flaps) {
  constexpr std::int32_t kTasks = 8;
  const auto cell = SimCell::Builder().Workers(kTasks).Build();
  Step step = MakeStep(kTasks, 2000, seconds(1000));
  step.long_running = true;
  step.max_per_worker = 1;
  SimJob* job = cell->Submit(MakeSpec({step}));
  cell->Time().RunFor(seconds(2));
  const std::string address = cell->Workers().Alive().front()->Info().address;
  constexpr int kFailures = 8;
  for (int i = 0; i < kFailures; ++i) {
    cell->Time().RunFor(seconds(14));
    for (job_sim::SimWorker* worker : cell->Workers().Alive()) {
      if (worker->Info().address != address) continue;
      cell->CrashWorker(worker, milliseconds(4500));
    }
    cell->Time().RunFor(seconds(8));
    BOOST_TEST(CountRunning(cell.get()) == kTasks);
  }
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kRunning));
  CheckInvariants(cell.get());
}

// Guards against the tasks of a service that are started again one by one after
// the hosts that they shared have failed twice.
BOOST_AUTO_TEST_CASE(long_running_tasks_of_a_lost_worker_restart_together) {
  constexpr std::int32_t kTasks = 7;
  const auto cell = SimCell::Builder().Workers(8).Build();
  Step step = MakeStep(kTasks, 2000, seconds(1000));
  step.long_running = true;
  SimJob* job = cell->Submit(MakeSpec({step}));
  for (int i = 0; i < 2; ++i) {
    cell->Time().RunFor(seconds(12));
    for (job_sim::SimWorker* worker : cell->Workers().Alive()) {
      if (worker->RunningCount() > 0) cell->CrashWorker(worker, seconds(60));
    }
  }
  // Within the lease of the lost worker, which is waited for.
  cell->Time().RunFor(seconds(6));
  BOOST_TEST(CountRunning(cell.get()) == kTasks);
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kRunning));
  CheckInvariants(cell.get());
}

// Guards against a long-running task that is given up because it crashes its
// workers, and against starting it again without a delay.
BOOST_AUTO_TEST_CASE(long_running_task_that_crashes_workers_restarts_delayed) {
  const auto cell = SimCell::Builder().Workers(8).Build();
  Step step = MakeStep(1, 2000, seconds(1000));
  step.long_running = true;
  SimJob* job = SubmitCrashing(cell.get(), step, {});
  cell->Time().RunFor(seconds(60));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kRunning));
  const std::int64_t runs = cell->Judge().Runs();
  BOOST_TEST(runs >= 4);
  cell->Time().RunFor(seconds(60));
  // At most one start in five seconds.
  BOOST_TEST(cell->Judge().Runs() - runs <= 12);
  BOOST_TEST(cell->Judge().Runs() > runs);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
