#include <boost/test/unit_test.hpp>
#include <map>

#include "scheduler_test_cell.h"

namespace mustardproxy {
namespace {

using test::kSmallTask;
using test::TestCell;

struct Cell : TestCell {
  Cell() : TestCell(4) {
    this->AddProfile("work", 1);
    this->AddService("task", "work", kSmallTask);
    this->AddService("heavy", "work", {1000, 4000, 0, 1});
    this->AddTeam("a");
    this->AddTeam("b");
    this->AddTeam("big", 3.0);
    this->Configure();
  }
  std::map<char, int> CountByTeam(const std::vector<Placement>& placements) {
    std::map<char, int> counts;
    for (const Placement& placed : placements) {
      ++counts[placed.request.Text()[0]];
    }
    return counts;
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_fair_share, Cell)

// Failure: the request of a small team waits for minutes behind the backlog of
// a large customer, because all teams share one queue in order of arrival. The
// large team has queued hundreds of requests before the small team's only one.
BOOST_AUTO_TEST_CASE(a_small_team_goes_before_a_large_backlog) {
  this->EnqueueMany("a", 500, "task", "a");
  BOOST_TEST(this->Schedule().size() == 32);
  BOOST_TEST(!this->Enqueue("b0", "task", "b").refusal);
  this->EndTask(TaskId("a0/0/1"));
  const auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 1);
  BOOST_TEST(placed[0].request == RequestId("b0"));
}

BOOST_AUTO_TEST_CASE(shares_follow_the_weights) {
  this->EnqueueMany("x", 100, "task", "big");
  this->EnqueueMany("a", 100, "task", "a");
  const auto counts = this->CountByTeam(this->Schedule());
  BOOST_TEST(counts.at('x') == 24);
  BOOST_TEST(counts.at('a') == 8);
}

BOOST_AUTO_TEST_CASE(the_dominant_resource_counts) {
  this->EnqueueMany("a", 100, "heavy", "a");
  this->EnqueueMany("b", 100, "task", "b");
  const auto counts = this->CountByTeam(this->Schedule());
  // 4000 MB of 32000 MB are the same share as 4 slots of 32.
  BOOST_TEST(counts.at('b') >= 3 * counts.at('a'));
}

BOOST_AUTO_TEST_CASE(a_quota_caps_what_a_team_runs) {
  this->AddTeam("a").quota = {0, 0, 0, 5};
  this->Configure();
  this->EnqueueMany("a", 20, "task", "a");
  this->EnqueueMany("b", 3, "task", "b");
  auto counts = this->CountByTeam(this->Schedule());
  BOOST_TEST(counts['a'] == 5);
  BOOST_TEST(counts['b'] == 3);
  this->EndTask(TaskId("a0/0/1"));
  BOOST_TEST(this->CountByTeam(this->Schedule())['a'] == 1);
}

BOOST_AUTO_TEST_CASE(a_task_found_at_a_takeover_counts_against_its_team) {
  this->AddTeam("a").quota = {0, 0, 0, 1};
  this->Configure();
  this->scheduler.AdoptRunningTask(
      this->now, TaskId("old/0/1"), RequestId("old"), ServiceId("task"),
      TeamId("a"), WorkerId("w0"), std::chrono::seconds(1));
  BOOST_TEST(!this->Enqueue("a0", "task", "a").refusal);
  BOOST_TEST(this->Schedule().empty());
  this->EndTask(TaskId("old/0/1"));
  BOOST_TEST(this->Schedule().size() == 1);
}

BOOST_AUTO_TEST_CASE(the_earliest_deadline_of_a_team_goes_first) {
  (void)this->Enqueue("late", "task", "a", std::chrono::seconds(60));
  (void)this->Enqueue("soon", "heavy", "a", std::chrono::seconds(30));
  (void)this->Enqueue("sooner", "task", "a", std::chrono::seconds(10));
  const auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 3);
  BOOST_TEST(placed[0].request == RequestId("sooner"));
  BOOST_TEST(placed[1].request == RequestId("soon"));
}

BOOST_AUTO_TEST_CASE(a_full_queue_keeps_places_for_teams_below_their_share) {
  this->AddProfile("work", 1).queue_limit = 50;
  this->Configure();
  this->EnqueueMany("b", 100, "task", "b");
  BOOST_TEST(this->scheduler.QueuedCount() == 45);
  BOOST_TEST(!this->Enqueue("a0", "task", "a").refusal);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
