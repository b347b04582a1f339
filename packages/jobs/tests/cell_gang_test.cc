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

/// A queue whose policy service takes 0.6 s for an answer that is valid for 0.4
/// s.
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

/// Submits a job of `spec` every second, `count` times.
void SubmitEachSecond(SimCell* cell, const JobSpec& spec, int count) {
  for (int i = 0; i < count; ++i) {
    cell->Time().After(seconds(i), [cell, spec] { cell->Submit(spec); });
  }
}

/// @return the number of answered questions to the policy service for a job
std::ptrdiff_t CountQuestions(SimCell* cell, const SimJob& job) {
  const std::string step = "step=" + job.job.id.Text() + ".0.0 ";
  const auto& lines = cell->Log().Lines();
  return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
    return line.find("permissions " + step) != std::string::npos;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_gang)

// A wide gang waits for capacity while its permissions expire. When capacity is
// free it renews them, urgent tasks take part of the capacity while the
// question is answered, and the permissions have expired again when those tasks
// end. One such step had 24 renewals in 13 s, each fully granted, and the
// widest gangs never started.
BOOST_AUTO_TEST_CASE(gang_capacity_is_kept_while_permissions_are_requested) {
  const auto cell =
      SimCell::Builder().Workers(4).Queue(MakeSlowPolicyQueue(), 1.0).Build();
  cell->Submit(MakeSpec({MakeStep(4, 4000, seconds(3))}));
  // For half of each second, the gang of 56 cores fits beside it into 64.
  SubmitEachSecond(cell.get(), MakeSpec({MakeStep(4, 4000, milliseconds(500))}),
                   20);
  cell->Time().RunFor(milliseconds(100));
  SimJob* gang = cell->SubmitTo(QueueName("reviews"),
                                MakeGang(14, 4000, milliseconds(800)), 0);
  BOOST_TEST(cell->AwaitFinal(gang->job.id, seconds(8)));
  BOOST_TEST(CountQuestions(cell.get(), *gang) <= 2);
  CheckInvariants(cell.get());
}

// A gang is too late to have any value, its permissions have expired, and then
// the cell becomes idle. It has to start, because its caller still waits for
// the end.
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
// its start is stored. The permissions have expired by then: the workers
// refused every start of 23 such gangs, and each had to gather its capacity
// again.
BOOST_AUTO_TEST_CASE(permissions_that_expire_before_the_start_are_renewed) {
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
// and when it arrives the permission has expired, so the worker rejects it. The
// gang knew one permitted worker with enough capacity, so it asked about no
// other. It took no capacity there either, since a rejected permission did not
// count for that, and it waited forever in an idle cell.
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
