#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "check_invariants.h"
#include "job_sim/sim_cell.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeSpec;
using job_sim::MakeStep;
using job_sim::SimCell;
using job_sim::SimJob;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A step that may begin must not wait longer while at least half of the cell
/// is free and the step would fit twice.
constexpr Duration kMaxIdleTime = seconds(3);

/// A queue whose policy service takes over a second for 70 workers.
Queue MakePolicyQueue() {
  Queue queue;
  queue.name = QueueName("batches");
  queue.host = "batches.example";
  queue.path_prefix = "/batches/";
  queue.priority = 1;
  queue.max_attempts = 3;
  queue.stretch = 20.0;
  queue.target = seconds(1);
  queue.advice =
      AdvicePolicy{milliseconds(572), microseconds(8060), milliseconds(2000)};
  return queue;
}

struct Fixture {
  /// Fills so much of each worker with tasks that last much longer than they
  /// declare.
  void FillWorkers(std::int64_t cpu_milli) {
    Step step = MakeStep(kWorkers, cpu_milli, seconds(1));
    step.max_per_worker = 1;
    SimJob* job = cell->Submit(MakeSpec({step}));
    job->length_factor = 60.0;
    cell->Time().RunFor(seconds(2));
  }

  /// Submits gangs with tasks of 4.5 cores at one moment.
  void SubmitGangs(int count, std::int32_t tasks) {
    Step step = MakeStep(tasks, 4500, seconds(4));
    step.each.memory_mb = 9100;
    step.gang = true;
    for (int i = 0; i < count; ++i) {
      gangs.push_back(
          cell->SubmitTo(QueueName("batches"), MakeSpec({step}), 0));
    }
    submitted = cell->Time().Now();
  }

  /// @return how long the last of the gangs waited for its start; more than
  ///   `kMaxIdleTime` if it has not started by then
  Duration LongestWait() {
    cell->Time().RunFor(2 * kMaxIdleTime);
    Duration longest{0};
    for (const SimJob* gang : gangs) {
      const Instant now = cell->Time().Now();
      longest = std::max<Duration>(longest,
                                   gang->first_start.value_or(now) - submitted);
    }
    return longest;
  }

  static constexpr std::int32_t kWorkers = 350;
  std::unique_ptr<SimCell> cell = SimCell::Builder()
                                      .Processes(36)
                                      .Workers(kWorkers)
                                      .Capacity(16'000, 65'536)
                                      .WorkersPerRack(8)
                                      .StoreWrites(1200)
                                      .Queue(MakePolicyQueue(), 0.3)
                                      .Build();
  std::vector<SimJob*> gangs;
  Instant submitted;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_idle_step, Fixture)

// Guards against gangs that have nothing running for seconds in an empty cell,
// because they ask about the same workers and wait for each other.
BOOST_AUTO_TEST_CASE(gangs_submitted_together_start_in_an_empty_cell) {
  // 40 % of the cell.
  SubmitGangs(20, 25);
  BOOST_TEST((LongestWait() < kMaxIdleTime));
  CheckInvariants(cell.get());
}

// The same beside other work.
BOOST_AUTO_TEST_CASE(gangs_submitted_together_start_beside_other_work) {
  FillWorkers(3200);
  // 24 % of the cell beside the 20 % that are used.
  SubmitGangs(12, 25);
  BOOST_TEST((LongestWait() < kMaxIdleTime));
  CheckInvariants(cell.get());
}

// Guards against a gang that neither starts nor asks about free workers while
// wider gangs hold part of those that it knows.
BOOST_AUTO_TEST_CASE(a_gang_asks_about_workers_that_no_other_gang_holds) {
  FillWorkers(3200);
  // Each waits for the tasks of the first job on all workers permitted to it.
  SubmitGangs(2, 240);
  cell->Time().RunFor(seconds(2));
  BOOST_TEST((LongestWait() > kMaxIdleTime));
  gangs.clear();
  SubmitGangs(1, 40);
  BOOST_TEST((LongestWait() < kMaxIdleTime));
  CheckInvariants(cell.get());
}

// Guards against tasks that must run on different workers and wait for each
// other, because capacity beside one of them counts when they could ask.
BOOST_AUTO_TEST_CASE(tasks_on_different_workers_ask_about_enough_of_them) {
  Step step = MakeStep(60, 1000, seconds(20));
  step.max_per_worker = 1;
  SimJob* job = cell->SubmitTo(QueueName("batches"), MakeSpec({step}), 0);
  cell->Time().RunFor(2 * kMaxIdleTime);
  BOOST_TEST(cell->Judge().Runs() == 60);
  BOOST_TEST(cell->AwaitFinal(job->job.id, seconds(30)));
  CheckInvariants(cell.get());
}

// Guards against small work that starts nowhere while a wide gang waits for
// tasks that last longer than declared and holds all capacity meanwhile.
BOOST_AUTO_TEST_CASE(
    small_work_starts_beside_a_gang_that_waits_for_late_tasks) {
  FillWorkers(3200);
  Step wide = MakeStep(710, 4500, seconds(4));
  wide.gang = true;
  cell->Submit(MakeSpec({wide}));
  cell->Time().RunFor(seconds(2));
  for (int i = 0; i < 10; ++i) {
    gangs.push_back(cell->Submit(MakeSpec({MakeStep(1, 1000, seconds(2))})));
  }
  submitted = cell->Time().Now();
  BOOST_TEST((LongestWait() < kMaxIdleTime));
  CheckInvariants(cell.get());
}

// Guards against gangs that start a few at a time after the cell has emptied,
// because capacity is reserved for a few of them while the others, whose
// permissions have lapsed too, wait.
BOOST_AUTO_TEST_CASE(
    gangs_with_lapsed_permissions_start_when_the_cell_empties) {
  Step step = MakeStep(kWorkers, 16'000, seconds(10));
  step.max_per_worker = 1;
  const SimJob* other = cell->Submit(MakeSpec({step}));
  cell->Time().RunFor(seconds(2));
  // 40 % of the cell.
  SubmitGangs(20, 25);
  cell->Time().RunFor(seconds(8));
  while (!other->done_at) cell->Time().RunFor(milliseconds(10));
  submitted = *other->done_at;
  BOOST_TEST((LongestWait() < kMaxIdleTime));
  CheckInvariants(cell.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
