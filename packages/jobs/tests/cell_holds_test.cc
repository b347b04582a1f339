#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"
#include "options.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return the value of the gauge that counts workers with something to do
std::size_t ReadAttended(SimCell* cell) {
  const std::string text = cell->Measured().Format();
  const std::string name = "mustardproxy_attended_workers";
  // The lines before it describe the gauge.
  const std::size_t at = text.find("\n" + name);
  BOOST_REQUIRE(at != std::string::npos);
  const std::size_t space = text.find(' ', at);
  return static_cast<std::size_t>(std::stod(text.substr(space)));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_holds)

// Guards against regular checks of workers that have nothing to do, whose cost
// grows with the cell.
BOOST_AUTO_TEST_CASE(only_workers_with_something_to_do_are_checked) {
  for (const std::size_t workers : {600, 6000}) {
    const auto cell = SimCell::Builder().Processes(2).Workers(workers).Build();
    cell->Time().RunFor(seconds(10));
    BOOST_TEST(ReadAttended(cell.get()) == 0U);
    cell->Submit(MakeSpec({MakeStep(6, 16'000, seconds(5))}));
    cell->Time().RunFor(seconds(3));
    BOOST_TEST(ReadAttended(cell.get()) == 6U);
    cell->Settle(seconds(10));
    cell->Time().RunFor(seconds(2));
    BOOST_TEST(ReadAttended(cell.get()) == 0U);
    CheckInvariants(cell.get());
  }
}

/// Starts a task on each of some workers.
void Occupy(SimCell* cell, std::int32_t workers, Duration length) {
  cell->Submit(MakeSpec({MakeStep(workers, 16'000, length)}));
  cell->Time().RunFor(seconds(2));
}

// Guards against a takeover that asks thousands of idle workers before urgent
// work starts: at any size the workers with runs are asked first, and urgent
// work starts while most others have not been asked.
BOOST_AUTO_TEST_CASE(a_takeover_asks_workers_with_runs_first) {
  constexpr std::int32_t kBusy = 40;
  for (const std::size_t workers : {3000, 6000}) {
    const auto cell = SimCell::Builder().Processes(3).Workers(workers).Build();
    cell->Time().RunFor(seconds(10));
    Occupy(cell.get(), kBusy, seconds(20));
    const std::int64_t runs = cell->Judge().Runs();
    const auto owner = cell->OwnerIndex();
    BOOST_REQUIRE(owner.has_value());
    const std::size_t loaded = cell->Log().Count("loaded");
    cell->KillProcess(*owner);
    cell->Time().RunUntil([&] { return cell->Log().Count("loaded") > loaded; },
                          seconds(5));
    const std::int64_t before = cell->Workers().holds;
    cell->Submit(MakeSpec({MakeStep(2, 1000, seconds(1))}), (*owner + 1) % 3);
    cell->Time().RunFor(milliseconds(150));
    BOOST_TEST(cell->Judge().Runs() == runs + 2);
    // Two ticks, and the answers of the workers with runs.
    BOOST_TEST(cell->Workers().holds - before <= 300 + 3 * kBusy);
    cell->Settle(seconds(40));
    BOOST_TEST(cell->Judge().Runs() == runs + 2);
    CheckInvariants(cell.get());
  }
}

// Guards against an owner that does little else than call the workers of a data
// centre that is cut off: the rate of these calls does not grow with the cell.
BOOST_AUTO_TEST_CASE(calls_to_silent_workers_do_not_grow_with_the_cell) {
  std::vector<std::int64_t> calls;
  for (const std::size_t workers : {3000, 6000}) {
    const auto cell =
        SimCell::Builder().Processes(2).Workers(workers).DataCenters(5).Build();
    cell->Time().RunFor(seconds(10));
    Occupy(cell.get(), static_cast<std::int32_t>(workers), seconds(30));
    for (const job_sim::SimWorker* worker : cell->Workers().Alive()) {
      if (worker->Info().data_center != DataCenterId("dc1")) continue;
      cell->Workers().cut.insert(worker->Info().incarnation.id.Text());
    }
    cell->Time().RunFor(seconds(2));
    const std::int64_t before = cell->Workers().unreached_holds;
    cell->Time().RunFor(seconds(2));
    calls.push_back(cell->Workers().unreached_holds - before);
    cell->Workers().cut.clear();
    cell->Settle(seconds(90));
    CheckInvariants(cell.get());
  }
  BOOST_TEST(calls[1] <= 2 * kMaxBusyRetriesPerSecond * 5 / 4);
  BOOST_TEST(calls[1] <= calls[0] * 5 / 4);
}

// Guards against tasks that are placed on idle workers of a data centre which
// is cut off, although its workers in use have shown that, and against a data
// centre that stays unused once it is reached again.
BOOST_AUTO_TEST_CASE(idle_workers_of_a_data_centre_that_is_cut_off_are_left) {
  const auto cell =
      SimCell::Builder().Processes(2).Workers(2000).DataCenters(5).Build();
  cell->Time().RunFor(seconds(25));
  Occupy(cell.get(), 200, seconds(20));
  for (const job_sim::SimWorker* worker : cell->Workers().Alive()) {
    if (worker->Info().data_center != DataCenterId("dc1")) continue;
    cell->Workers().cut.insert(worker->Info().incarnation.id.Text());
  }
  cell->Time().RunFor(seconds(3));
  BOOST_TEST(cell->Log().Count("data-centre-unreachable") == 1U);
  const std::size_t silent = cell->Log().Count("worker-silent");
  cell->Submit(MakeSpec({MakeStep(400, 16'000, seconds(2))}));
  cell->Time().RunFor(seconds(2));
  BOOST_TEST(cell->Log().Count("worker-silent") == silent);
  cell->Workers().cut.clear();
  cell->Time().RunFor(seconds(4));
  BOOST_TEST(cell->Log().Count("data-centre-reachable") == 1U);
  cell->Settle(seconds(60));
  CheckInvariants(cell.get());
}

// Guards against a gang of which most members start and are stopped again,
// because one of its idle workers is gone.
BOOST_AUTO_TEST_CASE(a_gang_starts_once_all_its_workers_have_answered) {
  const auto cell = SimCell::Builder()
                        .Processes(4)
                        .Workers(2000)
                        .Advice(1.0, milliseconds(100))
                        .Build();
  cell->Time().RunFor(seconds(25));
  // Some of those that a question names first.
  for (const char* name : {"w0", "w1000", "w1003"}) {
    cell->Workers().cut.insert(name);
  }
  JobSpec spec = MakeSpec({MakeStep(40, 16'000, seconds(2))});
  spec.steps[0].gang = true;
  const auto* job = cell->Submit(spec);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(20)));
  BOOST_TEST(cell->Judge().Runs() == 40);
  BOOST_TEST(cell->Log().Count("start-not-done") == 0U);
  CheckInvariants(cell.get());
}

// Guards against an idle worker that is overlooked once it changes: it drains,
// leaves, restarts or loses its connection.
BOOST_AUTO_TEST_CASE(an_idle_worker_that_changes_is_checked_again) {
  const auto cell = SimCell::Builder().Processes(2).Workers(6).Build();
  cell->Time().RunFor(seconds(5));
  cell->CrashWorker(cell->Workers().Find("w0"), seconds(1));
  job_sim::SimWorker* gone = cell->Workers().Find("w1");
  gone->Crash();
  cell->UnlistWorker(gone);
  cell->Time().RunFor(seconds(8));
  cell->Submit(MakeSpec({MakeStep(5, 16'000, seconds(1))}));
  cell->Settle(seconds(20));
  cell->Time().RunFor(seconds(3));
  BOOST_TEST(ReadAttended(cell.get()) == 0U);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
