#include <boost/test/unit_test.hpp>
#include <string>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"
#include "keys.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using std::chrono::seconds;

constexpr std::size_t kProcesses = 3;

struct PromisesFixture {
  /// @return an accepted job that goes on for long
  SimJob* SubmitLong() {
    SimJob* job =
        this->cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(600))}));
    this->cell->Time().RunUntil([&] { return job->accepted; }, seconds(3));
    BOOST_REQUIRE(job->accepted);
    return job;
  }

  /// Removes all that the store has of the job and restarts all processes.
  void Lose(const SimJob& job) {
    for (std::size_t i = 0; i < kProcesses; ++i) this->cell->KillProcess(i);
    this->cell->Store().Remove(keys::OfJob(job.job.id));
    this->cell->Store().Remove(keys::OfProgress(job.job.id));
    for (std::size_t i = 0; i < kProcesses; ++i) this->cell->StartProcess(i);
    this->cell->Time().RunFor(seconds(10));
    BOOST_REQUIRE(this->cell->OwnerIndex().has_value());
  }

  void AskAll(const SimJob& job) {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      (void)this->cell->Ask(job.job.id, i);
    }
  }

  /// @return how often a caller was told that an accepted job does not exist
  std::size_t Unknown() {
    std::size_t count = 0;
    for (const std::string& line : this->cell->Judge().Broken()) {
      if (line.starts_with("told that an accepted job does not exist")) ++count;
    }
    return count;
  }

  std::unique_ptr<SimCell> cell =
      SimCell::Builder().Processes(kProcesses).Workers(4).Build();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(promises, PromisesFixture)

// Guards against a judge that takes "no such job" for a missing answer.
BOOST_AUTO_TEST_CASE(lost_job_breaks_a_promise_at_each_process) {
  const SimJob* job = SubmitLong();
  cell->Time().RunFor(seconds(4));
  AskAll(*job);
  CheckInvariants(cell.get());
  Lose(*job);
  AskAll(*job);
  BOOST_TEST(Unknown() == kProcesses);
}

BOOST_AUTO_TEST_CASE(cancelled_job_may_be_forgotten) {
  SimJob* job = SubmitLong();
  cell->Time().RunFor(seconds(4));
  Lose(*job);
  job->cancelled = true;
  AskAll(*job);
  BOOST_TEST(Unknown() == 0U);
}

BOOST_AUTO_TEST_CASE(lost_job_breaks_no_promise_while_processes_are_cut_off) {
  const SimJob* job = SubmitLong();
  cell->Time().RunFor(seconds(4));
  Lose(*job);
  cell->in_touch = [] { return false; };
  AskAll(*job);
  BOOST_TEST(Unknown() == 0U);
}

// A process may learn of a new job a little later than its caller.
BOOST_AUTO_TEST_CASE(job_may_be_unknown_at_first) {
  const SimJob* job = SubmitLong();
  cell->Judge().OnShownUnknown(job->job.id, *job->accepted_at + seconds(3),
                               /*in_touch=*/true);
  BOOST_TEST(Unknown() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
