#include <boost/test/unit_test.hpp>
#include <string>

#include "scheduler_test_cell.h"

namespace mustardproxy {
namespace {

using test::kSmallTask;
using test::Numbered;
using test::TestCell;

struct Cell : TestCell {
  Cell() : TestCell(1) {
    this->AddProfile("first", 1);
    this->AddProfile("second", 2);
    this->AddService("one", "first", kSmallTask);
    this->AddService("two", "second", kSmallTask);
    this->AddTeam("a");
    this->Configure();
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_queue, Cell)

BOOST_AUTO_TEST_CASE(a_wave_of_cancellations_leaves_the_rest_in_order) {
  this->EnqueueMany("q", 5000, "one");
  for (int i = 0; i < 5000; ++i) {
    if (i % 1000 != 999) {
      BOOST_TEST(this->scheduler.Cancel(RequestId(Numbered("q", i))));
    }
  }
  BOOST_TEST(this->scheduler.QueuedCount() == 5);
  const auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 5);
  BOOST_TEST(placed[0].request == RequestId("q999"));
  BOOST_TEST(placed[4].request == RequestId("q4999"));
}

// Failure: after thousands of cancellations, an urgent request waits for
// milliseconds. Callers cancel in the order of their deadlines, so all nodes at
// the top of the heap are stale and are popped separately. Removing them all at
// once must keep the order and the deadlines of the other requests.
BOOST_AUTO_TEST_CASE(many_cancellations_in_deadline_order_keep_the_order) {
  for (int i = 0; i < 1000; ++i) {
    (void)this->Enqueue(Numbered("q", i), "one", "a",
                        std::chrono::seconds(10 + i), true);
  }
  for (int i = 0; i < 400; ++i) {
    BOOST_TEST(this->scheduler.Cancel(RequestId(Numbered("q", i))));
  }
  BOOST_TEST(this->scheduler.Expire(this->now).empty());
  const auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 8);
  BOOST_TEST(placed.front().request == RequestId("q400"));
  BOOST_TEST(placed.back().request == RequestId("q407"));
  this->now += std::chrono::seconds(10 + 419);
  const auto expired = this->scheduler.Expire(this->now);
  BOOST_REQUIRE(expired.size() == 12);
  BOOST_TEST(expired.front() == RequestId("q408"));
  BOOST_TEST(expired.back() == RequestId("q419"));
}

BOOST_AUTO_TEST_CASE(a_cancelled_slot_can_be_reused) {
  (void)this->Enqueue("q", "one");
  BOOST_TEST(this->scheduler.Cancel(RequestId("q")));
  (void)this->Enqueue("r", "two");
  (void)this->Enqueue("q", "one");
  const auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 2);
  BOOST_TEST(placed[0].request == RequestId("q"));
}

BOOST_AUTO_TEST_CASE(a_request_that_is_queued_already_is_not_queued_again) {
  (void)this->Enqueue("q", "one");
  BOOST_TEST(!this->Enqueue("q", "one").refusal);
  BOOST_TEST(this->Schedule().size() == 1);
}

BOOST_AUTO_TEST_CASE(expired_requests_are_returned_and_never_placed) {
  (void)this->Enqueue("soon", "one", "a", std::chrono::seconds(1));
  (void)this->Enqueue("late", "one", "a", std::chrono::seconds(9));
  this->now += std::chrono::seconds(1);
  const auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 1);
  BOOST_TEST(placed[0].request == RequestId("late"));
  const auto expired = this->scheduler.Expire(this->now);
  BOOST_REQUIRE(expired.size() == 1);
  BOOST_TEST(expired[0] == RequestId("soon"));
  BOOST_TEST(this->scheduler.QueuedCount() == 0);
}

BOOST_AUTO_TEST_CASE(a_limited_pass_requests_another_wakeup) {
  this->EnqueueMany("q", 8, "one");
  BOOST_TEST(this->Schedule(3).size() == 3);
  BOOST_REQUIRE(this->scheduler.NextWakeup().has_value());
  BOOST_TEST((*this->scheduler.NextWakeup() <= this->now));
  BOOST_TEST(this->Schedule().size() == 5);
}

BOOST_AUTO_TEST_CASE(a_change_of_priority_reorders_what_is_queued) {
  this->EnqueueMany("one", 8, "one");
  this->EnqueueMany("two", 8, "two");
  this->AddProfile("second", 0);
  this->Configure();
  const auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 8);
  BOOST_TEST(placed[0].request == RequestId("two0"));
  BOOST_TEST(this->scheduler.QueuedCount() == 8);
}

BOOST_AUTO_TEST_CASE(a_service_that_is_removed_keeps_what_is_queued) {
  (void)this->Enqueue("q", "one");
  this->configuration.services.erase(ServiceId("one"));
  this->Configure();
  BOOST_TEST(static_cast<bool>(this->Enqueue("r", "one").refusal));
  BOOST_TEST(this->Schedule().size() == 1);
}

BOOST_AUTO_TEST_CASE(an_avoided_worker_does_not_block_others) {
  QueuedRequest restricted;
  restricted.request = RequestId("restricted");
  restricted.service = ServiceId("one");
  restricted.team = TeamId("a");
  restricted.placement_deadline = this->now + std::chrono::seconds(1);
  restricted.avoid = {WorkerId("w0")};
  BOOST_TEST(
      !this->scheduler.Enqueue(this->now, this->ledger, restricted).refusal);
  (void)this->Enqueue("unrestricted", "one");
  const auto placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 1);
  BOOST_TEST(placed[0].request == RequestId("unrestricted"));
  this->AddWorker("w1");
  const auto later = this->Schedule();
  BOOST_REQUIRE(later.size() == 1);
  BOOST_TEST(later[0].worker == WorkerId("w1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
