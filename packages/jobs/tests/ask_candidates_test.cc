#include "ask_candidates.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

constexpr std::int64_t kWhole = 16'000;

/// Workers of which every tenth is in use and half free.
struct Fixture {
  void Fill(std::size_t count) {
    this->sessions.clear();
    this->capacities.clear();
    this->workers.clear();
    for (std::size_t i = 0; i < count; ++i) {
      WorkerInfo info;
      std::string id = "w";
      id += std::to_string(i);
      info.incarnation.id = WorkerId(id);
      info.capacity.cpu_milli = kWhole;
      this->sessions.push_back(std::make_unique<WorkerSession>(
          static_cast<SessionNumber>(i), info, Instant(), Instant::min()));
      auto capacity = std::make_unique<WorkerCapacity>();
      capacity->session = this->sessions.back().get();
      capacity->in_use = i % 10 == 0;
      capacity->free.cpu_milli = capacity->in_use ? kWhole / 2 : kWhole;
      this->workers.push_back(capacity.get());
      this->capacities.push_back(std::move(capacity));
    }
  }
  std::vector<Candidate> Select(std::size_t first = 0) {
    return SelectAskCandidates({.step = &this->step,
                                .tasks = this->step.tasks,
                                .advice = &this->advice,
                                .permitted_share = 0.5,
                                .end = Instant(),
                                .workers = this->workers,
                                .permitted = this->permitted,
                                .in_flight = this->in_flight,
                                .first = first});
  }
  Fixture() {
    this->step.tasks = 4;
    this->step.each.cpu_milli = 3000;
  }

  Step step;
  StepAdvice advice;
  std::vector<std::unique_ptr<WorkerSession>> sessions;
  std::vector<std::unique_ptr<WorkerCapacity>> capacities;
  std::vector<WorkerCapacity*> workers;
  std::vector<WorkerCapacity*> permitted;
  std::vector<std::uint16_t> in_flight;
};

bool AllInUse(const std::vector<Candidate>& candidates) {
  return std::all_of(candidates.begin(), candidates.end(),
                     [](const Candidate& one) { return one.capacity->in_use; });
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ask_candidates, Fixture)

// Guards against questions that each examine every worker: what is examined in
// a large cell does not grow with it, whether much capacity is free or none.
BOOST_AUTO_TEST_CASE(the_number_examined_does_not_grow_with_the_cell) {
  std::set<std::size_t> with_capacity;
  std::set<std::size_t> without_capacity;
  for (const std::size_t workers : {4000, 12'000}) {
    Fill(workers);
    with_capacity.insert(Select().size());
    for (WorkerCapacity* one : this->workers) one->free.cpu_milli = 100;
    without_capacity.insert(Select().size());
  }
  BOOST_TEST(with_capacity.size() == 1U);
  BOOST_TEST(*with_capacity.begin() <= 2 * kMaxAdviceWorkers);
  BOOST_TEST(without_capacity.size() == 1U);
  BOOST_TEST(*without_capacity.begin() == kMaxExaminedWorkers);
}

// Up to that size a question may be about any worker.
BOOST_AUTO_TEST_CASE(all_workers_of_a_small_cell_are_examined) {
  Fill(kMaxExaminedWorkers);
  BOOST_TEST(Select().size() == kMaxExaminedWorkers);
}

// Guards against tasks spread over as many workers as there are tasks, each of
// which costs the owner a connection and regular orders.
BOOST_AUTO_TEST_CASE(tasks_are_kept_on_workers_in_use_while_these_suffice) {
  Fill(4000);
  BOOST_TEST(AllInUse(Select()));
  step.tasks = 1000;
  const std::vector<Candidate> wide = Select();
  BOOST_TEST(!AllInUse(wide));
}

// A gang needs its capacity at one moment.
BOOST_AUTO_TEST_CASE(a_gang_begins_with_idle_workers) {
  Fill(4000);
  step.gang = true;
  const std::vector<Candidate> candidates = Select();
  BOOST_TEST(
      std::none_of(candidates.begin(), candidates.end(),
                   [](const Candidate& one) { return one.capacity->in_use; }));
}

// Guards against steps that all ask about the same workers, of which the first
// to start leaves the others nothing.
BOOST_AUTO_TEST_CASE(steps_begin_at_different_workers) {
  Fill(4000);
  const auto first_of = [&](std::size_t first) {
    return Select(first).front().capacity;
  };
  BOOST_TEST(first_of(0) != first_of(1000));
  // Idle ones are shared by what other steps are asking about.
  step.gang = true;
  const WorkerCapacity* idle = first_of(0);
  BOOST_TEST(idle == first_of(1000));
  in_flight.resize(idle->session->Number() + 1);
  in_flight.back() = 1;
  BOOST_TEST(idle != first_of(0));
}

// Guards against a question that forgets which workers are permitted and asks
// for more than the step needs.
BOOST_AUTO_TEST_CASE(workers_known_to_be_permitted_are_always_among_them) {
  Fill(4000);
  permitted = {workers[3999], workers[17]};
  for (const WorkerCapacity* one : permitted) {
    advice.permitted.push_back({one->session->Number(), {}});
  }
  const std::vector<Candidate> candidates = Select();
  for (const WorkerCapacity* one : permitted) {
    BOOST_TEST(std::count_if(candidates.begin(), candidates.end(),
                             [&](const Candidate& candidate) {
                               return candidate.capacity == one;
                             }) == 1);
  }
}

// Guards against a step in a full cell that asks about the same workers again
// and again, while others come free.
BOOST_AUTO_TEST_CASE(a_full_cell_is_examined_part_by_part) {
  constexpr std::size_t kWorkers = 5000;
  Fill(kWorkers);
  for (WorkerCapacity* one : workers) one->free.cpu_milli = 100;
  std::set<const WorkerCapacity*> seen;
  for (std::size_t first = 0; first < kWorkers; first += kMaxExaminedWorkers) {
    for (const Candidate& one : Select(first)) seen.insert(one.capacity);
  }
  BOOST_TEST(seen.size() == kWorkers);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
