#include <boost/test/unit_test.hpp>
#include <optional>

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
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  std::size_t Owner() { return this->cell->OwnerIndex().value(); }

  Job MakeJob(const char* id, std::int64_t cpu_milli) {
    Job job;
    job.id = JobId(id);
    job.queue = this->cell->queue;
    job.spec = MakeSpec({MakeStep(1, cpu_milli, seconds(1))});
    return job;
  }

  /// Announces to the owner a job that is being stored.
  void Propose(const Job& job) {
    const std::size_t owner = this->Owner();
    this->cell->ProcessAt(owner)->Post([this, owner, job] {
      this->cell->NodeAt(owner)->OnJob({job.id, EncodeJob(job), 0});
    });
  }

  std::unique_ptr<SimCell> cell =
      SimCell::Builder().Processes(3).Workers(1).Build();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_proposal, Fixture)

// The store takes 0.25 s per answer. Storing a job, its start and its end in
// sequence takes 1.76 s for a task of one second. The job and its start are
// stored concurrently.
BOOST_AUTO_TEST_CASE(a_job_is_placed_while_it_is_being_stored) {
  cell->Store().latency = milliseconds(250);
  // The processes measure how slow the store is.
  for (std::size_t i = 0; i < 3; ++i) {
    cell->Submit(MakeSpec({MakeStep(1, 1000, milliseconds(10))}), i);
  }
  cell->Time().RunFor(seconds(3));
  const Instant begun = cell->Time().Now();
  const std::size_t other = (Owner() + 1) % 3;
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(1))}), other);
  const std::size_t owner = Owner();
  std::optional<JobState> shown;
  while (shown != JobState::kCompleted &&
         cell->Time().Now() - begun < seconds(5)) {
    shown = cell->Ask(job->job.id, owner);
    cell->Time().RunFor(milliseconds(5));
  }
  BOOST_TEST((cell->Time().Now() - begun < milliseconds(1600)));
  CheckInvariants(cell.get());
}

// A job is proposed to the owner, and the write that should store it fails. Its
// caller is told that it was not accepted, so it must never run, be reported or
// counted, or keep its capacity.
BOOST_AUTO_TEST_CASE(a_job_that_is_not_stored_never_runs) {
  const Job job = MakeJob("proposed", 16'000);
  Propose(job);
  cell->Time().RunFor(milliseconds(500));
  BOOST_TEST(!cell->Ask(job.id, Owner()).has_value());
  cell->Time().RunFor(seconds(2));
  SimJob* next = cell->Submit(MakeSpec({MakeStep(1, 16'000, seconds(1))}));
  BOOST_TEST(cell->AwaitFinal(next->job.id, seconds(3)));
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(cell->Judge().Runs() == 1);
  // Nothing of it stays in the store.
  cell->Time().RunFor(seconds(160));
  BOOST_TEST(cell->Store().Get(keys::OfProgress(job.id)) == nullptr);
}

// The write that stores a proposed job is applied seconds late, after its
// capacity was released.
BOOST_AUTO_TEST_CASE(a_job_that_is_stored_late_runs_once) {
  const Job late = MakeJob("late", 16'000);
  cell->Judge().Add(late);
  Propose(late);
  cell->Time().RunFor(seconds(3));
  cell->Store().Put(keys::OfJob(late.id), EncodeJob(late));
  cell->Time().RunFor(seconds(5));
  BOOST_TEST((cell->Ask(late.id, Owner()) == JobState::kCompleted));
}

// The owner dies after the start of a proposed job was written and before the
// job itself is. The next owner finds progress of an unknown job and adopts it
// when the job appears.
BOOST_AUTO_TEST_CASE(progress_stored_before_its_job_is_adopted) {
  const Job job = MakeJob("early", 1000);
  cell->Judge().Add(job);
  Propose(job);
  cell->Time().RunFor(milliseconds(300));
  BOOST_TEST(cell->Store().Get(keys::OfProgress(job.id)) != nullptr);
  cell->KillProcess(Owner());
  cell->Time().RunUntil([&] { return cell->OwnerIndex().has_value(); },
                        seconds(5));
  cell->Store().Put(keys::OfJob(job.id), EncodeJob(job));
  cell->Time().RunFor(seconds(4));
  BOOST_TEST((cell->Ask(job.id, Owner()) == JobState::kCompleted));
  BOOST_TEST(cell->Store().Get(keys::OfProgress(job.id)) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
