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
      const PendingCallPtr call = MakeCall(lane);
      if (this->queue.Push(call, now)) admitted.push_back(call);
    }
    return admitted;
  }

  CallQueue queue;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(call_queue, Fixture)

BOOST_AUTO_TEST_CASE(a_burst_leaves_one_connection_to_reserved_calls) {
  const auto usual = Push(Lane::kUsual, 10, kStart);
  BOOST_REQUIRE(usual.size() == kShare - 1);
  BOOST_TEST(queue.GetCounts().waiting == 10 - (kShare - 1));
  BOOST_TEST(Push(Lane::kReserved, 1, kStart).size() == 1U);
  BOOST_TEST(queue.Push(MakeCall(Lane::kUsual, "10.0.0.2:80"), kStart));
  // Its connection is for the call that follows, and none is kept beside it.
  const auto next = queue.End(*usual.front(), kStart);
  BOOST_TEST(next.admitted.size() == 1U);
  BOOST_TEST(next.max_idle == 1U);
}

BOOST_AUTO_TEST_CASE(a_call_that_ends_lets_the_next_follow_urgent_ones_first) {
  const auto first = Push(Lane::kUsual, kShare, kStart);
  BOOST_TEST(Push(Lane::kUrgent, 1, kStart).empty());
  auto next = queue.End(*first.front(), kStart + milliseconds(5)).admitted;
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next.front()->exchange.lane == Lane::kUrgent));
  next = queue.End(*next.front(), kStart + milliseconds(9)).admitted;
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next.front()->exchange.lane == Lane::kUsual));
  // Its timeout is that of a call, without the wait.
  BOOST_TEST((next.front()->due == kStart + milliseconds(250 + 9)));
  BOOST_TEST(!queue.HasWaiting());
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
  BOOST_TEST(queue.GetCounts().in_use < kShare + kShare / 2);
}

BOOST_AUTO_TEST_CASE(a_call_that_waited_too_long_is_not_sent) {
  (void)Push(Lane::kUsual, kShare + 2, kStart);
  // No more than these are admitted while none ends.
  BOOST_TEST(queue.TakeAdmitted(kStart + CallQueue::kOverdue).size() == 2U);
  BOOST_TEST(queue.TakeAdmitted(kStart + milliseconds(179)).empty());
  BOOST_TEST(queue.TakeUnsent().empty());
  BOOST_TEST(queue.TakeAdmitted(kStart + CallQueue::kMaxWait).empty());
  BOOST_TEST(queue.HasWaiting());
  BOOST_TEST(queue.TakeUnsent().size() == 1U);
  BOOST_TEST(!queue.HasWaiting());
  BOOST_TEST(queue.GetCounts().waited == 3);
  BOOST_TEST(queue.GetCounts().not_sent == 1);
}

// Guards against a process that was frozen and sends what waited meanwhile.
BOOST_AUTO_TEST_CASE(
    a_call_that_waited_too_long_does_not_follow_one_that_ends) {
  const auto admitted = Push(Lane::kUsual, kShare, kStart);
  const Instant later = kStart + std::chrono::seconds(5);
  BOOST_TEST(queue.End(*admitted.front(), later).admitted.empty());
  BOOST_TEST(queue.TakeUnsent().size() == 1U);
}

BOOST_AUTO_TEST_CASE(calls_that_wait_can_be_taken_back) {
  const auto admitted = Push(Lane::kUsual, kShare, kStart);
  queue.CancelWaiting();
  BOOST_TEST(queue.End(*admitted.front(), kStart).admitted.empty());
  BOOST_TEST(queue.TakeAdmitted(kStart).empty());
  BOOST_TEST(queue.TakeUnsent().size() == 1U);
}

BOOST_AUTO_TEST_CASE(idle_connections_fill_what_calls_leave_of_the_share) {
  const auto calls = Push(Lane::kUsual, 3, kStart);
  BOOST_TEST(queue.End(*calls[0], kStart).max_idle == kShare - 2);
  BOOST_TEST(queue.End(*calls[1], kStart).max_idle == kShare - 1);
  BOOST_TEST(queue.End(*calls[2], kStart).max_idle == kShare);
  BOOST_TEST(queue.GetCounts().in_use == 0U);
}

// Guards against calls that point to an address that was forgotten.
BOOST_AUTO_TEST_CASE(an_address_is_forgotten_once_it_has_no_calls) {
  const auto admitted = Push(Lane::kUsual, kShare, kStart);
  queue.RemoveUnused();
  BOOST_TEST(queue.End(*admitted[0], kStart).admitted.size() == 1U);
  BOOST_TEST(queue.End(*admitted[1], kStart).admitted.empty());
  queue.RemoveUnused();
  BOOST_TEST(queue.TakeAdmitted(kStart).empty());
  BOOST_TEST(Push(Lane::kUsual, kShare, kStart).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::http
