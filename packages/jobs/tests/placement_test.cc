#include "placement.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gang_hold.h"
#include "job_sim/sim_cell.h"
#include "options.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeStep;

constexpr Instant kNow{seconds(1000)};

/// Workers with free processors in milli-CPU, two per rack.
struct Fixture {
  void Add(std::int64_t free_cpu) {
    WorkerInfo info;
    const std::size_t number = this->sessions.size();
    info.incarnation.id = WorkerId("w" + std::to_string(number));
    info.rack = "r" + std::to_string(number / 2);
    info.capacity = {16'000, 64'000, 0, 0};
    this->sessions.push_back(std::make_unique<WorkerSession>(
        static_cast<SessionNumber>(number), info, Instant(), Instant::min()));
    WorkerCapacity capacity;
    capacity.session = this->sessions.back().get();
    capacity.free = {free_cpu, 64'000, 0, 0};
    this->capacities.push_back(capacity);
  }

  std::vector<Candidate> Candidates() {
    std::vector<Candidate> candidates;
    for (WorkerCapacity& capacity : this->capacities)
      candidates.push_back({.capacity = &capacity});
    return candidates;
  }

  std::map<std::string, int> Place(const Step& step) {
    std::vector<Candidate> candidates = this->Candidates();
    std::map<std::string, int> counts;
    for (const WorkerIncarnation& worker :
         PlaceTasks(step, step.tasks, candidates)) {
      ++counts[worker.id.Text()];
    }
    return counts;
  }

  /// Adds a running task that is expected to end at `end`.
  void Run(std::size_t worker, std::int64_t cpu, Instant end) {
    SessionRun record;
    record.resources = {cpu, 0, 0, 0};
    record.expected_end = end;
    const RunRef run{{{JobId("j"), 0, 0}, this->next++}, 1};
    this->sessions[worker]->AddRun(run, record);
  }

  std::vector<std::unique_ptr<WorkerSession>> sessions;
  std::vector<WorkerCapacity> capacities;
  std::int32_t next = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(placement, Fixture)

BOOST_AUTO_TEST_CASE(a_gang_is_placed_whole_or_not_at_all) {
  Add(4000);
  Add(4000);
  Step step = MakeStep(5, 2000, seconds(1));
  step.gang = true;
  BOOST_TEST(Place(step).empty());
  // The failed attempt took nothing.
  BOOST_TEST(capacities[0].free.cpu_milli == 4000);
  step.tasks = 4;
  BOOST_TEST(Place(step).size() == 2U);
}

BOOST_AUTO_TEST_CASE(other_steps_take_what_room_there_is) {
  Add(4000);
  const Step step = MakeStep(5, 2000, seconds(1));
  BOOST_TEST(Place(step)["w0"] == 2);
  BOOST_TEST(capacities[0].free.cpu_milli == 0);
}

BOOST_AUTO_TEST_CASE(best_fit_keeps_large_gaps_whole) {
  Add(16'000);
  Add(2500);
  BOOST_TEST(Place(MakeStep(1, 2000, seconds(1)))["w1"] == 1);
}

BOOST_AUTO_TEST_CASE(the_rack_of_the_data_comes_first) {
  for (int i = 0; i < 4; ++i) Add(4000);
  Step step = MakeStep(3, 2000, seconds(1));
  step.near_rack = "r1";
  auto placed = Place(step);
  BOOST_TEST(placed["w2"] + placed["w3"] == 3);
  step.tasks = 3;
  placed = Place(step);
  BOOST_TEST(placed["w2"] + placed["w3"] == 1);
  BOOST_TEST(placed["w0"] + placed["w1"] == 2);
}

BOOST_AUTO_TEST_CASE(a_gang_gets_one_rack_if_one_holds_it) {
  Add(4000);
  Add(4000);
  Add(8000);
  Add(8000);
  Step step = MakeStep(8, 2000, seconds(1));
  step.gang = true;
  step.same_rack = true;
  auto placed = Place(step);
  BOOST_TEST(placed["w2"] == 4);
  BOOST_TEST(placed["w3"] == 4);
}

BOOST_AUTO_TEST_CASE(a_bound_on_tasks_per_worker_counts_those_there) {
  Add(16'000);
  Add(16'000);
  Step step = MakeStep(10, 100, seconds(1));
  step.max_per_worker = 2;
  std::vector<Candidate> candidates = Candidates();
  candidates[0].siblings = 1;
  BOOST_TEST(PlaceTasks(step, 10, candidates).size() == 3U);
}

BOOST_AUTO_TEST_CASE(best_effort_tasks_take_no_processors) {
  Add(0);
  Step step = MakeStep(2, 4000, seconds(1));
  step.best_effort = true;
  BOOST_TEST(Place(step)["w0"] == 2);
}

// A gang needs both workers completely. Small tasks would take each gap as it
// opens; only those that end before the gang's expected start may.
BOOST_AUTO_TEST_CASE(capacity_is_held_until_the_gang_should_fit) {
  Add(0);
  Add(8000);
  Run(0, 16'000, kNow + seconds(3));
  Run(1, 8000, kNow + seconds(5));
  Step step = MakeStep(2, 16'000, seconds(1));
  step.gang = true;
  std::vector<Candidate> candidates = Candidates();
  HoldCapacity(step, 2, candidates, kNow);
  BOOST_TEST(capacities[0].held);
  BOOST_TEST(capacities[1].held);
  BOOST_TEST((capacities[1].held_until == kNow + seconds(5)));
}

BOOST_AUTO_TEST_CASE(nothing_is_held_for_what_can_never_fit) {
  Add(8000);
  Step step = MakeStep(2, 16'000, seconds(1));
  step.gang = true;
  std::vector<Candidate> candidates = Candidates();
  HoldCapacity(step, 2, candidates, kNow);
  BOOST_TEST(!capacities[0].held);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
