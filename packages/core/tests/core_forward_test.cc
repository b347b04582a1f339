#include <boost/test/unit_test.hpp>

#include "core_harness.h"
#include "mustardproxy/core/error.h"

using namespace mustardproxy;           // NOLINT(google-build-using-namespace)
using namespace mustardproxy::testing;  // NOLINT(google-build-using-namespace)

namespace {

ForwardRequest TakeForward(CoreHarness* harness) {
  const auto forwards = harness->Take<ForwardRequest>();
  BOOST_TEST_REQUIRE(forwards.size() == 1U);
  return forwards.front();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(core_forward)

BOOST_AUTO_TEST_CASE(a_process_without_workers_forwards) {
  CoreHarness harness(0);
  harness.AddPeerWithRoom("p2", "dc1");
  const RequestId id = harness.SendRequest("booking");
  const ForwardRequest forward = TakeForward(&harness);
  BOOST_TEST(forward.peer == ProcessId("p2"));
  BOOST_TEST(forward.request.hops == 1);
  Answer answer;
  answer.outcome = Outcome::kCompleted;
  answer.status = 200;
  harness.Send(ForwardAnswered{id, forward.peer, answer});
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kCompleted));
}

// One process owns all workers of a data centre. Failure: its peer forwarded
// only as many requests as the owner's last digest had resources for and
// refused all others with "this entry process owns no worker" until the next
// digest, while workers were idle.
BOOST_AUTO_TEST_CASE(a_process_without_workers_forwards_beyond_the_digest) {
  CoreHarness harness(0);
  harness.AddPeerWithRoom("p2", "dc1");
  constexpr std::size_t kMany = 500;
  for (std::size_t i = 0; i < kMany; ++i) (void)harness.SendRequest("booking");
  BOOST_TEST(harness.Take<ForwardRequest>().size() == kMany);
  BOOST_TEST(harness.Take<Reply>().empty());
}

// A cancellation overtakes the forwarded request that it belongs to, and the
// peer does not know the request yet. Failure: the request ran to its end
// although its caller had disconnected. The cancellation must be repeated until
// the peer answers.
BOOST_AUTO_TEST_CASE(a_cancellation_is_repeated_until_the_peer_answers) {
  CoreHarness harness(0);
  harness.AddPeerWithRoom("p2", "dc1");
  const RequestId id = harness.SendRequest("screen");
  const ForwardRequest forward = TakeForward(&harness);
  harness.Send(CancelRequested{id});
  BOOST_TEST(harness.Take<ForwardCancel>().size() == 1U);
  harness.Advance(std::chrono::seconds(1));
  const auto again = harness.Take<ForwardCancel>();
  BOOST_TEST(again.size() == 2U);
  for (const ForwardCancel& cancel : again) {
    BOOST_TEST(cancel.peer == forward.peer);
    BOOST_TEST(cancel.request == id);
  }
  Answer answer;
  answer.error = Error::kCancelled;
  harness.Send(ForwardAnswered{id, forward.peer, answer});
  BOOST_TEST(harness.Take<Reply>().size() == 1U);
  harness.Advance(std::chrono::seconds(5));
  BOOST_TEST(harness.Take<ForwardCancel>().empty());
}

// The connection to the peer is refused, so the booking was never sent. It is
// forwarded to a peer of the other data centre instead.
BOOST_AUTO_TEST_CASE(a_forward_that_was_not_sent_goes_to_another_peer) {
  CoreHarness harness(0);
  harness.AddPeerWithRoom("p2", "dc1");
  harness.AddPeerWithRoom("q1", "dc2");
  const RequestId id = harness.SendRequest("booking");
  const ForwardRequest forward = TakeForward(&harness);
  harness.Send(ForwardFailed{id, forward.peer, true});
  BOOST_TEST(TakeForward(&harness).peer == ProcessId("q1"));
}

// The connection to the peer breaks after the booking was sent. The booking is
// answered "unknown" immediately and not forwarded again.
BOOST_AUTO_TEST_CASE(a_booking_lost_at_a_peer_is_answered_unknown_at_once) {
  CoreHarness harness(0);
  harness.AddPeerWithRoom("p2", "dc1");
  harness.AddPeerWithRoom("q1", "dc2");
  const RequestId id = harness.SendRequest("booking");
  const ForwardRequest forward = TakeForward(&harness);
  harness.Send(ForwardFailed{id, forward.peer, false});
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kUnknown));
  BOOST_TEST(harness.Take<ForwardRequest>().empty());
}

// The same with an idempotent request: the peer is asked to stop it, and the
// request goes to another peer only after the peer confirmed that nothing runs.
BOOST_AUTO_TEST_CASE(
    a_screen_lost_at_a_peer_is_recalled_before_it_is_placed_again) {
  CoreHarness harness(0);
  harness.AddPeerWithRoom("p2", "dc1");
  harness.AddPeerWithRoom("q1", "dc2");
  const RequestId id = harness.SendRequest("screen");
  const ForwardRequest forward = TakeForward(&harness);
  harness.Send(ForwardFailed{id, forward.peer, false});
  const auto asked = harness.Take<QueryPeer>();
  BOOST_TEST_REQUIRE(asked.size() == 1U);
  BOOST_TEST(asked.front().cancel);
  BOOST_TEST(harness.Take<ForwardRequest>().empty());
  DeferredStatus status;
  status.id = id;
  status.state = DeferredState::kCancelled;
  harness.Send(QueryAnswered{asked.front().query, status});
  BOOST_TEST(TakeForward(&harness).peer == ProcessId("q1"));
}

// The peer's side of a recall: it stops the running task and then confirms.
BOOST_AUTO_TEST_CASE(a_recalled_request_is_stopped_before_the_answer) {
  CoreHarness harness(1);
  Request request = harness.MakeRequest("screen");
  request.id = RequestId("p2.b2.1");
  request.origin = ProcessId("p2");
  request.hops = 1;
  harness.Send(RequestArrived{request});
  const StartTask start = harness.TakeStart();
  harness.Send(QueryArrived{5, request.id, true, true, false});
  BOOST_TEST(harness.Take<AnswerQuery>().empty());
  BOOST_TEST(harness.Take<StopTask>().size() == 1U);
  harness.Send(TaskStopAnswered{start.worker, start.spec.task, true});
  const auto answers = harness.Take<AnswerQuery>();
  BOOST_TEST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers.front().status->state == DeferredState::kCancelled));
  BOOST_TEST(answers.front().status->ran);
}

BOOST_AUTO_TEST_CASE(
    a_forwarded_request_is_not_forwarded_again_in_its_data_center) {
  CoreHarness harness(0);
  harness.AddPeerWithRoom("p2", "dc1");
  Request request = harness.MakeRequest("booking");
  request.id = RequestId("p3.b2.1");
  request.origin = ProcessId("p2");
  request.hops = 1;
  harness.Send(RequestArrived{request});
  BOOST_TEST(harness.Take<ForwardRequest>().empty());
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()
