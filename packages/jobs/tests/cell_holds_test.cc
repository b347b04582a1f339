#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
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
