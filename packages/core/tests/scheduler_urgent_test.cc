#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "scheduler_test_cell.h"

namespace mustardproxy {
namespace {

using test::kSmallTask;
using test::Numbered;
using test::TestCell;

struct Cell : TestCell {
  Cell() : TestCell(4) {
    this->AddProfile("urgent", 0, std::chrono::seconds(2));
    this->AddProfile("deferred", 3).preemptible = true;
    this->AddService("screen", "urgent", kSmallTask).expected_run =
        std::chrono::seconds(1);
    this->AddService("wide", "urgent", {4000, 4000, 0, 1});
    this->AddService("rota", "deferred", kSmallTask).expected_run =
        std::chrono::minutes(5);
    this->AddService("gang", "deferred", kSmallTask, 4);
    this->AddTeam("a");
    this->Configure();
  }
  /// Runs urgent tasks of 1 s, four per second, for 30 s.
  void RunUrgent() {
    for (int i = 0; i < 120; ++i) {
      this->now += std::chrono::milliseconds(250);
      (void)this->Enqueue(Numbered("u", i), "screen");
      (void)this->Schedule();
      if (i >= 4) this->EndTask(TaskId(Numbered("u", i - 4) + "/0/1"));
    }
    for (int i = 116; i < 120; ++i) {
      this->EndTask(TaskId(Numbered("u", i) + "/0/1"));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_urgent, Cell)

// Failure: urgent requests wait for minutes because no capacity is kept free
// and deferred tasks of 5 minutes take every slot during a short gap between
// urgent requests. Urgent requests arrived steadily before, and arrive again.
BOOST_AUTO_TEST_CASE(deferred_work_leaves_headroom_for_urgent_arrivals) {
  this->RunUrgent();
  this->EnqueueMany("r", 100, "rota");
  const std::size_t placed = this->Schedule().size();
  BOOST_TEST(placed <= 28);
  BOOST_TEST(placed >= 16);
  for (int i = 0; i < 4; ++i) (void)this->Enqueue(Numbered("v", i), "screen");
  BOOST_TEST(this->Schedule().size() == 4);
}

BOOST_AUTO_TEST_CASE(headroom_shrinks_when_urgent_work_stops) {
  this->RunUrgent();
  this->EnqueueMany("r", 100, "rota");
  std::size_t placed = this->Schedule().size();
  BOOST_TEST(placed < 32);
  BOOST_TEST(this->scheduler.NextWakeup().has_value());
  this->now += std::chrono::minutes(2);
  placed += this->Schedule().size();
  BOOST_TEST(placed == 32);
}

BOOST_AUTO_TEST_CASE(without_urgent_arrivals_nothing_is_kept_free) {
  this->EnqueueMany("r", 100, "rota");
  BOOST_TEST(this->Schedule().size() == 32);
}

BOOST_AUTO_TEST_CASE(victims_are_selected_once_and_only_as_many_as_needed) {
  this->EnqueueMany("r", 32, "rota");
  (void)this->Schedule();
  (void)this->Enqueue("u0", "screen");
  (void)this->Enqueue("u1", "screen");
  BOOST_TEST(this->Schedule().empty());
  const auto victims = this->scheduler.ChooseVictims(this->now, this->ledger);
  BOOST_TEST(victims.size() == 2);
  BOOST_TEST(this->scheduler.ChooseVictims(this->now, this->ledger).empty());
  for (const Preemption& victim : victims) this->EndTask(victim.task);
  BOOST_TEST(this->Schedule().size() == 2);
  BOOST_TEST(this->scheduler.ChooseVictims(this->now, this->ledger).empty());
}

BOOST_AUTO_TEST_CASE(victims_for_one_task_share_a_worker) {
  this->EnqueueMany("r", 32, "rota");
  (void)this->Schedule();
  (void)this->Enqueue("u", "wide");
  const auto victims = this->scheduler.ChooseVictims(this->now, this->ledger);
  BOOST_REQUIRE(victims.size() == 4);
  std::set<WorkerId> workers;
  for (const Preemption& victim : victims) workers.insert(victim.worker);
  BOOST_TEST(workers.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_gang_is_preempted_as_a_whole) {
  this->EnqueueMany("g", 8, "gang");
  BOOST_TEST(this->Schedule().size() == 32);
  (void)this->Enqueue("u", "screen");
  const auto victims = this->scheduler.ChooseVictims(this->now, this->ledger);
  BOOST_REQUIRE(victims.size() == 4);
  for (const Preemption& victim : victims) {
    BOOST_TEST(victim.request == victims[0].request);
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_preempted_while_capacity_is_free) {
  this->EnqueueMany("r", 31, "rota");
  (void)this->Schedule();
  (void)this->Enqueue("u", "screen");
  BOOST_TEST(this->scheduler.ChooseVictims(this->now, this->ledger).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
