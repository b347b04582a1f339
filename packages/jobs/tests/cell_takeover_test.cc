#include <boost/test/unit_test.hpp>
#include <optional>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  /// Submits jobs whose tasks last `length`.
  void Load(int jobs, Duration length) {
    for (int i = 0; i < jobs; ++i) {
      this->cell->Submit(MakeSpec({MakeStep(4, 2000, length)}),
                         static_cast<std::size_t>(i));
    }
  }

  std::size_t Owner() {
    const auto owner = this->cell->OwnerIndex();
    BOOST_REQUIRE(owner.has_value());
    return *owner;
  }

  /// @return the time until another process than `former` is the owner
  Duration AwaitNextOwner(std::size_t former) {
    const Instant begun = this->cell->Time().Now();
    const bool found = this->cell->Time().RunUntil(
        [&] {
          const auto owner = this->cell->OwnerIndex();
          return owner && *owner != former;
        },
        seconds(20));
    BOOST_TEST(found);
    return this->cell->Time().Now() - begun;
  }

  std::unique_ptr<SimCell> cell =
      SimCell::Builder().Processes(3).Workers(6).Build();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_takeover, Fixture)

// The owner dies while tasks run. Another process takes over within its store
// lease and keeps the tasks running; none is started again.
BOOST_AUTO_TEST_CASE(running_tasks_survive_the_death_of_their_owner) {
  Load(6, seconds(8));
  cell->Time().RunFor(seconds(1));
  BOOST_TEST(cell->Judge().Runs() == 24);
  const std::size_t owner = Owner();
  cell->KillProcess(owner);
  BOOST_TEST((AwaitNextOwner(owner) < seconds(3)));
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() == 24);
  CheckInvariants(cell.get());
}

// The owner's process dies and restarts immediately. Its former incarnation has
// certainly ended, so no process waits for its store lease to expire.
BOOST_AUTO_TEST_CASE(a_restarted_owner_is_replaced_at_once) {
  Load(6, seconds(5));
  cell->Time().RunFor(seconds(1));
  const std::size_t owner = Owner();
  cell->KillProcess(owner);
  cell->Time().RunFor(milliseconds(100));
  cell->StartProcess(owner);
  const Instant begun = cell->Time().Now();
  cell->Time().RunUntil([&] { return cell->OwnerIndex().has_value(); },
                        seconds(5));
  BOOST_TEST((cell->Time().Now() - begun < milliseconds(400)));
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() == 24);
  CheckInvariants(cell.get());
}

// An owner is stopped. The next one is active within a second, and no lease
// expires meanwhile.
BOOST_AUTO_TEST_CASE(a_stop_hands_the_group_over_within_a_second) {
  Load(6, seconds(5));
  cell->Time().RunFor(seconds(1));
  const std::size_t owner = Owner();
  cell->StopProcess(owner);
  BOOST_TEST((AwaitNextOwner(owner) < seconds(1)));
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() == 24);
  CheckInvariants(cell.get());
}

// An owner is stopped while the store takes 0.25 s per answer. Ending its
// lease, an election, and reading jobs, progress and workers in sequence
// stopped placement for 1.0 s. The owner hands the group over instead and stays
// active until then.
BOOST_AUTO_TEST_CASE(handover_over_a_slow_store_takes_one_read) {
  Load(6, seconds(8));
  cell->Time().RunFor(seconds(1));
  cell->Store().latency = milliseconds(250);
  cell->Time().RunFor(seconds(1));
  const std::size_t owner = Owner();
  cell->StopProcess(owner);
  cell->Time().RunUntil([&] { return !cell->OwnerIndex(); }, seconds(3));
  const Instant left = cell->Time().Now();
  AwaitNextOwner(owner);
  BOOST_TEST((cell->Time().Now() - left < milliseconds(300)));
  BOOST_TEST(cell->Log().Count("handing-over") == 1U);
  cell->Store().latency = milliseconds(4);
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() == 24);
  CheckInvariants(cell.get());
}

// Owner and successor are stopped at the same time. The remaining process
// becomes the owner.
BOOST_AUTO_TEST_CASE(a_successor_that_stops_too_passes_the_group_on) {
  Load(6, seconds(8));
  cell->Time().RunFor(seconds(1));
  const std::size_t owner = Owner();
  cell->StopProcess(owner);
  cell->StopProcess((owner + 1) % 3);
  cell->Time().RunFor(seconds(3));
  BOOST_TEST(Owner() == (owner + 2) % 3);
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() == 24);
  CheckInvariants(cell.get());
}

// The owner is suspended for longer than its lease, and another process takes
// over. After it resumes, workers and store refuse its pending calls.
BOOST_AUTO_TEST_CASE(an_owner_resumed_after_its_lease_is_fenced) {
  Load(8, seconds(3));
  cell->Time().RunFor(milliseconds(100));
  const std::size_t owner = Owner();
  cell->ProcessAt(owner)->Pause();
  AwaitNextOwner(owner);
  cell->Time().RunFor(seconds(1));
  cell->ProcessAt(owner)->Resume();
  Load(4, seconds(1));
  cell->Settle(seconds(40));
  CheckInvariants(cell.get());
}

// The store is silent for all processes for longer than all its leases. Tasks
// continue, and each has run exactly once in the end.
BOOST_AUTO_TEST_CASE(tasks_survive_a_store_outage) {
  Load(6, seconds(12));
  cell->Time().RunFor(seconds(1));
  cell->Store().silent = true;
  cell->Time().RunFor(seconds(9));
  cell->Store().silent = false;
  cell->Settle(seconds(30));
  BOOST_TEST(cell->Judge().Runs() == 24);
  CheckInvariants(cell.get());
}

// The store revokes all leases at once during normal operation. The group gets
// a new owner, and running tasks are not started again.
BOOST_AUTO_TEST_CASE(revoked_leases_restart_no_tasks) {
  Load(6, seconds(6));
  cell->Time().RunFor(seconds(1));
  cell->Store().RevokeLeases();
  cell->Time().RunFor(seconds(1));
  BOOST_TEST(cell->OwnerIndex().has_value());
  cell->Settle(seconds(20));
  BOOST_TEST(cell->Judge().Runs() == 24);
  CheckInvariants(cell.get());
}

// Only the owner can't reach the store. Another process takes over; the workers
// refuse the former owner, which then steps down.
BOOST_AUTO_TEST_CASE(an_owner_cut_off_from_the_store_is_replaced) {
  Load(6, seconds(6));
  cell->Time().RunFor(seconds(1));
  const std::size_t owner = Owner();
  cell->ProcessAt(owner)->store_cut = true;
  BOOST_TEST((AwaitNextOwner(owner) < seconds(4)));
  Load(3, seconds(1));
  cell->Time().RunFor(seconds(4));
  cell->ProcessAt(owner)->store_cut = false;
  cell->Settle(seconds(30));
  CheckInvariants(cell.get());
}

// All processes die immediately after a job was accepted. The job is still
// completed.
BOOST_AUTO_TEST_CASE(an_accepted_job_outlives_all_processes) {
  SimJob* job = cell->Submit(MakeSpec({MakeStep(2, 1000, seconds(1))}));
  cell->Time().RunUntil([&] { return job->accepted; }, seconds(3));
  for (std::size_t i = 0; i < 3; ++i) cell->KillProcess(i);
  cell->Time().RunFor(seconds(3));
  for (std::size_t i = 0; i < 3; ++i) cell->StartProcess(i);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(20)));
  CheckInvariants(cell.get());
}

// Answers to writes are lost, and some writes are applied seconds later, over
// newer ones unless prevented.
BOOST_AUTO_TEST_CASE(lost_and_late_writes_revert_nothing) {
  cell->Store().lost_answers = 0.3;
  cell->Store().late_writes = 0.3;
  for (int i = 0; i < 10; ++i) {
    Load(1, milliseconds(800));
    cell->Time().RunFor(milliseconds(500));
  }
  cell->Store().lost_answers = 0;
  cell->Store().late_writes = 0;
  cell->Settle(seconds(40));
  CheckInvariants(cell.get());
}

// The store compacts its history while workers join and leave: a watch that
// continued from an old revision would miss them.
BOOST_AUTO_TEST_CASE(compaction_hides_no_change) {
  cell->Store().Compact();
  job_sim::SimWorker* added = cell->AddWorker();
  cell->Store().Compact();
  cell->Time().RunFor(seconds(2));
  Load(16, seconds(4));
  cell->Time().RunFor(seconds(2));
  BOOST_TEST(added->RunningCount() > 0U);
  cell->Settle(seconds(30));
  CheckInvariants(cell.get());
}

// An owner is cut off from the store and does not learn about jobs accepted
// elsewhere. It must not report that none is pending.
BOOST_AUTO_TEST_CASE(an_owner_cut_off_from_the_store_counts_no_jobs) {
  const std::size_t owner = Owner();
  cell->ProcessAt(owner)->store_cut = true;
  cell->ProcessAt(owner)->peers_cut = true;
  cell->Time().RunFor(seconds(3));
  std::optional<Result<std::int64_t>> count;
  cell->ProcessAt(owner)->Post([&] {
    cell->NodeAt(owner)->Pending(
        cell->queue.name, seconds(1),
        [&count](const Result<std::int64_t>& n) { count = n; });
  });
  cell->Time().RunFor(seconds(1));
  BOOST_REQUIRE(count.has_value());
  BOOST_TEST(!count->has_value());
}

// Guards against counting jobs as started whose starts a former owner stored
// and could not deliver.
BOOST_AUTO_TEST_CASE(jobs_whose_starts_never_arrived_are_counted_as_waiting) {
  const std::size_t owner = Owner();
  cell->ProcessAt(owner)->workers_cut = true;
  constexpr std::int64_t kJobs = 4;
  for (std::int64_t i = 0; i < kJobs; ++i) {
    cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(1))}), owner);
  }
  cell->Time().RunFor(milliseconds(300));
  for (job_sim::SimWorker* worker : cell->Workers().Alive()) {
    cell->Workers().cut.insert(worker->Info().incarnation.id.Text());
  }
  cell->KillProcess(owner);
  cell->Time().RunFor(seconds(4));
  const auto next = cell->OwnerIndex();
  BOOST_REQUIRE(next.has_value());
  std::optional<Result<std::int64_t>> count;
  cell->ProcessAt(*next)->Post([&] {
    cell->NodeAt(*next)->Pending(
        cell->queue.name, seconds(1),
        [&count](const Result<std::int64_t>& n) { count = n; });
  });
  cell->Time().RunFor(milliseconds(100));
  BOOST_REQUIRE(count.has_value());
  BOOST_REQUIRE(count->has_value());
  BOOST_TEST(count->value() == kJobs);
  cell->Workers().cut.clear();
  cell->Settle(seconds(60));
  CheckInvariants(cell.get());
}

// The store refuses one process and serves the others. Jobs submitted to that
// process are stored by another one without delay.
BOOST_AUTO_TEST_CASE(a_process_refused_by_the_store_still_accepts_jobs) {
  const std::size_t away = (Owner() + 1) % 3;
  cell->ProcessAt(away)->store_cut = true;
  const Instant begun = cell->Time().Now();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(1))}), away);
  cell->Time().RunUntil([&] { return job->accepted; }, seconds(3));
  BOOST_TEST((cell->Time().Now() - begun < milliseconds(100)));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(5)));
}

// The store stops answering one process during a write. Another process settles
// the write long before the caller times out.
BOOST_AUTO_TEST_CASE(a_write_without_an_answer_is_settled_by_another_process) {
  const std::size_t cut = (Owner() + 1) % 3;
  cell->Store().lost_answers = 1.0;
  const Instant begun = cell->Time().Now();
  SimJob* job = cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(1))}), cut);
  cell->Time().RunFor(milliseconds(20));
  cell->Store().lost_answers = 0;
  cell->Time().RunUntil([&] { return job->accepted; }, seconds(3));
  BOOST_TEST((cell->Time().Now() - begun < milliseconds(700)));
}

// The store is unavailable to all processes. Callers are refused immediately,
// and a refused job never runs.
BOOST_AUTO_TEST_CASE(while_the_store_is_away_callers_are_refused_at_once) {
  cell->Store().refusing = true;
  cell->Time().RunFor(seconds(1));
  std::optional<SubmitResult> result;
  const Instant begun = cell->Time().Now();
  cell->ProcessAt(0)->Post([&] {
    cell->NodeAt(0)->Submit(Admission{.queue = cell->queue}, JobId("refused"),
                            MakeSpec({MakeStep(1, 1000, seconds(1))}),
                            seconds(3),
                            [&result](const SubmitResult& r) { result = r; });
  });
  cell->Time().RunUntil([&] { return result.has_value(); }, seconds(4));
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->end == SubmitOutcome::kNotAccepted));
  BOOST_TEST((cell->Time().Now() - begun < milliseconds(300)));
  cell->Store().refusing = false;
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(cell->Judge().Runs() == 0);
}

// The store becomes silent for all processes while callers submit fifty jobs a
// second. Most callers are refused because nothing was stored, and can retry;
// only those whose writes were in flight get an unknown outcome.
BOOST_AUTO_TEST_CASE(few_callers_of_a_silent_store_get_an_unknown_outcome) {
  cell->Time().RunFor(seconds(1));
  cell->Store().silent = true;
  int refused = 0;
  int unknown = 0;
  constexpr int kCallers = 100;
  for (int i = 0; i < kCallers; ++i) {
    const std::size_t at = static_cast<std::size_t>(i) % 3;
    cell->ProcessAt(at)->Post([&, at, i] {
      cell->NodeAt(at)->Submit(
          Admission{.queue = cell->queue}, JobId("caller" + std::to_string(i)),
          MakeSpec({MakeStep(1, 1000, seconds(1))}), seconds(3),
          [&](const SubmitResult& result) {
            refused += result.end == SubmitOutcome::kNotAccepted ? 1 : 0;
            unknown += result.end == SubmitOutcome::kUnknown ? 1 : 0;
          });
    });
    cell->Time().RunFor(milliseconds(20));
  }
  cell->Time().RunFor(seconds(4));
  BOOST_TEST(refused + unknown == kCallers);
  BOOST_TEST(unknown <= 8);
  cell->Store().silent = false;
}

// A data centre is cut off from the store and from the other processes. Callers
// there are soon refused because nothing was stored, and can retry elsewhere.
// Asking a process on the other side of the cut left each of them with an
// unknown outcome at its deadline.
BOOST_AUTO_TEST_CASE(callers_of_a_partitioned_process_are_refused) {
  const std::size_t cut = (Owner() + 1) % 3;
  cell->ProcessAt(cut)->store_cut = true;
  cell->ProcessAt(cut)->peers_cut = true;
  cell->Time().RunFor(seconds(1));
  int refused = 0;
  const Instant begun = cell->Time().Now();
  Instant last;
  constexpr int kCallers = 20;
  for (int i = 0; i < kCallers; ++i) {
    cell->ProcessAt(cut)->Post([&, i] {
      cell->NodeAt(cut)->Submit(
          Admission{.queue = cell->queue}, JobId("caller" + std::to_string(i)),
          MakeSpec({MakeStep(1, 1000, seconds(1))}), seconds(3),
          [&](const SubmitResult& result) {
            refused += result.end == SubmitOutcome::kNotAccepted ? 1 : 0;
            last = cell->Time().Now();
          });
    });
  }
  cell->Time().RunFor(seconds(4));
  BOOST_TEST(refused == kCallers);
  BOOST_TEST((last - begun < seconds(1)));
}

// A process starts while the store refuses all calls, and requests a lease ten
// times a second. Logging each failure would flood the log; logging none would
// hide why the process is not ready.
BOOST_AUTO_TEST_CASE(a_lease_that_is_not_granted_is_logged_once) {
  const auto cell = SimCell::Builder().Processes(3).Build();
  cell->KillProcess(2);
  cell->Store().refusing = true;
  cell->StartProcess(2);
  cell->Time().RunFor(seconds(2));
  BOOST_TEST(cell->Log().Count("lease-not-granted") == 1);
  BOOST_TEST(!cell->NodeAt(2)->Ready());
  cell->Store().refusing = false;
  cell->Time().RunFor(seconds(2));
  BOOST_TEST(cell->NodeAt(2)->Ready());
}

// A process of another version registers with a record that this version can't
// decode. Every process logs it and continues with the records that it can
// decode.
BOOST_AUTO_TEST_CASE(an_unreadable_record_is_logged) {
  const auto cell = SimCell::Builder().Processes(3).Build();
  cell->Store().Put("mustardproxy/cell/node/later", "\x07");
  cell->Time().RunFor(seconds(1));
  BOOST_TEST(cell->Log().Count("record-broken") == 3);
  SimJob* job = cell->Submit(MakeSpec({MakeStep(2, 1000, seconds(1))}));
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
