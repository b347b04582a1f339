#include "wait_report.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return the number of log lines about waiting steps with this reason
std::size_t CountReason(SimCell* cell, const std::string& reason) {
  const std::string wanted = "reason=" + reason;
  std::size_t count = 0;
  for (const std::string& line : cell->Log().Lines()) {
    const bool tells = line.find("step-waits") != std::string::npos &&
                       line.find(wanted) != std::string::npos;
    if (tells) ++count;
  }
  return count;
}

WaitFacts MakeFacts(std::int64_t could_fit, std::int64_t room,
                    std::int64_t fresh_room) {
  WaitFacts facts;
  facts.needed = 4;
  facts.eligible = 3;
  facts.has_policy = true;
  facts.could_fit = could_fit;
  facts.room = room;
  facts.fresh_room = fresh_room;
  return facts;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(wait_report)

BOOST_AUTO_TEST_CASE(the_reason_is_the_first_unmet_requirement) {
  BOOST_TEST((WaitFacts{}.Reason() == WaitReason::kNoWorker));
  BOOST_TEST((MakeFacts(3, 0, 0).Reason() == WaitReason::kPermissions));
  BOOST_TEST((MakeFacts(4, 3, 3).Reason() == WaitReason::kRoom));
  WaitFacts beyond = MakeFacts(4, 3, 3);
  beyond.beyond_share = true;
  BOOST_TEST((beyond.Reason() == WaitReason::kShare));
  BOOST_TEST((MakeFacts(4, 4, 3).Reason() == WaitReason::kLapsed));
  BOOST_TEST((MakeFacts(4, 4, 4).Reason() == WaitReason::kNone));
}

BOOST_AUTO_TEST_CASE(evacuated_workers_are_the_reason_if_they_would_suffice) {
  WaitFacts facts = MakeFacts(3, 3, 3);
  facts.evacuated_fit = 1;
  BOOST_TEST((facts.Reason() == WaitReason::kEvacuated));
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kEvacuationCancelled));
  facts.could_fit = 2;
  BOOST_TEST((facts.Reason() == WaitReason::kPermissions));
  facts.could_fit = 4;
  BOOST_TEST((facts.Reason() == WaitReason::kRoom));
}

BOOST_AUTO_TEST_CASE(the_first_event_that_unblocks_is_reported) {
  WaitFacts facts = MakeFacts(8, 2, 0);
  facts.permitted = 2;
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kNothing));
  facts.refused = 1;
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kWorkers));
  facts.held = 1;
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kHold));
  facts.fits_later = true;
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kRuns));
  facts.helped_by_question = true;
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kQuestion));
  facts.asking = true;
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kAnswer));
}

BOOST_AUTO_TEST_CASE(a_gang_with_capacity_waits_only_for_reservations) {
  WaitFacts facts = MakeFacts(8, 4, 0);
  facts.gang = true;
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kNothing));
  facts.room_taken_by_gangs = true;
  BOOST_TEST((facts.NextUnblockEvent() == UnblockEvent::kReservations));
}

// A caller requires a label that no worker has. Its job waits, and the log
// states the reason every two seconds.
BOOST_AUTO_TEST_CASE(a_step_that_no_worker_can_run_is_reported) {
  const auto cell = SimCell::Builder().Build();
  JobSpec spec = MakeSpec({MakeStep(2, 1000, seconds(1))});
  spec.steps[0].required_label = "nobody-has-it";
  cell->Submit(spec);
  cell->Time().RunFor(milliseconds(1500));
  BOOST_TEST(CountReason(cell.get(), "no-worker") == 0U);
  cell->Time().RunFor(milliseconds(5000));
  BOOST_TEST(CountReason(cell.get(), "no-worker") == 3U);
}

BOOST_AUTO_TEST_CASE(a_gang_that_waits_for_capacity_is_reported) {
  const auto cell = SimCell::Builder().Workers(2).Build();
  cell->Submit(MakeSpec({MakeStep(2, 16'000, seconds(8))}));
  cell->Time().RunFor(seconds(1));
  JobSpec spec = MakeSpec({MakeStep(2, 9000, seconds(1))});
  spec.steps[0].gang = true;
  cell->Submit(spec);
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(CountReason(cell.get(), "room") == 2U);
  CheckInvariants(cell.get());
}

// A step that could not start for long is logged once it starts.
BOOST_AUTO_TEST_CASE(the_start_of_a_step_that_was_idle_is_reported) {
  const auto cell = SimCell::Builder().Workers(2).Build();
  cell->Submit(MakeSpec({MakeStep(2, 16'000, seconds(3))}));
  cell->Time().RunFor(seconds(1));
  BOOST_TEST(cell->Log().Count("idle-step-started") == 0U);
  cell->Submit(MakeSpec({MakeStep(2, 9000, seconds(1))}));
  cell->Time().RunFor(seconds(5));
  BOOST_TEST(cell->Log().Count("idle-step-started") == 1U);
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_CASE(an_unknown_job_is_reported) {
  const auto cell = SimCell::Builder().Build();
  BOOST_TEST(!cell->AskStatus(JobId("unknown")).has_value());
  BOOST_TEST(cell->Log().Count("state-not-shown") == 1U);
}

// Thousands of jobs that can't run must not flood the log.
BOOST_AUTO_TEST_CASE(lines_are_bounded) {
  const auto cell = SimCell::Builder().Build();
  for (int i = 0; i < 300; ++i) {
    JobSpec spec = MakeSpec({MakeStep(1, 1000, seconds(1))});
    spec.steps[0].required_label = "nobody-has-it";
    cell->Submit(spec);
  }
  constexpr int kSeconds = 8;
  cell->Time().RunFor(seconds(kSeconds));
  const std::size_t lines = CountReason(cell.get(), "no-worker");
  BOOST_TEST(lines > 100U);
  BOOST_TEST(lines <= 50U * kSeconds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
