#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

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

/// A queue whose policy service takes 0.6 s for an answer that holds for 0.4 s.
Queue MakeSlowPolicyQueue() {
  Queue queue;
  queue.name = QueueName("reviews");
  queue.host = "reviews.example";
  queue.path_prefix = "/reviews/";
  queue.priority = 1;
  queue.max_attempts = 3;
  queue.stretch = 20.0;
  queue.target = seconds(20);
  queue.advice =
      AdvicePolicy{milliseconds(600), milliseconds(0), milliseconds(400)};
  return queue;
}

JobSpec MakeGang(std::int32_t tasks, std::int64_t cpu_milli, Duration length) {
  JobSpec spec = MakeSpec({MakeStep(tasks, cpu_milli, length)});
  spec.steps[0].gang = true;
  return spec;
}

/// Has a job of `spec` handed in every second, `count` times.
void SubmitEachSecond(SimCell* cell, const JobSpec& spec, int count) {
  for (int i = 0; i < count; ++i) {
    cell->Time().After(seconds(i), [cell, spec] { cell->Submit(spec); });
  }
}

/// @return questions to the policy service that were answered for a job
std::ptrdiff_t CountQuestions(SimCell* cell, const SimJob& job) {
  const std::string step = "step=" + job.job.id.Text() + ".0.0 ";
  const auto& lines = cell->Log().Lines();
  return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
    return line.find("permissions " + step) != std::string::npos;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_gang)

// Users saw that the widest reviews were not served while all others were. A
// wide gang waited for room, and its permissions lapsed. Whenever there was
// room it asked for them anew; while the question was answered urgent work took
// some of the room, and when that had ended the permissions had lapsed again.
// Counted: the log of such a step, 24 renewals in 13 s, each granted whole.
BOOST_AUTO_TEST_CASE(gang_capacity_is_kept_while_permissions_are_requested) {
  const auto cell =
      SimCell::Builder().Workers(4).Queue(MakeSlowPolicyQueue(), 1.0).Build();
  cell->Submit(MakeSpec({MakeStep(4, 4000, seconds(3))}));
  // Of each second's half the gang of 56 cores has room beside it, in 64.
  SubmitEachSecond(cell.get(), MakeSpec({MakeStep(4, 4000, milliseconds(500))}),
                   20);
  cell->Time().RunFor(milliseconds(100));
  SimJob* gang = cell->SubmitTo(QueueName("reviews"),
                                MakeGang(14, 4000, milliseconds(800)), 0);
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(8)));
  BOOST_TEST(CountQuestions(cell.get(), *gang) <= 2);
  CheckInvariants(cell.get());
}

// A gang can't be done in time any more, its permissions have lapsed, and then
// the cell is empty. Its caller still waits for the end: it has to start.
BOOST_AUTO_TEST_CASE(an_expired_gang_starts_once_capacity_is_free) {
  Queue queue = MakeSlowPolicyQueue();
  queue.stretch = 1.0;
  queue.target = milliseconds(100);
  const auto cell = SimCell::Builder().Workers(4).Queue(queue, 1.0).Build();
  cell->Submit(MakeSpec({MakeStep(4, 16'000, seconds(6))}));
  cell->Time().RunFor(milliseconds(500));
  SimJob* gang = cell->SubmitTo(QueueName("reviews"),
                                MakeGang(14, 4000, milliseconds(800)), 0);
  cell->Time().RunFor(seconds(6));
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(4)));
  CheckInvariants(cell.get());
}

// A gang is placed, and the store answers late, or not for some seconds, before
// its start is written down. By then the permissions had lapsed: the workers
// refused every start of 23 such gangs, and each began to gather its room anew.
BOOST_AUTO_TEST_CASE(permissions_that_lapse_before_the_start_are_renewed) {
  const auto cell =
      SimCell::Builder().Workers(4).Queue(MakeSlowPolicyQueue(), 1.0).Build();
  SimJob* gang = cell->SubmitTo(QueueName("reviews"),
                                MakeGang(12, 4000, milliseconds(800)), 0);
  cell->Time().RunFor(milliseconds(590));
  cell->Store().latency = milliseconds(450);
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(6)));
  BOOST_TEST(cell->Log().Count("start-not-done") == 0U);
  CheckInvariants(cell.get());
}

// A gang's start gets no answer while its owner is cut off from the workers,
// and when it arrives the permission has lapsed: the worker turns it down. The
// gang knew one permitted worker with room enough, so it asked about no other,
// and took no room there either, since a permission that was turned down did
// not count for that. It waited for good, in an empty cell.
BOOST_AUTO_TEST_CASE(a_gang_whose_permission_was_rejected_starts) {
  const auto cell = SimCell::Builder()
                        .Processes(1)
                        .Workers(1)
                        .Advice(1.0, milliseconds(60))
                        .Build();
  SimJob* gang = cell->Submit(MakeGang(2, 4000, milliseconds(800)));
  cell->Time().RunFor(milliseconds(50));
  cell->ProcessAt(0)->workers_cut = true;
  cell->Time().RunFor(seconds(3));
  BOOST_TEST(cell->Log().Count("step-placed") == 1U);
  cell->ProcessAt(0)->workers_cut = false;
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(15)));
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
