#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

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

constexpr std::size_t kProcesses = 8;
/// What a worker of the users takes.
constexpr std::size_t kWorkerConnections = 64;
constexpr std::int32_t kTasks = 32;
constexpr Duration kTaskTime = milliseconds(500);
/// Time that each owner is left to work.
constexpr Duration kOwnerTime = seconds(5);
/// Time for an election and for a step.
constexpr Duration kMaxJobTime = seconds(4);

/// A cell with a single worker unless told otherwise, so that each job needs
/// it.
struct Fixture {
  void Build(std::size_t workers = 1) {
    this->cell = SimCell::Builder()
                     .Processes(kProcesses)
                     .Workers(workers)
                     .Capacity(200'000, 640'000)
                     .Build();
    this->cell->Workers().connections.limit = kWorkerConnections;
    // Processes that are cut off are asked as well.
    this->cell->in_touch = [] { return false; };
    this->cell->Time().RunFor(seconds(3));
  }

  std::size_t Owner() {
    BOOST_REQUIRE(this->cell->Time().RunUntil(
        [&] { return this->cell->OwnerIndex().has_value(); }, seconds(5)));
    return *this->cell->OwnerIndex();
  }

  SimJob* SubmitWideJob() {
    return this->cell->Submit(MakeSpec({MakeStep(kTasks, 500, kTaskTime)}),
                              this->Owner());
  }

  /// Plays steps for a while, and checks that each is done in time.
  void PlayJobs(const std::string& when) {
    const Instant end = this->cell->Time().Now() + kOwnerTime;
    while (this->cell->Time().Now() < end) {
      const SimJob* job = this->SubmitWideJob();
      const bool done = this->cell->Time().RunUntil(
          [&] { return job->done_at.has_value(); }, kMaxJobTime);
      BOOST_TEST(done, "not done " << when);
      this->cell->Time().RunFor(kTaskTime);
    }
  }

  [[nodiscard]] std::size_t Held() {
    return this->cell->Workers().connections.Held(this->Address());
  }

  [[nodiscard]] std::string Address() {
    return this->cell->Workers().Alive().front()->Info().address;
  }

  std::unique_ptr<SimCell> cell;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_connections, Fixture)

// Guards against connections that frozen former owners keep, and that fill a
// worker until the next owner reaches it no more.
BOOST_AUTO_TEST_CASE(a_worker_is_reached_after_all_former_owners_were_frozen) {
  Build();
  for (std::size_t frozen = 0; frozen + 1 < kProcesses; ++frozen) {
    PlayJobs("after " + std::to_string(frozen) + " owners were frozen");
    cell->ProcessAt(Owner())->Pause();
  }
  PlayJobs("after all others were frozen");
  cell->Settle(seconds(30));
  CheckInvariants(cell.get());
}

// Guards against the same for owners that are frozen while their starts are
// under way.
BOOST_AUTO_TEST_CASE(a_worker_is_reached_after_owners_were_frozen_in_a_burst) {
  Build();
  for (std::size_t frozen = 0; frozen + 1 < kProcesses; ++frozen) {
    PlayJobs("after " + std::to_string(frozen) + " owners were frozen");
    (void)SubmitWideJob();
    BOOST_REQUIRE(cell->Time().RunUntil(
        [&] { return cell->Workers().Alive().front()->RunningCount() > 0; },
        seconds(2)));
    cell->ProcessAt(Owner())->Pause();
  }
  PlayJobs("after all others were frozen");
  cell->Settle(seconds(30));
  CheckInvariants(cell.get());
}

// Guards against the same for former owners that are cut off from the store and
// from their worker, so that it does not see their connections closed.
BOOST_AUTO_TEST_CASE(a_worker_is_reached_after_former_owners_were_cut_off) {
  Build();
  for (std::size_t cut = 0; cut + 1 < kProcesses; ++cut) {
    PlayJobs("after " + std::to_string(cut) + " owners were cut off");
    const std::size_t owner = Owner();
    cell->ProcessAt(owner)->store_cut = true;
    cell->ProcessAt(owner)->workers_cut = true;
    cell->Time().RunUntil([&] { return cell->OwnerIndex() != owner; },
                          seconds(20));
  }
  PlayJobs("after all others were cut off");
  CheckInvariants(cell.get());
}

// A former owner that runs keeps no connections, so the next one may hold as
// many as the first.
BOOST_AUTO_TEST_CASE(a_former_owner_that_runs_closes_its_connections) {
  Build();
  PlayJobs("by the first owner");
  const std::size_t first = Owner();
  const std::size_t held = Held();
  cell->ProcessAt(first)->store_cut = true;
  cell->Store().RevokeLeases();
  cell->Time().RunUntil([&] { return cell->OwnerIndex() != first; },
                        seconds(5));
  cell->Time().RunFor(seconds(6));
  BOOST_TEST(Held() < held);
  cell->ProcessAt(first)->store_cut = false;
  cell->Time().RunFor(seconds(20));
  PlayJobs("by the second owner");
  BOOST_TEST(Held() >= held);
  cell->Settle(seconds(30));
  CheckInvariants(cell.get());
}

// Steps of many tasks open connections once, and start at once: no task of a
// step waits for more than one round of others.
BOOST_AUTO_TEST_CASE(
    a_wide_step_starts_at_once_over_connections_that_are_kept) {
  Build();
  PlayJobs("by the first owner");
  const std::size_t opened = cell->Workers().connections.Opened();
  BOOST_TEST(opened <= kTasks);
  (void)SubmitWideJob();
  job_sim::SimWorker* worker = cell->Workers().Alive().front();
  BOOST_REQUIRE(cell->Time().RunUntil(
      [&] { return worker->RunningCount() > 0; }, seconds(2)));
  cell->Time().RunFor(3 * cell->Workers().latency);
  BOOST_TEST(worker->RunningCount() == static_cast<std::size_t>(kTasks));
  BOOST_TEST(cell->Workers().connections.Opened() == opened);
  cell->Settle(seconds(30));
  CheckInvariants(cell.get());
}

// Guards against a worker that is taken for a failing one, and left out,
// because starts waited in vain for a connection to it.
BOOST_AUTO_TEST_CASE(starts_that_were_not_sent_do_not_count_against_a_worker) {
  constexpr std::size_t kWorkers = 4;
  constexpr int kJobs = 8;
  Build(kWorkers);
  // Each round of starts takes 0.16 s.
  cell->Workers().latency = milliseconds(80);
  std::vector<const SimJob*> jobs;
  jobs.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) jobs.push_back(SubmitWideJob());
  for (const SimJob* job : jobs) {
    BOOST_TEST(cell->Time().RunUntil([&] { return job->done_at.has_value(); },
                                     kMaxJobTime));
  }
  BOOST_TEST(cell->Log().Count("start-not-done") > 0U);
  BOOST_TEST(cell->Log().Count("worker-ejected") == 0U);
  cell->Settle(seconds(30));
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
