#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <vector>

#include "scheduler_test_cell.h"

namespace mustardproxy {
namespace {

using test::kSmallTask;
using test::TestCell;

/// 32 slots; the guaranteed share of 15 % is just under 5 of them.
struct Cell : TestCell {
  Cell() : TestCell(4) {
    this->AddProfile("urgent", 0);
    this->AddProfile("standard", 1);
    this->AddProfile("deferred", 2);
    this->AddService("screen", "urgent", kSmallTask);
    this->AddService("review", "standard", kSmallTask);
    this->AddService("rota", "deferred", kSmallTask);
    this->AddService("match", "deferred", kSmallTask, 4);
    this->AddTeam("a");
    this->Configure();
  }
  /// @return number of placements of requests whose id starts with `prefix`
  static std::int64_t CountOf(const std::vector<Placement>& placements,
                              const std::string& prefix) {
    return std::ranges::count_if(placements, [&](const Placement& placed) {
      return placed.request.Text().starts_with(prefix);
    });
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_guarantee, Cell)

// Failure: deferred requests are accepted but never start, because standard
// requests arrive faster than the cell can run them and the lower priority gets
// only unused capacity.
BOOST_AUTO_TEST_CASE(deferred_work_gets_its_share_beside_standard_work) {
  this->EnqueueMany("s", 500, "review");
  this->EnqueueMany("d", 100, "rota");
  const auto placed = this->Schedule();
  BOOST_TEST(placed.size() == 32);
  BOOST_TEST(this->CountOf(placed, "d") == 5);
}

BOOST_AUTO_TEST_CASE(above_its_share_a_lower_priority_gets_no_preference) {
  this->EnqueueMany("s", 500, "review");
  this->EnqueueMany("d", 100, "rota");
  (void)this->Schedule();
  this->EndTask(TaskId("s0/0/1"));
  auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 1);
  BOOST_TEST(this->CountOf(placed, "s") == 1);
  this->EndTask(TaskId("d0/0/1"));
  placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 1);
  BOOST_TEST(this->CountOf(placed, "d") == 1);
}

BOOST_AUTO_TEST_CASE(urgent_work_goes_before_every_guarantee) {
  this->EnqueueMany("d", 100, "rota");
  this->EnqueueMany("s", 100, "review");
  this->EnqueueMany("u", 100, "screen");
  const auto placed = this->Schedule();
  BOOST_TEST(this->CountOf(placed, "u") == 32);
}

BOOST_AUTO_TEST_CASE(an_idle_priority_reserves_no_share) {
  this->EnqueueMany("s", 100, "review");
  BOOST_TEST(this->Schedule().size() == 32);
}

// Failure: a deferred gang that holds the reservation never starts, and single
// deferred tasks wait behind it, because standard work outranks the reservation
// although the gang's priority is below its guaranteed share. Each released
// slot then goes to a standard request before four slots are free.
BOOST_AUTO_TEST_CASE(
    a_gang_below_its_share_reserves_capacity_against_standard_work) {
  this->EnqueueMany("s", 500, "review");
  std::deque<TaskId> running;
  for (const Placement& placed : this->Schedule()) {
    running.push_back(placed.task);
  }
  (void)this->Enqueue("gang", "match");
  bool started = false;
  for (int i = 0; i < 20 && !started; ++i) {
    this->now += std::chrono::seconds(1);
    this->EndTask(running.front());
    running.pop_front();
    const auto placed = this->Schedule();
    started = this->CountOf(placed, "gang") == 4;
    for (const Placement& one : placed) running.push_back(one.task);
  }
  BOOST_TEST(started);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
