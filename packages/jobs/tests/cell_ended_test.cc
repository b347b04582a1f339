#include <boost/test/unit_test.hpp>
#include <string>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"
#include "keys.h"
#include "record_codec.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using job_sim::SimWorker;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  SimJob* Submit(Duration length) {
    return this->cell->Submit(MakeSpec({MakeStep(1, 100, length)}));
  }

  /// Runs many short jobs to completion.
  void RunMany(int jobs) {
    for (int i = 0; i < jobs; ++i) this->Submit(milliseconds(10));
    this->cell->Time().RunFor(seconds(30));
  }

  SimJob* RunOne() {
    SimJob* job = this->Submit(milliseconds(100));
    BOOST_TEST(this->cell->AwaitFinal(job->job.id, seconds(10)));
    return job;
  }

  /// Kills the owner and waits until another process has taken over.
  std::size_t ChangeOwner() {
    const std::size_t former = this->cell->OwnerIndex().value();
    this->cell->KillProcess(former);
    this->cell->Time().RunUntil(
        [this] { return this->cell->OwnerIndex().has_value(); }, seconds(10));
    return this->cell->OwnerIndex().value();
  }

  /// @return the time that the latest owner took to read its state before it
  ///   started to schedule
  Duration LastReading() {
    constexpr std::string_view kField = "took_ms=";
    for (auto line = this->cell->Log().Lines().rbegin();
         line != this->cell->Log().Lines().rend(); ++line) {
      if (line->find("owner loaded") == std::string::npos) continue;
      const std::size_t at = line->find(kField) + kField.size();
      return milliseconds(std::stol(line->substr(at)));
    }
    return seconds(-1);
  }

  std::unique_ptr<SimCell> cell =
      SimCell::Builder().Processes(3).Workers(4).Build();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_ended, Fixture)

// All hosts lose power after 1,200 jobs have ended, and the store takes 0.25 s
// to respond. Failure: the new owner reads all jobs, including final ones, page
// by page and then their progress, and places nothing for 1.5 s.
BOOST_AUTO_TEST_CASE(
    takeover_reads_only_active_jobs_concurrently_with_progress) {
  RunMany(1200);
  for (std::size_t i = 0; i < 3; ++i) cell->KillProcess(i);
  cell->Time().RunFor(seconds(1));
  cell->Store().latency = milliseconds(250);
  for (std::size_t i = 0; i < 3; ++i) cell->StartProcess(i);
  cell->Time().RunUntil([&] { return cell->OwnerIndex().has_value(); },
                        seconds(20));
  BOOST_TEST((LastReading() < milliseconds(300)));
  cell->Store().latency = milliseconds(4);
  CheckInvariants(cell.get());
}

// A caller resubmits a job that ended under a previous owner. It is accepted as
// the same job, reported as completed and not run again.
BOOST_AUTO_TEST_CASE(resubmitted_final_job_is_not_rerun) {
  SimJob* job = RunOne();
  const std::size_t owner = ChangeOwner();
  std::optional<SubmitResult> result;
  cell->ProcessAt(owner)->Post([&] {
    cell->NodeAt(owner)->Submit(
        Admission{.queue = cell->queue}, job->job.id, job->job.spec, seconds(3),
        [&result](const SubmitResult& r) { result = r; });
  });
  cell->Time().RunFor(seconds(5));
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->end == SubmitOutcome::kAccepted));
  BOOST_TEST((cell->Ask(job->job.id, owner) == JobState::kCompleted));
  BOOST_TEST(cell->Judge().Runs() == 1);
}

// A process is paused between a write and its response. When it resumes and
// announces the job, the job is done and the owner has changed.
BOOST_AUTO_TEST_CASE(late_announcement_of_a_final_job_starts_no_task) {
  SimJob* job = RunOne();
  const std::size_t owner = ChangeOwner();
  cell->ProcessAt(owner)->Post([&] {
    cell->NodeAt(owner)->OnJob({job->job.id, EncodeJob(job->job), 1});
  });
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(cell->Judge().Runs() == 1);
}

// Callers query a job that ended under a previous owner, at any process.
BOOST_AUTO_TEST_CASE(final_state_survives_an_owner_change) {
  SimJob* job = RunOne();
  ChangeOwner();
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST((cell->Ask(job->job.id, i) == JobState::kCompleted));
  }
}

// An earlier version stored the final state of a job as its progress and left
// the key of the job in place.
BOOST_AUTO_TEST_CASE(final_state_stored_as_progress_is_read) {
  Job job;
  job.id = JobId("former");
  job.queue = cell->queue;
  job.spec = MakeSpec({MakeStep(1, 100, seconds(1))});
  for (std::size_t i = 0; i < 3; ++i) cell->KillProcess(i);
  cell->Store().Put(keys::OfJob(job.id), EncodeJob(job));
  cell->Store().Put(keys::OfProgress(job.id),
                    EncodeEnd({JobState::kCompleted, {}}));
  for (std::size_t i = 0; i < 3; ++i) cell->StartProcess(i);
  cell->Time().RunFor(seconds(5));
  BOOST_TEST((cell->Ask(job.id) == JobState::kCompleted));
  BOOST_TEST(cell->Store().Get(keys::OfEnded(job.id)) != nullptr);
  BOOST_TEST(cell->Store().Get(keys::OfProgress(job.id)) == nullptr);
  BOOST_TEST(cell->Judge().Runs() == 0);
}

// The keys of a final job are kept for the retention time and removed
// afterwards.
BOOST_AUTO_TEST_CASE(expired_job_leaves_no_keys) {
  SimJob* job = Submit(seconds(60));
  cell->Time().RunFor(seconds(1));
  cell->Cancel(job->job.id);
  cell->Time().RunFor(seconds(1));
  const JobId& id = job->job.id;
  BOOST_TEST(cell->Store().Get(keys::OfJob(id)) == nullptr);
  BOOST_TEST(cell->Store().Get(keys::OfProgress(id)) == nullptr);
  BOOST_TEST(cell->Store().Get(keys::OfEnded(id)) != nullptr);
  ChangeOwner();
  cell->Time().RunFor(seconds(125));
  BOOST_TEST((cell->Ask(id) == JobState::kCancelled));
  cell->Time().RunFor(seconds(30));
  BOOST_TEST(cell->Store().Get(keys::OfEnded(id)) == nullptr);
  BOOST_TEST(cell->Store().Get(keys::OfCancel(id)) == nullptr);
}

// A job that fills the worker is cancelled while the worker is unreachable, and
// its owner crashes. The next owner finds running tasks that it does not know.
// Failure: it considers their resources free and overcommits the worker.
BOOST_AUTO_TEST_CASE(resources_of_unknown_runs_stay_reserved) {
  cell = SimCell::Builder().Processes(3).Workers(1).Build();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(4, 4000, seconds(30))}));
  cell->Time().RunFor(seconds(1));
  SimWorker* worker = cell->Workers().Alive().front();
  cell->Workers().cut.insert(worker->Info().incarnation.id.Text());
  cell->Cancel(job->job.id);
  cell->Time().RunFor(milliseconds(500));
  ChangeOwner();
  cell->Workers().late_orders = 1.0;
  cell->Workers().cut.clear();
  cell->Time().RunUntil([&] { return cell->Log().Count("run-unwanted") > 0; },
                        seconds(5));
  BOOST_TEST(cell->Log().Count("run-unwanted") == 4U);
  cell->Workers().late_orders = 0;
  SimJob* next = cell->Submit(MakeSpec({MakeStep(1, 4000, seconds(1))}));
  BOOST_TEST(cell->AwaitFinal(next->job.id, seconds(20)));
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
