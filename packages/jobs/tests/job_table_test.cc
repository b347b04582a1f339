#include "job_table.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using std::chrono::seconds;

constexpr Instant kNow{seconds(100)};
constexpr Instant kLater{seconds(200)};

struct Fixture {
  JobEntry* Add(JobSpec spec) {
    Job job;
    job.id = JobId("job");
    job.queue.max_attempts = 2;
    job.spec = std::move(spec);
    return this->table.Add(std::move(job), kNow);
  }

  std::vector<RunRef> Begin(JobEntry* entry, std::int32_t step) {
    const StepRef ref{entry->job.id, 0, step};
    const StepEntry& progress =
        entry->occurrences.at(0).steps[static_cast<std::size_t>(step)];
    const auto tasks = JobTable::Startable(*entry, progress, step, kLater);
    const std::vector<WorkerIncarnation> workers(tasks.size(), {WorkerId("w")});
    return this->table.Begin(entry, ref, tasks, workers);
  }

  EndEffect End(const RunRef& run, RunEnd end, const char* checkpoint = "") {
    return this->table.End(run, end, checkpoint, kNow);
  }

  JobTable table;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_table, Fixture)

BOOST_AUTO_TEST_CASE(a_job_completes_when_all_tasks_of_all_steps_are_done) {
  JobSpec spec =
      MakeSpec({MakeStep(2, 100, seconds(1)), MakeStep(1, 100, seconds(1))});
  spec.steps[1].after = {0};
  JobEntry* entry = Add(spec);
  BOOST_TEST(!JobTable::Ready(*entry, entry->occurrences.at(0), 1));
  const auto first = Begin(entry, 0);
  BOOST_TEST(End(first[0], RunEnd::kDone).durable);
  BOOST_TEST(!JobTable::Ready(*entry, entry->occurrences.at(0), 1));
  End(first[1], RunEnd::kDone);
  BOOST_TEST(JobTable::Ready(*entry, entry->occurrences.at(0), 1));
  const auto second = Begin(entry, 1);
  BOOST_TEST(End(second[0], RunEnd::kDone).job_final);
  BOOST_TEST((entry->state == JobState::kCompleted));
  BOOST_TEST(table.Active().empty());
}

BOOST_AUTO_TEST_CASE(run_end_counts_once) {
  JobEntry* entry = Add(MakeSpec({MakeStep(1, 100, seconds(1))}));
  const auto runs = Begin(entry, 0);
  BOOST_TEST(End(runs[0], RunEnd::kFailed).matched);
  BOOST_TEST(!End(runs[0], RunEnd::kFailed).matched);
  BOOST_TEST((entry->state == JobState::kRunning));
  const auto again = Begin(entry, 0);
  BOOST_TEST(again[0].run == 2);
  BOOST_TEST(End(again[0], RunEnd::kFailed).job_final);
  BOOST_TEST((entry->state == JobState::kFailed));
}

BOOST_AUTO_TEST_CASE(end_of_an_older_run_is_ignored) {
  JobEntry* entry = Add(MakeSpec({MakeStep(1, 100, seconds(1))}));
  const auto old = Begin(entry, 0);
  End(old[0], RunEnd::kLapsed);
  Begin(entry, 0);
  BOOST_TEST(!End(old[0], RunEnd::kDone).durable);
  BOOST_TEST((entry->state == JobState::kRunning));
}

BOOST_AUTO_TEST_CASE(late_success_counts_if_no_newer_run_started) {
  JobEntry* entry = Add(MakeSpec({MakeStep(1, 100, seconds(1))}));
  const auto runs = Begin(entry, 0);
  End(runs[0], RunEnd::kLapsed);
  const EndEffect effect = End(runs[0], RunEnd::kDone);
  BOOST_TEST(effect.durable);
  BOOST_TEST(effect.job_final);
}

BOOST_AUTO_TEST_CASE(gang_members_share_run_number_and_attempts) {
  JobSpec spec = MakeSpec({MakeStep(3, 100, seconds(1))});
  spec.steps[0].gang = true;
  JobEntry* entry = Add(spec);
  const auto runs = Begin(entry, 0);
  BOOST_TEST(runs[0].run == runs[2].run);
  BOOST_TEST(End(runs[0], RunEnd::kFailed).gang_ended);
  const StepEntry& step = entry->occurrences.at(0).steps[0];
  // A member of the new run must not overlap with one of the old run.
  BOOST_TEST(JobTable::Startable(*entry, step, 0, kLater).empty());
  End(runs[1], RunEnd::kGangMemberEnded);
  End(runs[2], RunEnd::kGangMemberEnded);
  BOOST_TEST(step.failed_gang_runs == 1);
  const auto again = Begin(entry, 0);
  BOOST_TEST(again.size() == 3U);
  BOOST_TEST(again[0].run == 2);
  BOOST_TEST(End(again[1], RunEnd::kDone).job_final);
}

BOOST_AUTO_TEST_CASE(checkpoint_of_one_gang_member_applies_to_all) {
  JobSpec spec = MakeSpec({MakeStep(2, 100, seconds(1))});
  spec.steps[0].gang = true;
  JobEntry* entry = Add(spec);
  const auto runs = Begin(entry, 0);
  End(runs[0], RunEnd::kStopped, "half");
  End(runs[1], RunEnd::kGangMemberEnded);
  for (const TaskEntry& task : entry->occurrences.at(0).steps[0].tasks) {
    BOOST_TEST(task.checkpoint == "half");
  }
}

BOOST_AUTO_TEST_CASE(long_running_task_restarts_after_any_end) {
  JobSpec spec = MakeSpec({MakeStep(1, 100, seconds(1))});
  spec.steps[0].long_running = true;
  JobEntry* entry = Add(spec);
  for (int i = 0; i < 5; ++i) {
    const auto runs = Begin(entry, 0);
    BOOST_REQUIRE(runs.size() == 1U);
    End(runs[0], i % 2 == 0 ? RunEnd::kFailed : RunEnd::kDone);
  }
  BOOST_TEST((entry->state == JobState::kRunning));
}

// Guards against a long-running task that is never started again, because the
// success of a run that was considered lost is reported late.
BOOST_AUTO_TEST_CASE(late_success_does_not_complete_a_long_running_task) {
  JobSpec spec = MakeSpec({MakeStep(1, 100, seconds(1))});
  spec.steps[0].long_running = true;
  JobEntry* entry = Add(spec);
  const auto runs = Begin(entry, 0);
  End(runs[0], RunEnd::kLapsed);
  const EndEffect late = End(runs[0], RunEnd::kDone);
  BOOST_TEST(!late.durable);
  BOOST_TEST(!late.job_final);
  BOOST_TEST((entry->state == JobState::kRunning));
  BOOST_TEST(Begin(entry, 0).size() == 1U);
}

BOOST_AUTO_TEST_CASE(occurrences_open_when_they_are_due_and_may_overlap) {
  JobSpec spec = MakeSpec({MakeStep(1, 100, seconds(1))});
  spec.schedule = {.first_unix_ms = 1000, .interval_ms = 500, .occurrences = 3};
  JobEntry* entry = Add(spec);
  BOOST_TEST(entry->occurrences.empty());
  BOOST_TEST(!JobTable::OpenDueOccurrences(entry, 999));
  BOOST_TEST(JobTable::OpenDueOccurrences(entry, 1600));
  BOOST_TEST(entry->occurrences.size() == 2U);
  const std::vector<std::int32_t> task{0};
  const std::vector<WorkerIncarnation> worker{{WorkerId("w")}};
  const auto second = table.Begin(entry, {entry->job.id, 1, 0}, task, worker);
  End(second[0], RunEnd::kDone);
  // The first occurrence is still open, so the end of the second one is kept.
  BOOST_TEST(entry->first_open == 0);
  const auto first = table.Begin(entry, {entry->job.id, 0, 0}, task, worker);
  End(first[0], RunEnd::kDone);
  BOOST_TEST(entry->first_open == 2);
  BOOST_TEST((entry->state == JobState::kRunning));
  JobTable::OpenDueOccurrences(entry, 2000);
  const auto third = table.Begin(entry, {entry->job.id, 2, 0}, task, worker);
  BOOST_TEST(End(third[0], RunEnd::kDone).job_final);
}

BOOST_AUTO_TEST_CASE(unstarted_run_is_withdrawn) {
  JobEntry* entry = Add(MakeSpec({MakeStep(1, 100, seconds(1))}));
  const auto runs = Begin(entry, 0);
  table.Withdraw(runs[0]);
  // The run number is not reused, because a delayed copy of the order may
  // exist.
  BOOST_TEST(Begin(entry, 0)[0].run == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
