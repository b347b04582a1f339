#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using job_sim::SimWorker;
using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCenterId kEvacuated("dc1");

/// Four workers in two data centres.
SimCell::Builder TwoDataCenters() {
  SimCell::Builder builder;
  builder.Workers(4).DataCenters(2);
  return builder;
}

std::size_t CountRunning(SimCell* cell, const DataCenterId& data_center) {
  std::size_t running = 0;
  for (const SimWorker* worker : cell->Workers().Alive()) {
    if (worker->Info().data_center == data_center) {
      running += worker->RunningCount();
    }
  }
  return running;
}

bool HasLine(SimCell* cell, const std::string& first,
             const std::string& second) {
  for (const std::string& line : cell->Log().Lines()) {
    const bool has_both = line.find(first) != std::string::npos &&
                          line.find(second) != std::string::npos;
    if (has_both) return true;
  }
  return false;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_evacuation)

// Guards against starts on the workers of an evacuated data centre, and against
// its workers staying unused once operators take it back.
BOOST_AUTO_TEST_CASE(nothing_starts_there_until_it_is_taken_back) {
  const auto cell = TwoDataCenters().Build();
  cell->Submit(MakeSpec({MakeStep(8, 4000, seconds(6))}));
  cell->Time().RunFor(milliseconds(500));
  const std::size_t before = CountRunning(cell.get(), kEvacuated);
  BOOST_TEST(before > 0U);
  cell->Judge().evacuation_bound = milliseconds(50);
  cell->Evacuate(kEvacuated);
  cell->Time().RunFor(milliseconds(100));
  SimJob* waiting = cell->Submit(MakeSpec({MakeStep(16, 4000, seconds(2))}));
  cell->Time().RunFor(seconds(2));
  // What runs there goes on.
  BOOST_TEST(CountRunning(cell.get(), kEvacuated) == before);
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(CountRunning(cell.get(), kEvacuated) == 0U);
  cell->CancelEvacuation(kEvacuated);
  cell->Submit(MakeSpec({MakeStep(12, 4000, seconds(2))}));
  cell->Time().RunFor(milliseconds(500));
  BOOST_TEST(CountRunning(cell.get(), kEvacuated) > 0U);
  BOOST_TEST(cell->AwaitFinal(waiting->job.id, seconds(10)));
  cell->Settle(seconds(20));
  CheckInvariants(cell.get());
}

// Guards against a start order that was decided before the evacuation and is
// sent after it: the run was placed, being stored, or waiting for an answer of
// its worker.
BOOST_AUTO_TEST_CASE(no_start_that_was_decided_before_is_sent_after) {
  constexpr milliseconds kStep(10);
  constexpr milliseconds kLast(400);
  for (milliseconds moment{0}; moment <= kLast; moment += kStep) {
    const auto cell = TwoDataCenters().Build();
    cell->Time().RunFor(seconds(1));
    // The write of the run takes longer than the news of the evacuation.
    cell->Store().latency = milliseconds(60);
    cell->Judge().evacuation_bound = milliseconds(70);
    cell->Submit(MakeSpec({MakeStep(12, 4000, seconds(1))}));
    cell->Time().RunFor(moment);
    cell->Evacuate(kEvacuated);
    cell->Settle(seconds(20));
    CheckInvariants(cell.get());
  }
}

// Guards against the repetition of an unanswered start order, which is what
// starts the task in a data centre that was evacuated meanwhile.
BOOST_AUTO_TEST_CASE(an_unanswered_start_is_not_repeated_there) {
  const auto cell = TwoDataCenters().Advice(1.0, milliseconds(5)).Build();
  cell->Time().RunFor(seconds(1));
  SimJob* job = cell->Submit(MakeSpec({MakeStep(16, 4000, seconds(1))}));
  cell->Time().RunUntil([&] { return cell->Log().Count("step-placed") > 0; },
                        seconds(2));
  for (const SimWorker* worker : cell->Workers().Alive()) {
    if (worker->Info().data_center != kEvacuated) continue;
    cell->Workers().cut.insert(worker->Info().incarnation.id.Text());
  }
  cell->Time().RunFor(milliseconds(600));
  cell->Judge().evacuation_bound = milliseconds(100);
  cell->Evacuate(kEvacuated);
  cell->Time().RunFor(milliseconds(300));
  cell->Workers().cut.clear();
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(30)));
  CheckInvariants(cell.get());
}

// Guards against a new owner that places before it knows of an evacuation: the
// former one dies at any moment between placing and the acknowledgement.
BOOST_AUTO_TEST_CASE(a_new_owner_knows_of_it_before_it_places) {
  constexpr milliseconds kStep(40);
  constexpr milliseconds kLast(400);
  for (milliseconds moment{0}; moment <= kLast; moment += kStep) {
    const auto cell = TwoDataCenters().Build();
    cell->Judge().evacuation_bound = milliseconds(100);
    cell->Submit(MakeSpec({MakeStep(12, 4000, seconds(3))}));
    cell->Time().RunFor(moment);
    const auto owner = cell->OwnerIndex();
    BOOST_REQUIRE(owner.has_value());
    cell->KillProcess(*owner);
    cell->Evacuate(kEvacuated);
    // The next owner can't read which data centres are evacuated.
    cell->Store().silent_prefix = "evacuate/";
    cell->Time().RunFor(seconds(4));
    cell->Store().silent_prefix.clear();
    cell->Submit(MakeSpec({MakeStep(4, 4000, seconds(1))}));
    cell->Settle(seconds(40));
    CheckInvariants(cell.get());
  }
}

// Guards against starts by an old view of the evacuations, whose watch has
// fallen silent.
BOOST_AUTO_TEST_CASE(no_start_goes_by_an_old_view_of_the_evacuations) {
  const auto cell = TwoDataCenters().Build();
  cell->Time().RunFor(seconds(2));
  cell->Store().silent_prefix = "evacuate/";
  cell->Time().RunFor(milliseconds(1300));
  cell->Judge().evacuation_bound = seconds(2);
  cell->Evacuate(kEvacuated);
  cell->Time().RunFor(milliseconds(2100));
  cell->Submit(MakeSpec({MakeStep(12, 4000, seconds(1))}));
  cell->Time().RunFor(seconds(2));
  BOOST_TEST(CountRunning(cell.get(), DataCenterId("dc")) == 0U);
  cell->Store().silent_prefix.clear();
  cell->Settle(seconds(20));
  CheckInvariants(cell.get());
}

// Guards against a gang that waits for an evacuated data centre without a word,
// or beyond the end of the evacuation.
BOOST_AUTO_TEST_CASE(a_gang_that_needs_it_waits_and_the_log_says_for_what) {
  const auto cell = TwoDataCenters().Build();
  cell->Evacuate(kEvacuated);
  cell->Time().RunFor(milliseconds(100));
  JobSpec spec = MakeSpec({MakeStep(4, 10'000, seconds(1))});
  spec.steps[0].gang = true;
  SimJob* gang = cell->Submit(spec);
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(cell->Judge().Runs() == 0);
  BOOST_TEST(
      HasLine(cell.get(), "reason=evacuated", "until=evacuation-cancelled"));
  cell->CancelEvacuation(kEvacuated);
  cell->Time().RunFor(milliseconds(300));
  BOOST_TEST(cell->Judge().Runs() == 4);
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(5)));
  CheckInvariants(cell.get());
}

// Guards against the capacity of a gang staying reserved in a data centre that
// was evacuated while the gang waited for permissions.
BOOST_AUTO_TEST_CASE(a_reservation_there_is_given_up) {
  const auto cell = TwoDataCenters().Advice(1.0, milliseconds(400)).Build();
  cell->Time().RunFor(seconds(1));
  cell->Judge().evacuation_bound = milliseconds(50);
  JobSpec spec = MakeSpec({MakeStep(4, 6000, seconds(1))});
  spec.steps[0].gang = true;
  SimJob* gang = cell->Submit(spec);
  for (int i = 0; i < 4; ++i) {
    cell->Time().RunFor(milliseconds(250));
    cell->Evacuate(kEvacuated);
    cell->Time().RunFor(milliseconds(250));
    if (i < 3) cell->CancelEvacuation(kEvacuated);
  }
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(20)));
  CheckInvariants(cell.get());
}

// Guards against a lost or reordered change: all data centres are evacuated and
// taken back in quick turn while the store compacts its history.
BOOST_AUTO_TEST_CASE(evacuations_in_quick_turn_end_as_last_asked) {
  const auto cell = TwoDataCenters().Build();
  for (int i = 0; i < 20; ++i) {
    cell->Evacuate(DataCenterId("dc"));
    cell->Evacuate(kEvacuated);
    if (i % 3 == 0) cell->Store().Compact();
    cell->Time().RunFor(milliseconds(7));
    cell->CancelEvacuation(DataCenterId("dc"));
    cell->CancelEvacuation(kEvacuated);
    if (i % 4 == 0) cell->Store().Compact();
    cell->Time().RunFor(milliseconds(11));
  }
  cell->Evacuate(DataCenterId("dc"));
  cell->Evacuate(kEvacuated);
  cell->Time().RunFor(milliseconds(300));
  cell->Judge().evacuation_bound = milliseconds(50);
  SimJob* job = cell->Submit(MakeSpec({MakeStep(4, 4000, seconds(1))}));
  cell->Time().RunFor(seconds(3));
  BOOST_TEST(cell->Judge().Runs() == 0);
  cell->CancelEvacuation(DataCenterId("dc"));
  cell->Time().RunFor(milliseconds(300));
  BOOST_TEST(cell->Judge().Runs() == 4);
  BOOST_TEST(CountRunning(cell.get(), kEvacuated) == 0U);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(5)));
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
