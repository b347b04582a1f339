#include "advice_selection.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "job_sim/sim_cell.h"
#include "options.h"

namespace mustardproxy::jobs {
namespace {

using job_sim::MakeStep;

constexpr Instant kNow{seconds(1000)};
constexpr Instant kAnswerDue = kNow + milliseconds(600);

/// Workers with capacity for a number of tasks of 1000 milli-CPU each.
struct Fixture {
  SessionNumber Add(std::int64_t tasks) {
    WorkerInfo info;
    const auto number = static_cast<SessionNumber>(this->sessions.size());
    info.incarnation.id = WorkerId(std::to_string(number));
    info.capacity = {16'000, 64'000, 0, 0};
    this->sessions.push_back(std::make_unique<WorkerSession>(
        number, info, Instant(), Instant::min()));
    auto capacity = std::make_unique<WorkerCapacity>();
    capacity->session = this->sessions.back().get();
    capacity->free = {tasks * 1000, 64'000, 0, 0};
    this->capacities.push_back(std::move(capacity));
    return number;
  }
  void Permit(SessionNumber session, Instant expires) {
    this->advice.permitted.push_back({session, {"ticket", expires}});
  }
  std::vector<SessionNumber> Choose(std::int32_t tasks, bool gang) {
    Step step = MakeStep(tasks, 1000, seconds(1));
    step.gang = gang;
    AdviceSelectionInput input;
    input.step = &step;
    input.tasks = tasks;
    input.advice = &this->advice;
    input.permitted_share = 0.5;
    input.workers_per_fixed_cost = this->workers_per_fixed_cost;
    input.now = kNow;
    input.answer_due = kAnswerDue;
    input.in_flight = this->in_flight;
    input.must_start = this->must_start;
    std::vector<Candidate> candidates;
    for (const auto& capacity : this->capacities) {
      candidates.push_back({.capacity = capacity.get()});
    }
    std::vector<SessionNumber> chosen;
    for (const AskedWorker& worker : SelectWorkersToAsk(input, candidates)) {
      chosen.push_back(worker.session);
    }
    return chosen;
  }

  std::vector<std::unique_ptr<WorkerSession>> sessions;
  std::vector<std::unique_ptr<WorkerCapacity>> capacities;
  StepAdvice advice;
  std::vector<std::uint16_t> in_flight;
  bool must_start = false;
  std::size_t workers_per_fixed_cost = 0;
};

bool Contains(const std::vector<SessionNumber>& all, SessionNumber one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(advice_selection, Fixture)

BOOST_AUTO_TEST_CASE(a_first_question_covers_workers_with_most_capacity) {
  for (int i = 0; i < 20; ++i) Add(1);
  const SessionNumber roomy = Add(8);
  const auto chosen = Choose(2, false);
  BOOST_TEST(chosen.size() == 6U);
  BOOST_TEST(chosen.front() == roomy);
}

// Guards against steps that ask about the same workers at the same time.
BOOST_AUTO_TEST_CASE(workers_that_are_being_asked_about_come_last) {
  for (int i = 0; i < 12; ++i) Add(1);
  in_flight.assign(6, 1);
  const auto chosen = Choose(2, true);
  BOOST_REQUIRE(chosen.size() >= 6U);
  for (std::size_t i = 0; i < 6; ++i) BOOST_TEST(chosen[i] >= 6U);
}

// The same where those have more capacity.
BOOST_AUTO_TEST_CASE(capacity_that_many_ask_about_counts_less) {
  for (int i = 0; i < 6; ++i) Add(3);
  for (int i = 0; i < 6; ++i) Add(2);
  in_flight.assign(6, 19);
  const auto chosen = Choose(8, true);
  BOOST_REQUIRE(!chosen.empty());
  BOOST_TEST(chosen.front() >= 6U);
}

// Guards against separate tasks that ask about no free worker while others hold
// those that they know, because not all of them could start.
BOOST_AUTO_TEST_CASE(separate_tasks_ask_about_part_of_their_capacity) {
  for (int i = 0; i < 40; ++i) Add(1);
  must_start = true;
  BOOST_TEST(!Choose(100, false).empty());
  BOOST_TEST(Choose(100, true).empty());
}

BOOST_AUTO_TEST_CASE(workers_without_capacity_are_not_asked_about) {
  for (int i = 0; i < 10; ++i) Add(0);
  const SessionNumber only = Add(1);
  const auto chosen = Choose(4, false);
  BOOST_REQUIRE(chosen.size() == 1U);
  BOOST_TEST(chosen.front() == only);
}

// An answer of the policy service stays valid. Repeated questions about refused
// workers took time that other steps needed.
BOOST_AUTO_TEST_CASE(refused_workers_are_never_asked_about_again) {
  for (int i = 0; i < 10; ++i) Add(2);
  advice.refused = {0, 1, 2, 3};
  const auto chosen = Choose(20, false);
  BOOST_TEST(chosen.size() == 6U);
  for (const SessionNumber refused : advice.refused) {
    BOOST_TEST(!Contains(chosen, refused));
  }
}

// A gang knows workers that may run it, and its permissions expired while it
// waited for capacity. It asks about those workers only, which is quick.
BOOST_AUTO_TEST_CASE(a_gang_that_fits_where_it_may_run_renews_only) {
  for (int i = 0; i < 30; ++i) Add(4);
  for (SessionNumber i = 0; i < 6; ++i) Permit(i, kNow - seconds(1));
  const auto chosen = Choose(8, true);
  BOOST_TEST(chosen.size() == 3U);
  for (const SessionNumber one : chosen) BOOST_TEST(one < 6U);
}

BOOST_AUTO_TEST_CASE(a_gang_that_does_not_fit_asks_about_others) {
  for (int i = 0; i < 30; ++i) Add(1);
  for (SessionNumber i = 0; i < 4; ++i) Permit(i, kAnswerDue + seconds(1));
  const auto chosen = Choose(8, true);
  BOOST_TEST(chosen.size() >= 8U);
  for (const SessionNumber one : chosen) BOOST_TEST(one >= 4U);
}

// In a nearly full cell, a gang that asks only about workers with free capacity
// learns about two at a time and asks a dozen times before it starts.
BOOST_AUTO_TEST_CASE(a_gang_also_asks_about_full_workers) {
  for (int i = 0; i < 40; ++i) Add(0);
  Add(1);
  Permit(40, kAnswerDue + seconds(1));
  workers_per_fixed_cost = 30;
  BOOST_TEST(Choose(8, true).size() == 40U);
  BOOST_TEST(Choose(8, false).empty());
}

BOOST_AUTO_TEST_CASE(nothing_is_asked_while_permissions_hold_for_all) {
  for (int i = 0; i < 10; ++i) Add(4);
  Permit(0, kAnswerDue + seconds(1));
  Permit(1, kAnswerDue + seconds(1));
  BOOST_TEST(Choose(8, false).empty());
  BOOST_TEST(!Choose(9, false).empty());
}

// One more worker costs a hundredth of the question: few questions about many
// workers use less of the policy service's time than many about few.
BOOST_AUTO_TEST_CASE(expensive_questions_cover_many_workers) {
  for (int i = 0; i < 200; ++i) Add(4);
  workers_per_fixed_cost = 60;
  BOOST_TEST(Choose(2, false).size() == 30U);
  Permit(0, kAnswerDue + seconds(1));
  BOOST_TEST(Choose(8, true).size() == 60U);
  workers_per_fixed_cost = 500;
  BOOST_TEST(Choose(8, true).size() == kMaxAdviceWorkers);
}

BOOST_AUTO_TEST_CASE(capacity_expected_to_be_free_counts) {
  const SessionNumber busy = Add(0);
  SessionRun record;
  record.resources = {2000, 0, 0, 0};
  record.expected_end = kNow + milliseconds(300);
  sessions[busy]->AddRun({{{JobId("j"), 0, 0}, 0}, 1}, record);
  BOOST_TEST(Choose(2, false).size() == 1U);
  // The remaining time of an overdue run is unknown.
  record.expected_end = kNow - milliseconds(1);
  sessions[busy]->RemoveRun({{{JobId("j"), 0, 0}, 0}, 1});
  sessions[busy]->AddRun({{{JobId("j"), 0, 0}, 0}, 1}, record);
  BOOST_TEST(Choose(2, false).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
