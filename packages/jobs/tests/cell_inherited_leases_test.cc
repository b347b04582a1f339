#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimWorker;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kProcesses = 4;
constexpr std::size_t kWorkers = 6;
/// The longest time for which the tasks of a lost worker wait while the owner
/// stays: the lease of a worker by the slowest clock, and the margin.
constexpr Duration kLostWorkerWait = milliseconds(4950);
/// How much longer they may wait through any series of changes of the owner.
constexpr Duration kMostAdded = milliseconds(1500);
/// The least that is left of a lease while the owner renews it.
constexpr Duration kLeastLease = milliseconds(3800);
/// How long a cut-off owner may renew leases.
constexpr Duration kCutOffOwnerTime = milliseconds(11'000);
/// Time in which the owner is certain to have stored that a worker is silent.
constexpr Duration kNoticed = milliseconds(1500);
/// How long a killed process is down.
constexpr Duration kDown = milliseconds(500);

/// An idle cell with one task that runs on one worker.
struct Fixture {
  void Build(std::uint64_t seed = 1, std::size_t processes = kProcesses) {
    this->cell = SimCell::Builder()
                     .Seed(seed)
                     .Processes(processes)
                     .Workers(kWorkers)
                     .HiddenBirths()
                     .Build();
    this->cell->Workers().resets_connections = true;
    this->processes = processes;
    this->RunTask();
  }

  void RunTask() {
    const Duration length = seconds(40);
    (void)this->cell->Submit(MakeSpec({MakeStep(1, 2000, length)}));
    BOOST_REQUIRE(this->cell->Time().RunUntil(
        [&] { return this->Host() != nullptr; }, seconds(5)));
    this->cell->Time().RunFor(seconds(2));
    this->lost = this->Host();
  }

  /// @return the worker other than `lost` that runs the task, or null
  SimWorker* Host() {
    for (SimWorker* worker : this->cell->Workers().Alive()) {
      if (worker != this->lost && worker->RunningCount() > 0) return worker;
    }
    return nullptr;
  }

  [[nodiscard]] std::string LostName() const {
    return this->lost->Info().incarnation.id.Text();
  }

  void LoseWorker() {
    this->cell->CrashWorker(this->lost, std::nullopt);
    this->lost_at = this->cell->Time().Now();
  }

  void CutWorker() {
    this->cell->Workers().cut.insert(this->LostName());
    this->lost_at = this->cell->Time().Now();
  }

  /// From now on only the owner reaches the task's worker, and it reaches
  /// neither the store nor other workers, nor other processes if so asked.
  std::size_t PartitionOwnerWithWorker(bool peers_cut) {
    const std::size_t former = this->Owner();
    for (const SimWorker* worker : this->cell->Workers().Alive()) {
      const std::string name = worker->Info().incarnation.id.Text();
      for (std::size_t i = 0; i < this->processes; ++i) {
        if ((i == former) == (worker == this->lost)) continue;
        this->cell->Workers().cut_from.insert(
            {"process-" + std::to_string(i), name});
      }
    }
    this->cell->ProcessAt(former)->store_cut = true;
    this->cell->ProcessAt(former)->peers_cut = peers_cut;
    this->lost_at = this->cell->Time().Now();
    return former;
  }

  /// No process learns of changes of the cell any more, not even by a watch
  /// that has begun.
  void HideChangesOfTheCell() {
    this->cell->Store().silent_prefix = "mustardproxy/cell/";
    this->cell->Time().RunFor(milliseconds(1300));
  }

  std::size_t Owner() {
    const auto owner = this->cell->OwnerIndex();
    BOOST_REQUIRE(owner.has_value());
    return *owner;
  }

  void KillOwner(std::optional<Duration> down) {
    const std::size_t owner = this->Owner();
    this->cell->KillProcess(owner);
    if (down) this->StartLater(owner, *down);
  }

  void StartLater(std::size_t process, Duration down) {
    this->cell->Time().After(
        down, [this, process] { this->cell->StartProcess(process); });
  }

  void AwaitOwner() {
    BOOST_REQUIRE(this->cell->Time().RunUntil(
        [&] { return this->cell->OwnerIndex().has_value(); }, seconds(5)));
    this->cell->Time().RunFor(milliseconds(200));
  }

  /// @return the time from the loss until the task runs again
  Duration AwaitRestart() {
    const bool runs = this->cell->Time().RunUntil(
        [&] { return this->Host() != nullptr; }, seconds(60));
    BOOST_TEST(runs);
    return this->cell->Time().Now() - this->lost_at;
  }

  void CheckRestartsSoon() {
    const Duration waited = this->AwaitRestart();
    BOOST_TEST_MESSAGE("waited " << waited.count() << " us");
    BOOST_TEST((waited < kLostWorkerWait + kMostAdded));
    CheckInvariants(this->cell.get());
  }

  std::unique_ptr<SimCell> cell;
  std::size_t processes = 0;
  SimWorker* lost = nullptr;
  Instant lost_at;
};

/// Ways in which an owner goes after it has noticed that a worker is silent.
enum class End { kKilled, kRestarted, kPaused, kStoreCut, kStopped };

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_inherited_leases, Fixture)

// Failure: the tasks of a lost worker wait for 16 s after a change of the owner
// although the former owner had ended.
BOOST_AUTO_TEST_CASE(a_restarted_owner_adds_little_to_the_wait) {
  Build();
  LoseWorker();
  cell->Time().RunFor(seconds(1));
  KillOwner(kDown);
  CheckRestartsSoon();
}

// The same for an owner that is lost for good, and cannot tell that it ended.
BOOST_AUTO_TEST_CASE(an_owner_lost_after_the_worker_adds_little_to_the_wait) {
  for (const End end : {End::kKilled, End::kRestarted, End::kPaused,
                        End::kStoreCut, End::kStopped}) {
    lost = nullptr;
    Build(7);
    LoseWorker();
    cell->Time().RunFor(kNoticed);
    const std::size_t owner = Owner();
    switch (end) {
      case End::kKilled:
        KillOwner({});
        break;
      case End::kRestarted:
        KillOwner(kDown);
        break;
      case End::kPaused:
        cell->ProcessAt(owner)->Pause();
        break;
      case End::kStoreCut:
        cell->ProcessAt(owner)->store_cut = true;
        break;
      case End::kStopped:
        cell->StopProcess(owner);
        break;
    }
    CheckRestartsSoon();
  }
}

// Worker and owner are lost at one moment, so nothing was stored about the
// worker; the owner's next incarnation shows that it has ended.
BOOST_AUTO_TEST_CASE(an_owner_lost_with_the_worker_adds_little_to_the_wait) {
  for (const Duration after : {milliseconds(0), milliseconds(20),
                               milliseconds(100), milliseconds(300)}) {
    lost = nullptr;
    Build(11);
    LoseWorker();
    cell->Time().RunFor(after);
    KillOwner(kDown);
    CheckRestartsSoon();
  }
}

// Failure: each change of the owner begins the wait anew.
BOOST_AUTO_TEST_CASE(a_series_of_changes_adds_no_more_than_one) {
  for (const bool restarts : {true, false}) {
    lost = nullptr;
    Build(3, 8);
    LoseWorker();
    cell->Time().RunFor(milliseconds(100));
    KillOwner(kDown);
    for (int i = 0; i < 3; ++i) {
      AwaitOwner();
      cell->Time().RunFor(milliseconds(900));
      KillOwner(restarts ? std::optional<Duration>(kDown) : std::nullopt);
    }
    CheckRestartsSoon();
  }
}

// All processes are killed at one moment, so nobody has seen since when the
// worker is silent: the wait counts from their start, and once.
BOOST_AUTO_TEST_CASE(a_kill_of_all_processes_begins_the_wait_once) {
  Build(5);
  LoseWorker();
  cell->Time().RunFor(seconds(1));
  for (std::size_t i = 0; i < processes; ++i) {
    cell->KillProcess(i);
    StartLater(i, kDown);
  }
  const Instant killed = cell->Time().Now();
  cell->Time().RunFor(kDown + milliseconds(10));
  AwaitOwner();
  cell->Time().RunFor(seconds(1));
  KillOwner(kDown);
  AwaitRestart();
  BOOST_TEST((cell->Time().Now() - killed < kLostWorkerWait + kMostAdded));
  CheckInvariants(cell.get());
}

// Failure: a worker that a new owner has reached is lost soon after, and its
// tasks wait as if the former owner still renewed their lease.
BOOST_AUTO_TEST_CASE(a_worker_lost_after_the_change_is_not_waited_for_longer) {
  Build();
  KillOwner({});
  AwaitOwner();
  cell->Time().RunFor(seconds(2));
  LoseWorker();
  BOOST_TEST((AwaitRestart() < kLostWorkerWait + milliseconds(300)));
  CheckInvariants(cell.get());
}

// Failure: the first owner of a cell knows of no former one, and is taken for
// one that may have others before it.
BOOST_AUTO_TEST_CASE(the_first_owner_has_nobody_to_wait_for) {
  Build();
  LoseWorker();
  cell->Time().RunFor(kNoticed);
  KillOwner({});
  CheckRestartsSoon();
  BOOST_TEST(cell->Log().Count("former-owner") <= 1U);
}

// Failure: some series of restarts adds up. Whatever their order, they add no
// more to the wait than one change.
BOOST_AUTO_TEST_CASE(random_series_of_restarts_add_little_to_the_wait) {
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    lost = nullptr;
    Build(seed, 5);
    job_sim::VirtualTime& time = cell->Time();
    LoseWorker();
    const std::size_t changes = 1 + time.DrawIndex(5);
    for (std::size_t i = 0; i < changes; ++i) {
      time.RunFor(time.DrawBetween(milliseconds(0), milliseconds(1500)));
      if (Host() != nullptr || !cell->OwnerIndex()) break;
      KillOwner(time.DrawBetween(milliseconds(300), milliseconds(600)));
    }
    const Duration waited = AwaitRestart();
    BOOST_TEST((waited < kLostWorkerWait + kMostAdded),
               "seed " << seed << " waited " << waited.count() << " us");
    CheckInvariants(cell.get());
  }
}

// Failure guarded against: an owner that is cut off from store and peers renews
// the lease of a worker that the next owner does not reach, and the next owner
// starts its task elsewhere.
BOOST_AUTO_TEST_CASE(an_owner_that_is_cut_off_is_waited_for) {
  for (const bool peers_cut : {true, false}) {
    lost = nullptr;
    Build(13);
    PartitionOwnerWithWorker(peers_cut);
    const Duration waited = AwaitRestart();
    BOOST_TEST((waited > kCutOffOwnerTime));
    BOOST_TEST((waited < seconds(18)));
    CheckInvariants(cell.get());
  }
}

// The same with a second change meanwhile, by an owner that restarts.
BOOST_AUTO_TEST_CASE(
    an_owner_that_is_cut_off_is_waited_for_by_all_that_follow) {
  Build(13);
  PartitionOwnerWithWorker(/*peers_cut=*/true);
  cell->Time().RunFor(seconds(3));
  KillOwner(kDown);
  cell->Time().RunFor(seconds(3));
  KillOwner(kDown);
  const Duration waited = AwaitRestart();
  BOOST_TEST((waited > kCutOffOwnerTime));
  BOOST_TEST((waited < seconds(18)));
  CheckInvariants(cell.get());
}

// Failure guarded against: a worker is silent for a while, the owner stores
// that, is cut off from the store, reaches the worker again and renews its
// lease, while the next owner, which does not reach it, relies on the record.
BOOST_AUTO_TEST_CASE(a_withheld_lease_is_not_renewed_by_an_owner_cut_off) {
  for (const Duration silent : {milliseconds(1400), milliseconds(2500)}) {
    lost = nullptr;
    Build(17);
    CutWorker();
    const Instant cut_at = lost_at;
    cell->Time().RunFor(silent);
    PartitionOwnerWithWorker(/*peers_cut=*/true);
    lost_at = cut_at;
    cell->Workers().cut.erase(LostName());
    const Duration waited = AwaitRestart();
    BOOST_TEST((waited < kLostWorkerWait + kMostAdded));
    cell->Time().RunFor(seconds(20));
    CheckInvariants(cell.get());
  }
}

// Failure guarded against: a worker answers again, its lease is renewed, the
// owner dies, and the next one relies on a record that was removed, which its
// view of the store still shows.
BOOST_AUTO_TEST_CASE(a_removed_record_is_not_relied_on) {
  Build(19);
  CutWorker();
  cell->Time().RunFor(kNoticed);
  const std::size_t former = Owner();
  HideChangesOfTheCell();
  cell->Workers().cut.erase(LostName());
  cell->Time().RunFor(milliseconds(2800));
  for (std::size_t i = 0; i < processes; ++i) {
    if (i == former) continue;
    cell->Workers().cut_from.insert(
        {"process-" + std::to_string(i), LostName()});
  }
  lost_at = cell->Time().Now();
  cell->KillProcess(former);
  cell->Store().silent_prefix.clear();
  const Duration waited = AwaitRestart();
  BOOST_TEST((waited > kLeastLease));
  CheckInvariants(cell.get());
}

// Failure guarded against: a worker answers again, its lease is renewed and
// then withheld anew, and a process that has missed that counts from the first
// time.
BOOST_AUTO_TEST_CASE(a_lease_withheld_anew_counts_anew) {
  Build(19);
  CutWorker();
  cell->Time().RunFor(kNoticed);
  const std::size_t former = Owner();
  HideChangesOfTheCell();
  cell->Workers().cut.erase(LostName());
  cell->Time().RunFor(milliseconds(1000));
  CutWorker();
  cell->Time().RunFor(kNoticed);
  cell->KillProcess(former);
  // Only the latest record is left to be seen.
  cell->Store().Compact();
  cell->Store().silent_prefix.clear();
  BOOST_TEST((AwaitRestart() > kLeastLease));
  CheckInvariants(cell.get());
}

// A worker that was silent answers again: its task runs on, through a change of
// the owner as well.
BOOST_AUTO_TEST_CASE(a_worker_that_answers_again_keeps_its_task) {
  for (const bool change : {false, true}) {
    lost = nullptr;
    Build(23);
    CutWorker();
    cell->Time().RunFor(seconds(2));
    if (change) KillOwner({});
    cell->Time().RunFor(milliseconds(400));
    cell->Workers().cut.erase(LostName());
    cell->Time().RunFor(seconds(15));
    BOOST_TEST(lost->RunningCount() == 1U);
    BOOST_TEST(cell->Judge().Runs() == 1);
    CheckInvariants(cell.get());
  }
}

// While the store does not answer, nothing is written about silent workers, and
// one that answers again keeps its task.
BOOST_AUTO_TEST_CASE(a_worker_silent_during_an_outage_keeps_its_task) {
  Build(29);
  cell->Store().silent = true;
  cell->Store().leases_run_on = true;
  cell->Time().RunFor(seconds(2));
  CutWorker();
  cell->Time().RunFor(seconds(2));
  cell->Workers().cut.erase(LostName());
  cell->Time().RunFor(seconds(3));
  cell->Store().silent = false;
  cell->Time().RunFor(seconds(10));
  BOOST_TEST(lost->RunningCount() == 1U);
  BOOST_TEST(cell->Judge().Runs() == 1);
  CheckInvariants(cell.get());
}

// The record of recent owners is unknown, as after an owner of a version that
// does not write it: the longest time is assumed.
BOOST_AUTO_TEST_CASE(without_a_record_the_longest_time_is_assumed) {
  Build(31);
  cell->Store().Remove("mustardproxy/cell/owner/all/recent");
  cell->Time().RunFor(milliseconds(50));
  LoseWorker();
  KillOwner(kDown);
  BOOST_TEST((AwaitRestart() > kCutOffOwnerTime));
  CheckInvariants(cell.get());
}

// A data centre is cut off: what is silent is stored in a few writes.
BOOST_AUTO_TEST_CASE(many_silent_workers_take_few_writes) {
  constexpr std::size_t kMany = 300;
  constexpr std::int64_t kMostWrites = 40;
  cell = SimCell::Builder().Workers(kMany).HiddenBirths().Build();
  (void)cell->Submit(MakeSpec({MakeStep(kMany, 9000, seconds(30))}));
  cell->Time().RunFor(seconds(4));
  const std::int64_t before = cell->Measured().Total("withheld_lease_writes");
  for (SimWorker* worker : cell->Workers().Alive()) {
    cell->Workers().cut.insert(worker->Info().incarnation.id.Text());
  }
  cell->Time().RunFor(seconds(3));
  cell->Workers().cut.clear();
  cell->Time().RunFor(seconds(5));
  const std::int64_t writes =
      cell->Measured().Total("withheld_lease_writes") - before;
  BOOST_TEST(writes > 0);
  BOOST_TEST(writes <= kMostWrites);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
