#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"
#include "keys.h"
#include "mustardproxy/core/error.h"
#include "record_codec.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than a write may stay under way.
constexpr Duration kLateWriteBound = seconds(8);
/// Longer than a final state or a cancellation is kept.
constexpr Duration kRetentionBound = seconds(160);

Team MakeTeam(const std::string& name, const std::string& key) {
  Team team;
  team.id = TeamId(name);
  team.keys = {KeyDigest::Of(key)};
  return team;
}

/// Number of jobs of a wave of cancellations.
constexpr int kWave = 100;

JobId WaveJob(int number) { return JobId("job" + std::to_string(number)); }

/// A cell of three processes whose owner is at work.
struct Fixture {
  std::size_t Owner() { return this->cell->OwnerIndex().value(); }

  /// A job that no caller has submitted yet.
  SimJob* MakeJob(const std::string& id) {
    Job job;
    job.id = JobId(id);
    job.queue = this->cell->queue;
    job.spec = MakeSpec({MakeStep(2, 1000, seconds(1))});
    this->cell->Judge().Add(job);
    return this->cell->Judge().Find(job.id);
  }

  /// Has a process submit a job for a caller that waits for `timeout`.
  std::shared_ptr<std::optional<SubmitResult>> PostSubmit(const SimJob& job,
                                                          std::size_t process,
                                                          Duration timeout) {
    auto result = std::make_shared<std::optional<SubmitResult>>();
    this->cell->ProcessAt(process)->Post(
        [this, process, timeout, result, id = job.job.id, spec = job.job.spec] {
          this->cell->NodeAt(process)->Submit(
              Admission{.queue = this->cell->queue}, id, spec, timeout,
              [result](const SubmitResult& given) { *result = given; });
        });
    return result;
  }

  /// Submits a job whose caller learns nothing, as the store carries out the
  /// write seconds late.
  void SubmitOverLateWrite(const SimJob& job, std::size_t process) {
    constexpr Duration kShortTimeout = milliseconds(300);
    this->cell->Store().late_writes = 1;
    const auto result = this->PostSubmit(job, process, kShortTimeout);
    this->cell->Time().RunFor(kShortTimeout + milliseconds(10));
    this->cell->Store().late_writes = 0;
    BOOST_REQUIRE(result->has_value());
    BOOST_TEST(((*result)->end == SubmitOutcome::kUnknown));
    BOOST_TEST(this->cell->Store().Get(keys::OfJob(job.job.id)) == nullptr);
  }

  /// Creates a job as a write does that was under way until now.
  void StoreLate(const SimJob& job) {
    this->cell->Store().Put(keys::OfJob(job.job.id), EncodeJob(job.job));
  }

  SubmitOutcome Cancel(const SimJob& job, std::size_t process,
                       const std::string& key = "") {
    const auto result = this->cell->CancelOnce(job.job.id, process, key);
    BOOST_REQUIRE(result.has_value());
    return result->end;
  }

  /// @return how many jobs of a wave have a tombstone
  int CountTombstones() {
    int count = 0;
    for (int i = 0; i < kWave; ++i) {
      const std::string key = keys::OfTombstone(WaveJob(i), "");
      if (this->cell->Store().Get(key) != nullptr) ++count;
    }
    return count;
  }

  std::unique_ptr<SimCell> cell =
      SimCell::Builder().Processes(3).Workers(4).Build();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_cancel, Fixture)

// Guards against a job that runs after its cancellation was answered, because
// the write that creates it was still under way: cancelled at the same process
// and at another, submitted at the owner and elsewhere.
BOOST_AUTO_TEST_CASE(job_created_after_its_cancellation_never_runs) {
  const std::size_t owner = Owner();
  const std::size_t other = (owner + 1) % 3;
  int number = 0;
  for (const std::size_t submitted_at : {owner, other}) {
    for (const std::size_t cancelled_at : {owner, other}) {
      const SimJob* job = MakeJob("late" + std::to_string(number++));
      SubmitOverLateWrite(*job, submitted_at);
      BOOST_TEST((Cancel(*job, cancelled_at) == SubmitOutcome::kNoSuchJob));
      cell->Time().RunFor(kLateWriteBound);
      for (std::size_t process = 0; process < 3; ++process) {
        BOOST_TEST((cell->Ask(job->job.id, process) == JobState::kCancelled));
      }
    }
  }
  BOOST_TEST(cell->Judge().Runs() == 0);
  CheckInvariants(cell.get());
}

// Guards against the same where a process is suspended with the submission
// under way and stores the job when it resumes.
BOOST_AUTO_TEST_CASE(
    job_stored_by_a_resumed_process_never_runs_once_cancelled) {
  const std::size_t submitted_at = (Owner() + 1) % 3;
  const std::size_t cancelled_at = (Owner() + 2) % 3;
  const SimJob* job = MakeJob("suspended");
  const auto result = PostSubmit(*job, submitted_at, seconds(3));
  cell->ProcessAt(submitted_at)->Pause();
  cell->Time().RunFor(seconds(4));
  BOOST_TEST((Cancel(*job, cancelled_at) == SubmitOutcome::kNoSuchJob));
  cell->Time().RunFor(milliseconds(100));
  cell->ProcessAt(submitted_at)->Resume();
  cell->Time().RunFor(seconds(10));
  BOOST_TEST(result->has_value());
  BOOST_TEST(cell->Judge().Runs() == 0);
  CheckInvariants(cell.get());
}

// Guards against a job that runs because its submission arrives again after its
// cancellation was answered. It is one job, which is shown as cancelled.
BOOST_AUTO_TEST_CASE(job_submitted_again_after_its_cancellation_never_runs) {
  const SimJob* job = MakeJob("again");
  BOOST_TEST((Cancel(*job, 0) == SubmitOutcome::kNoSuchJob));
  // No caller is shown a job that nobody has submitted.
  const auto unknown = cell->AskOnce(job->job.id, 1, "");
  BOOST_REQUIRE(unknown.has_value());
  BOOST_TEST((unknown->error() == Error::kUnknownRequest));
  for (std::size_t process = 0; process < 3; ++process) {
    const auto again = cell->SubmitOnce(*job, process, "");
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST((again->end == SubmitOutcome::kAccepted));
  }
  cell->Time().RunFor(seconds(2));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kCancelled));
  BOOST_TEST((Cancel(*job, 1) == SubmitOutcome::kAccepted));
  BOOST_TEST(cell->Judge().Runs() == 0);
}

// Guards against a cancellation that only the owner knew of: the owner dies
// between the cancellation and the write that creates the job.
BOOST_AUTO_TEST_CASE(cancellation_before_the_job_outlives_the_owner) {
  const SimJob* before = MakeJob("before");
  const SimJob* after = MakeJob("after");
  for (const SimJob* job : {before, after}) {
    BOOST_TEST((Cancel(*job, Owner()) == SubmitOutcome::kNoSuchJob));
  }
  cell->KillProcess(Owner());
  StoreLate(*before);
  cell->Time().RunUntil([&] { return cell->OwnerIndex().has_value(); },
                        seconds(5));
  StoreLate(*after);
  cell->Time().RunFor(seconds(3));
  for (const SimJob* job : {before, after}) {
    BOOST_TEST((cell->Ask(job->job.id, Owner()) == JobState::kCancelled));
  }
  BOOST_TEST(cell->Judge().Runs() == 0);
}

// Guards against occurrences of a scheduled job that fall due after the job was
// cancelled and then created by a late write.
BOOST_AUTO_TEST_CASE(scheduled_job_created_after_its_cancellation_never_runs) {
  SimJob* job = MakeJob("scheduled");
  job->job.spec.schedule.occurrences = 3;
  job->job.spec.schedule.interval_ms = 2000;
  job->job.spec.schedule.first_unix_ms = cell->ProcessAt(0)->UnixMs() + 1000;
  BOOST_TEST((Cancel(*job, 1) == SubmitOutcome::kNoSuchJob));
  StoreLate(*job);
  cell->Time().RunFor(seconds(10));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kCancelled));
  BOOST_TEST(cell->Judge().Runs() == 0);
}

// Guards against a team that cancels a job of another one before it is stored,
// and against hiding a cancellation of the job's own team in this way.
BOOST_AUTO_TEST_CASE(team_does_not_cancel_an_unknown_job_of_another) {
  cell->teams = {MakeTeam("one", "key-one"), MakeTeam("two", "key-two")};
  cell->Apply();
  cell->Time().RunFor(seconds(1));
  const SimJob* kept = MakeJob("kept");
  const SimJob* cancelled = MakeJob("cancelled");
  for (const SimJob* job : {kept, cancelled}) {
    BOOST_TEST((Cancel(*job, 0, "key-two") == SubmitOutcome::kNoSuchJob));
  }
  BOOST_TEST((Cancel(*cancelled, 1, "key-one") == SubmitOutcome::kNoSuchJob));
  for (const SimJob* job : {kept, cancelled}) {
    const auto result = cell->SubmitOnce(*job, 2, "key-one");
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->end == SubmitOutcome::kAccepted));
  }
  cell->Time().RunFor(seconds(3));
  BOOST_TEST((cell->Ask(kept->job.id) == JobState::kCompleted));
  BOOST_TEST((cell->Ask(cancelled->job.id) == JobState::kCancelled));
  BOOST_TEST(cell->Judge().Runs() == 2);
}

// Guards against a job that is placed while it is being stored and runs though
// it was cancelled before.
BOOST_AUTO_TEST_CASE(proposed_job_that_was_cancelled_before_never_runs) {
  const SimJob* job = MakeJob("proposed");
  BOOST_TEST((Cancel(*job, 1) == SubmitOutcome::kNoSuchJob));
  cell->Time().RunFor(seconds(1));
  const std::size_t owner = Owner();
  cell->ProcessAt(owner)->Post([this, owner, &job] {
    cell->NodeAt(owner)->OnJob({job->job.id, EncodeJob(job->job), 0});
  });
  cell->Time().RunFor(milliseconds(200));
  const auto result = cell->SubmitOnce(*job, (owner + 1) % 3, "");
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->end == SubmitOutcome::kAccepted));
  cell->Time().RunFor(seconds(3));
  BOOST_TEST((cell->Ask(job->job.id) == JobState::kCancelled));
  BOOST_TEST(cell->Judge().Runs() == 0);
}

// Guards against acknowledging a cancellation that is not stored.
BOOST_AUTO_TEST_CASE(cancellation_that_is_not_stored_is_not_acknowledged) {
  const SimJob* job = MakeJob("unanswered");
  cell->Store().late_writes = 1;
  const SubmitOutcome outcome = Cancel(*job, 0);
  cell->Store().late_writes = 0;
  BOOST_TEST((outcome == SubmitOutcome::kUnknown));
}

// Guards against cancellations of unknown jobs that stay in the store for good,
// and against an id that can't be used again after the retention time.
BOOST_AUTO_TEST_CASE(cancellations_of_unknown_jobs_are_removed) {
  const std::int64_t writes = cell->Store().calls.writes;
  for (int i = 0; i < kWave; ++i) {
    cell->ProcessAt(0)->Post([this, i] {
      cell->NodeAt(0)->Cancel(Admission{.queue = cell->queue}, WaveJob(i),
                              seconds(3), [](const SubmitResult&) {});
    });
  }
  cell->Time().RunFor(seconds(1));
  BOOST_TEST(CountTombstones() == kWave);
  // Concurrent ones share writes.
  BOOST_TEST(cell->Store().calls.writes - writes <= kWave / 5);
  cell->KillProcess(Owner());
  cell->Time().RunFor(kRetentionBound);
  BOOST_TEST(CountTombstones() == 0);
  const SimJob* job = MakeJob(WaveJob(0).Text());
  const std::size_t owner = Owner();
  const auto result = cell->SubmitOnce(*job, owner, "");
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->end == SubmitOutcome::kAccepted));
  cell->Time().RunFor(seconds(3));
  BOOST_TEST((cell->Ask(job->job.id, owner) == JobState::kCompleted));
}

// Guards against the announcement of a tombstone that was removed meanwhile:
// the conflict with the store keeps all others from being removed.
BOOST_AUTO_TEST_CASE(late_announcement_keeps_no_tombstone_in_the_store) {
  const std::size_t owner = Owner();
  const StoreItem removed{.key = keys::OfTombstone(JobId("removed"), ""),
                          .value = EncodeTombstone({}),
                          .revision = 1};
  cell->ProcessAt(owner)->Post(
      [this, owner, &removed] { cell->NodeAt(owner)->OnTombstone(removed); });
  cell->Time().RunFor(milliseconds(100));
  const SimJob* job = MakeJob(WaveJob(0).Text());
  BOOST_TEST((Cancel(*job, owner) == SubmitOutcome::kNoSuchJob));
  BOOST_TEST(CountTombstones() == 1);
  cell->Time().RunFor(kRetentionBound);
  BOOST_TEST(CountTombstones() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
