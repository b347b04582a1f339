#include "call_queue.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace mustardproxy::http {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kShare = 4;
const Instant kStart = Instant() + std::chrono::seconds(100);
const std::string kAddress = "10.0.0.1:80";

struct Fixture {
  Fixture() { this->queue.SetShare(kShare); }

  static PendingCallPtr MakeCall(Lane lane,
                                 const std::string& address = kAddress) {
    auto call = std::make_shared<PendingCall>();
    call->exchange.address = address;
    call->exchange.lane = lane;
    call->due = kStart + milliseconds(250);
    return call;
  }
  /// @return calls that were admitted
  std::vector<PendingCallPtr> Push(Lane lane, std::size_t count, Instant now) {
    std::vector<PendingCallPtr> admitted;
    for (std::size_t i = 0; i < count; ++i) {
      const auto more = this->queue.Push(MakeCall(lane), now);
      admitted.insert(admitted.end(), more.begin(), more.end());
    }
    return admitted;
  }

  CallQueue queue;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(call_queue, Fixture)

BOOST_AUTO_TEST_CASE(a_burst_leaves_one_connection_to_reserved_calls) {
  BOOST_TEST(Push(Lane::kUsual, 10, kStart).size() == kShare - 1);
  BOOST_TEST(queue.Waiting() == 10 - (kShare - 1));
  BOOST_TEST(Push(Lane::kReserved, 1, kStart).size() == 1U);
  BOOST_TEST(queue.MaxIdle(kAddress) == 0U);
  BOOST_TEST(queue.Push(MakeCall(Lane::kUsual, "10.0.0.2:80"), kStart).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(a_call_that_ends_lets_the_next_follow_urgent_ones_first) {
  const auto first = Push(Lane::kUsual, kShare, kStart);
  BOOST_TEST(Push(Lane::kUrgent, 1, kStart).empty());
  queue.NoteEnded(*first.front());
  auto next = queue.TakeAdmitted(kAddress, kStart + milliseconds(5));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next.front()->exchange.lane == Lane::kUrgent));
  queue.NoteEnded(*next.front());
  next = queue.TakeAdmitted(kAddress, kStart + milliseconds(9));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next.front()->exchange.lane == Lane::kUsual));
  // Its timeout is that of a call, without the wait.
  BOOST_TEST((next.front()->due == kStart + milliseconds(250 + 9)));
  BOOST_TEST(queue.Waiting() == 0U);
}

// Guards against calls that wait behind connections that have fallen silent,
// while new ones work.
BOOST_AUTO_TEST_CASE(calls_without_a_reply_do_not_keep_others_from_connecting) {
  (void)Push(Lane::kUsual, 20, kStart);
  BOOST_TEST(queue.TakeAdmitted(kStart + milliseconds(29)).empty());
  const Instant overdue = kStart + CallQueue::kOverdue;
  BOOST_TEST(queue.TakeAdmitted(overdue).size() == kShare / 2);
  // Bounded as well, or a silent worker would be filled.
  for (Instant now = overdue; now < kStart + CallQueue::kMaxWait;
       now += milliseconds(5)) {
    BOOST_TEST(queue.TakeAdmitted(now).empty());
  }
  BOOST_TEST(queue.InUse() < kShare + kShare / 2);
}

BOOST_AUTO_TEST_CASE(a_call_that_waited_too_long_is_not_sent) {
  (void)Push(Lane::kUsual, kShare, kStart);
  BOOST_TEST(queue.TakeExpired(kStart + milliseconds(179)).empty());
  BOOST_TEST(queue.TakeExpired(kStart + CallQueue::kMaxWait).size() == 1U);
  BOOST_TEST(queue.Waiting() == 0U);
}

// Guards against a process that was frozen and sends what waited meanwhile.
BOOST_AUTO_TEST_CASE(
    a_call_that_waited_too_long_does_not_follow_one_that_ends) {
  const auto admitted = Push(Lane::kUsual, kShare, kStart);
  const Instant later = kStart + std::chrono::seconds(5);
  queue.NoteEnded(*admitted.front());
  BOOST_TEST(queue.TakeAdmitted(kAddress, later).empty());
  BOOST_TEST(queue.TakeExpired(later).size() == 1U);
}

BOOST_AUTO_TEST_CASE(calls_that_wait_can_be_taken_back) {
  const auto admitted = Push(Lane::kUsual, kShare, kStart);
  BOOST_TEST(queue.TakeWaiting().size() == 1U);
  queue.NoteEnded(*admitted.front());
  BOOST_TEST(queue.TakeAdmitted(kStart).empty());
}

BOOST_AUTO_TEST_CASE(idle_connections_fill_what_calls_leave_of_the_share) {
  const auto calls = Push(Lane::kUsual, 2, kStart);
  BOOST_TEST(queue.MaxIdle(kAddress) == kShare - 2);
  queue.NoteEnded(*calls[0]);
  queue.NoteEnded(*calls[1]);
  BOOST_TEST(queue.MaxIdle(kAddress) == kShare);
  BOOST_TEST(queue.InUse() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::http
