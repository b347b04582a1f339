#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <memory>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A step that may begin must not wait longer in an idle cell.
constexpr Duration kMaxStartDelay = seconds(3);

/// A queue whose permissions are valid for 0.4 s.
Queue MakeQueue() {
  Queue queue;
  queue.name = QueueName("scans");
  queue.host = "scans.example";
  queue.path_prefix = "/scans/";
  queue.priority = 1;
  queue.max_attempts = 3;
  queue.stretch = 4.0;
  queue.target = seconds(3);
  queue.advice =
      AdvicePolicy{milliseconds(100), milliseconds(0), milliseconds(400)};
  return queue;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_permission)

// Guards against hundreds of start orders that the workers reject: the store is
// unavailable while runs are being stored, and their permissions have expired
// when it is back.
BOOST_AUTO_TEST_CASE(starts_whose_permissions_expired_unsent_are_not_sent) {
  const auto cell = SimCell::Builder()
                        .Processes(3)
                        .Workers(12)
                        .Queue(MakeQueue(), 0.5)
                        .Build();
  cell->Time().RunFor(seconds(2));
  const auto* job = cell->SubmitTo(
      QueueName("scans"), MakeSpec({MakeStep(40, 2000, seconds(1))}), 0);
  cell->Time().RunUntil([&] { return cell->Log().Count("step-placed") > 0; },
                        seconds(5));
  cell->Store().leases_run_on = false;
  cell->Store().silent = true;
  cell->Time().RunFor(seconds(2));
  cell->Store().silent = false;
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(20)));
  BOOST_TEST(cell->Log().Count("start-withheld") > 0U);
  BOOST_TEST(cell->Log().Count("start-not-done") == 0U);
  cell->Settle(seconds(20));
  CheckInvariants(cell.get());
}

// Guards against a job that is never started: the questions of all processes
// about its step have failed at one moment, and no other event sends it again.
BOOST_AUTO_TEST_CASE(questions_are_repeated_after_all_processes_have_failed) {
  for (const std::int32_t processes : {1, 3, 12}) {
    BOOST_TEST_CONTEXT("processes: " << processes) {
      const auto cell = SimCell::Builder()
                            .Processes(processes)
                            .Workers(12)
                            .Queue(MakeQueue(), 0.5)
                            .Build();
      cell->Time().RunFor(seconds(2));
      cell->FailQuestions(processes);
      const auto* job = cell->SubmitTo(
          QueueName("scans"), MakeSpec({MakeStep(1, 2000, seconds(1))}), 0);
      cell->Time().RunFor(kMaxStartDelay);
      BOOST_TEST(cell->Log().Count("question-failed") ==
                 static_cast<std::size_t>(processes));
      BOOST_TEST(job->first_start.has_value());
      cell->Settle(seconds(20));
      CheckInvariants(cell.get());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
