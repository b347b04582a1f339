#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using job_sim::SimWorker;
using job_sim::SimWorkers;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return a cell whose workers keep their ids when they restart
std::unique_ptr<SimCell> MakeCell(std::size_t workers) {
  auto cell = SimCell::Builder().Workers(workers).Build();
  cell->ReuseWorkerIds();
  return cell;
}

/// Runs some jobs to completion, so that ends of each worker have been
/// acknowledged.
void RunSomeJobs(SimCell* cell) {
  constexpr int kJobs = 6;
  for (int i = 0; i < kJobs; ++i) {
    const SimJob* job =
        cell->Submit(MakeSpec({MakeStep(4, 4000, milliseconds(100))}));
    BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(10)));
  }
}

void RestartAll(SimCell* cell, Duration down) {
  for (SimWorker* worker : cell->Workers().Alive()) {
    cell->CrashWorker(worker, down);
  }
}

bool Completes(SimCell* cell, const SimJob& job, Duration limit) {
  return cell->AwaitFinal(job.job.id, limit) &&
         cell->Ask(job.job.id) == JobState::kCompleted;
}

/// @return a cell of one worker, at which holds wait since it runs a task
std::unique_ptr<SimCell> MakeCellWithWaitingHolds() {
  auto cell = SimCell::Builder().Workers(1).MaxAttempts(2).Build();
  cell->ReuseWorkerIds();
  (void)cell->Submit(MakeSpec({MakeStep(1, 2000, seconds(10))}));
  cell->Time().RunFor(milliseconds(300));
  return cell;
}

/// Restarts all workers at once, some time after the first run has ended.
void RestartAfterEnd(SimCell* cell, Duration moment) {
  BOOST_TEST(cell->Time().RunUntil(
      [&] { return cell->Log().Count("run-ends") == 1; }, seconds(5)));
  cell->Time().RunFor(moment);
  RestartAll(cell, Duration::zero());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_restart)

// Failure: the ends reported by a new incarnation are taken for ends that are
// already known.
BOOST_AUTO_TEST_CASE(ends_after_a_worker_restart_are_processed) {
  const auto cell = MakeCell(2);
  RunSomeJobs(cell.get());
  RestartAll(cell.get(), milliseconds(700));
  const SimJob* job =
      cell->Submit(MakeSpec({MakeStep(4, 4000, milliseconds(1500))}));
  BOOST_TEST(Completes(cell.get(), *job, seconds(10)));
  cell->Time().RunFor(seconds(10));
  CheckInvariants(cell.get());
  BOOST_TEST(cell->Judge().Runs() == 28);
}

// Failure: a worker that responds is considered lost because the lease of its
// former incarnation expires.
BOOST_AUTO_TEST_CASE(restarted_worker_is_not_lost_to_its_former_lease) {
  const auto cell = MakeCell(2);
  RunSomeJobs(cell.get());
  cell->Time().RunFor(seconds(20));
  const SimJob* before =
      cell->Submit(MakeSpec({MakeStep(4, 4000, milliseconds(2000))}));
  cell->Time().RunFor(milliseconds(500));
  RestartAll(cell.get(), milliseconds(400));
  const SimJob* after = cell->Submit(MakeSpec({MakeStep(2, 4000, seconds(8))}));
  BOOST_TEST(Completes(cell.get(), *before, seconds(15)));
  BOOST_TEST(Completes(cell.get(), *after, seconds(15)));
  CheckInvariants(cell.get());
  for (const std::string& line : cell->Log().Lines()) {
    BOOST_TEST(line.find("reason=lease-lapsed") == std::string::npos, line);
  }
}

// Failure: healthy jobs are failed because their workers restart.
BOOST_AUTO_TEST_CASE(jobs_survive_repeated_worker_restarts) {
  const auto cell = MakeCell(6);
  std::vector<const SimJob*> jobs;
  constexpr int kRounds = 6;
  for (int i = 0; i < kRounds; ++i) {
    jobs.push_back(cell->Submit(MakeSpec({MakeStep(6, 3000, seconds(1))})));
    Step gang = MakeStep(4, 8000, seconds(2));
    gang.gang = true;
    jobs.push_back(cell->Submit(MakeSpec({gang})));
    cell->Time().RunFor(milliseconds(1300));
    const std::vector<SimWorker*> alive = cell->Workers().Alive();
    for (std::size_t w = 0; w < alive.size(); w += 2) {
      cell->CrashWorker(alive[w], milliseconds(600));
    }
    cell->Time().RunFor(seconds(4));
  }
  for (const SimJob* job : jobs) {
    BOOST_TEST(Completes(cell.get(), *job, seconds(30)));
  }
  CheckInvariants(cell.get());
}

// Failure: the limit on lost workers counts each worker id only once.
BOOST_AUTO_TEST_CASE(crashes_are_counted_across_restarts_of_one_worker_id) {
  const auto cell = MakeCell(1);
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 2000, seconds(1))}));
  job->crashing = job_sim::CrashingTasks{};
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(60)));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kFailed));
  CheckInvariants(cell.get());
}

// Failure: healthy jobs are failed, or delayed as suspicious, after outages of
// many workers.
BOOST_AUTO_TEST_CASE(healthy_jobs_survive_outages_of_many_workers) {
  const auto cell = MakeCell(40);
  std::vector<const SimJob*> jobs;
  constexpr std::size_t kJobs = 4;
  jobs.reserve(kJobs);
  for (std::size_t i = 0; i < kJobs; ++i) {
    jobs.push_back(cell->Submit(MakeSpec({MakeStep(15, 8000, seconds(8))})));
  }
  constexpr int kOutages = 8;
  for (int i = 0; i < kOutages; ++i) {
    cell->Time().RunFor(seconds(4));
    for (SimWorker* worker : cell->Workers().Alive()) {
      if (!cell->Time().Chance(0.5)) continue;
      cell->CrashWorker(worker, milliseconds(600));
    }
  }
  for (const SimJob* job : jobs) {
    BOOST_TEST(Completes(cell.get(), *job, seconds(30)));
  }
  CheckInvariants(cell.get());
}

// Failure: a start order that the former incarnation left unanswered is carried
// out by the new one while the task runs elsewhere.
BOOST_AUTO_TEST_CASE(delayed_start_does_not_run_concurrently_with_a_newer_run) {
  constexpr milliseconds kStep(100);
  constexpr milliseconds kLast(2000);
  for (milliseconds moment{0}; moment <= kLast; moment += kStep) {
    const auto cell = MakeCell(2);
    RunSomeJobs(cell.get());
    cell->Workers().late_orders = 0.5;
    const SimJob* job = cell->Submit(MakeSpec({MakeStep(6, 2000, seconds(6))}));
    cell->Time().RunFor(moment);
    RestartAll(cell.get(), milliseconds(300));
    cell->Time().RunFor(milliseconds(600));
    cell->Workers().late_orders = 0;
    BOOST_TEST(Completes(cell.get(), *job, seconds(60)));
    CheckInvariants(cell.get());
  }
}

// Failure: a start order stays under way after its task has completed, and is
// carried out by a new incarnation of the worker, which nobody has contacted.
BOOST_AUTO_TEST_CASE(delayed_start_does_not_repeat_a_completed_task) {
  constexpr milliseconds kStep(250);
  constexpr milliseconds kLast(10'000);
  // Longer than the entry of the former incarnation stays in the store.
  constexpr milliseconds kLongDown(6000);
  for (milliseconds moment{1500}; moment <= kLast; moment += kStep) {
    for (const milliseconds down : {milliseconds(0), kLongDown}) {
      const auto cell = MakeCell(2);
      RunSomeJobs(cell.get());
      cell->Workers().late_orders = 0.4;
      const SimJob* job =
          cell->Submit(MakeSpec({MakeStep(6, 2000, milliseconds(200))}));
      cell->Time().RunFor(milliseconds(200));
      cell->Workers().late_orders = 0;
      cell->Time().RunFor(moment);
      RestartAll(cell.get(), down);
      BOOST_TEST_CONTEXT("after " << moment.count() << " ms, for "
                                  << down.count() << " ms") {
        BOOST_TEST(Completes(cell.get(), *job, seconds(60)));
        cell->Time().RunFor(seconds(15));
        CheckInvariants(cell.get());
      }
    }
  }
}

// Failure: a worker restarts unnoticed after a run has failed, and the next run
// fails at its new incarnation. The number of the first end acknowledges the
// second one, which is not counted as an attempt.
BOOST_AUTO_TEST_CASE(unread_failure_of_a_new_incarnation_is_not_acknowledged) {
  constexpr milliseconds kLast(120);
  for (milliseconds moment{0}; moment <= kLast; moment += milliseconds(1)) {
    const auto cell = MakeCellWithWaitingHolds();
    SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 2000, milliseconds(20))}));
    job->hopeless = true;
    RestartAfterEnd(cell.get(), moment);
    BOOST_TEST_CONTEXT("after " << moment.count() << " ms") {
      BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(60)));
      CheckInvariants(cell.get());
    }
  }
}

// Failure: as above, with runs that complete: the second task runs again.
BOOST_AUTO_TEST_CASE(unread_success_of_a_new_incarnation_is_not_acknowledged) {
  constexpr milliseconds kLast(120);
  for (milliseconds moment{0}; moment <= kLast; moment += milliseconds(1)) {
    const auto cell = MakeCellWithWaitingHolds();
    const JobSpec spec = MakeSpec({MakeStep(1, 2000, milliseconds(20))});
    const SimJob* first = cell->Submit(spec);
    RestartAfterEnd(cell.get(), moment);
    const SimJob* second = cell->Submit(spec);
    BOOST_TEST_CONTEXT("after " << moment.count() << " ms") {
      BOOST_TEST(Completes(cell.get(), *first, seconds(60)));
      BOOST_TEST(Completes(cell.get(), *second, seconds(60)));
      cell->Time().RunFor(seconds(5));
      CheckInvariants(cell.get());
    }
  }
}

// Failure: a new owner asks the new incarnation about runs of the former one.
BOOST_AUTO_TEST_CASE(worker_restart_during_takeover_loses_no_run) {
  constexpr milliseconds kStep(200);
  constexpr milliseconds kLast(3000);
  for (milliseconds moment{0}; moment <= kLast; moment += kStep) {
    const auto cell = MakeCell(3);
    RunSomeJobs(cell.get());
    const SimJob* job = cell->Submit(MakeSpec({MakeStep(6, 4000, seconds(3))}));
    cell->Time().RunFor(milliseconds(500));
    const auto owner = cell->OwnerIndex();
    BOOST_REQUIRE(owner.has_value());
    cell->KillProcess(*owner);
    cell->Time().RunFor(moment);
    RestartAll(cell.get(), milliseconds(200));
    cell->Time().RunFor(seconds(1));
    cell->StartProcess(*owner);
    BOOST_TEST(Completes(cell.get(), *job, seconds(40)));
    cell->Time().RunFor(seconds(5));
    CheckInvariants(cell.get());
  }
}

// Failure: permissions and rejections for a former incarnation are applied to
// the new one.
BOOST_AUTO_TEST_CASE(permissions_are_requested_again_for_a_new_incarnation) {
  auto cell =
      SimCell::Builder().Workers(8).Advice(0.5, milliseconds(60)).Build();
  cell->ReuseWorkerIds();
  for (int i = 0; i < 4; ++i) {
    Step gang = MakeStep(2, 9000, seconds(1));
    gang.gang = true;
    const SimJob* wide = cell->Submit(MakeSpec({gang}));
    const SimJob* narrow =
        cell->Submit(MakeSpec({MakeStep(4, 2000, seconds(1))}));
    cell->Time().RunFor(milliseconds(700));
    RestartAll(cell.get(), milliseconds(300));
    BOOST_TEST(Completes(cell.get(), *wide, seconds(40)));
    BOOST_TEST(Completes(cell.get(), *narrow, seconds(40)));
  }
  CheckInvariants(cell.get());
}

// Failure: a worker that restarts with another capacity receives tasks that fit
// its former incarnation.
BOOST_AUTO_TEST_CASE(smaller_incarnation_is_not_overcommitted) {
  const auto cell = MakeCell(3);
  cell->VaryCapacity(0.3);
  std::vector<const SimJob*> jobs;
  for (int i = 0; i < 12; ++i) {
    jobs.push_back(cell->Submit(MakeSpec({MakeStep(8, 4000, seconds(1))})));
    cell->Time().RunFor(milliseconds(900));
    if (i % 3 == 0) RestartAll(cell.get(), milliseconds(200));
  }
  for (const SimJob* job : jobs) {
    BOOST_TEST(Completes(cell.get(), *job, seconds(60)));
  }
  CheckInvariants(cell.get());
}

// Failure: a task is sent to an idle worker that is gone, and is started
// elsewhere only after a lease that the worker never granted.
BOOST_AUTO_TEST_CASE(unreachable_idle_worker_delays_no_task_by_a_lease) {
  const auto cell = MakeCell(4);
  RunSomeJobs(cell.get());
  cell->Time().RunFor(seconds(20));
  cell->Workers().cut.insert("w1");
  cell->Workers().cut.insert("w2");
  const Instant submitted = cell->Time().Now();
  const SimJob* job =
      cell->Submit(MakeSpec({MakeStep(4, 8000, milliseconds(300))}));
  BOOST_TEST(Completes(cell.get(), *job, seconds(20)));
  BOOST_REQUIRE(job->done_at.has_value());
  BOOST_TEST((*job->done_at - submitted < seconds(2)));
  cell->Time().RunFor(seconds(15));
  CheckInvariants(cell.get());
}

// Failure: a sound job is failed because some of its starts were sent to
// workers that had just gone down.
BOOST_AUTO_TEST_CASE(job_survives_starts_to_workers_that_had_gone_down) {
  const auto cell = MakeCell(4);
  SimWorkers& workers = cell->Workers();
  const SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 2000, seconds(2))}));
  cell->Time().RunFor(seconds(1));
  // One worker is lost while it runs the task …
  for (SimWorker* worker : workers.Alive()) {
    if (worker->RunningCount() > 0) cell->CrashWorker(worker, seconds(1));
  }
  // … and two are unreachable when the next start orders are sent.
  int starts = 0;
  workers.delay_start = [&](const WorkerTarget& target, const StartOrder&) {
    constexpr int kUnreachable = 2;
    if (starts++ < kUnreachable) {
      const std::string name = target.incarnation.id.Text();
      workers.cut.insert(name);
      cell->CrashWorker(workers.At(target.address), seconds(1));
      cell->Time().After(seconds(2),
                         [&workers, name] { workers.cut.erase(name); });
    }
    return std::optional<Duration>();
  };
  BOOST_TEST(Completes(cell.get(), *job, seconds(90)));
  BOOST_TEST(starts > 2);
  CheckInvariants(cell.get());
}

// Failure: workers whose entry has no start time are not used any more.
BOOST_AUTO_TEST_CASE(workers_without_a_start_time_are_used) {
  const auto cell = SimCell::Builder().Workers(4).Build();
  cell->HideBirths();
  std::vector<const SimJob*> jobs;
  for (int i = 0; i < 4; ++i) {
    jobs.push_back(cell->Submit(MakeSpec({MakeStep(6, 3000, seconds(1))})));
    cell->Time().RunFor(milliseconds(500));
    cell->CrashWorker(cell->Workers().Alive().front(), milliseconds(600));
  }
  for (const SimJob* job : jobs) {
    BOOST_TEST(Completes(cell.get(), *job, seconds(40)));
  }
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
