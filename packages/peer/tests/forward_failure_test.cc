#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "node.h"
#include "relay.h"

using mustardproxy::CancelRequested;
using mustardproxy::ForwardAnswered;
using mustardproxy::ForwardFailed;
using mustardproxy::ForwardRequest;
using mustardproxy::PeerUnreachable;
using mustardproxy::ProcessId;
using mustardproxy::Reply;
using mustardproxy::Request;
using mustardproxy::RequestArrived;
using mustardproxy::RequestId;
using mustardproxy::SendDigest;
using mustardproxy::testing::MakeAnswer;
using mustardproxy::testing::MakeRequest;
using mustardproxy::testing::Node;
using mustardproxy::testing::Relay;

namespace {

/// Two nodes with a relay between them; the first is connected to the second.
struct RelayedPair {
  Node b{"e2"};
  Relay relay{b.port};
  Node a{"e1", {{"e2", relay.Port()}}};

  RelayedPair() { BOOST_REQUIRE(this->a.Connect("e2")); }

  void Forward(const std::string& id) {
    this->a.link->Perform(ForwardRequest{ProcessId("e2"), MakeRequest(id)});
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(forward_failure)

// A caller is told "unknown" for a booking that nobody ever saw. The peer had
// died a while before the request was forwarded to it. Cause: a request without
// a connection to go out on was reported like one that was lost under way.
BOOST_AUTO_TEST_CASE(a_peer_dead_before_the_call_was_not_sent_to) {
  auto b = std::make_unique<Node>("e2");
  Node a("e1", {b->Address()});
  BOOST_REQUIRE(a.Connect("e2"));
  b.reset();
  for (int miss = 0; miss < 2; ++miss) {
    a.link->Perform(SendDigest{ProcessId("e2"), a.MakeDigest()});
    BOOST_REQUIRE(a.events.Take<PeerUnreachable>());
  }
  a.link->Perform(ForwardRequest{ProcessId("e2"), MakeRequest("e1.a.1")});
  const auto failed = a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(failed->request == RequestId("e1.a.1"));
  BOOST_TEST(failed->peer == ProcessId("e2"));
  BOOST_TEST(failed->not_sent);
}

BOOST_AUTO_TEST_CASE(a_peer_never_connected_to_was_not_sent_to) {
  Node b("e2");
  Node a("e1", {b.Address()});
  a.link->Perform(ForwardRequest{ProcessId("e2"), MakeRequest("e1.a.1")});
  const auto failed = a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(failed->not_sent);
  BOOST_TEST(!b.events.Holds<RequestArrived>());
}

// A hospital slot is confirmed twice. The peer dies while it runs the request,
// and the request is sent to another one. Cause: a lost connection was taken as
// proof that nothing ran.
BOOST_AUTO_TEST_CASE(a_peer_that_dies_in_the_middle_may_have_run_it) {
  RelayedPair pair;
  pair.Forward("e1.a.1");
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  pair.relay.Cut();
  const auto failed = pair.a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(!failed->not_sent);
}

// The process that forwarded a request dies; its caller is gone with it. The
// peer keeps the worker busy for nobody. Cause: the end of the connection was
// not told to the core.
BOOST_AUTO_TEST_CASE(a_sender_that_dies_cancels_its_requests) {
  RelayedPair pair;
  pair.Forward("e1.a.1");
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  pair.relay.Cut();
  const auto cancelled = pair.b.events.Take<CancelRequested>();
  BOOST_REQUIRE(cancelled);
  BOOST_TEST(cancelled->request == RequestId("e1.a.1"));
}

// An answer comes after its caller was told "unknown". The peer hands it in,
// and it must neither reach anybody nor be taken for the answer to a caller of
// the peer's own. Cause: the peer forgot the request when its deadline passed.
BOOST_AUTO_TEST_CASE(an_answer_after_the_deadline_goes_nowhere) {
  RelayedPair pair;
  Request request = MakeRequest("e1.a.1");
  request.timeout = std::chrono::seconds(2);
  pair.a.link->Perform(ForwardRequest{ProcessId("e2"), request});
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  const auto failed = pair.a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(!failed->not_sent);
  BOOST_REQUIRE(pair.b.events.Take<CancelRequested>());
  const Reply late{request.id, MakeAnswer("late")};
  BOOST_TEST(pair.b.link->TryPerform(late));
  BOOST_TEST(!pair.b.link->TryPerform(late));
  BOOST_REQUIRE(pair.a.Connect("e2"));
  BOOST_TEST(!pair.a.events.Holds<ForwardAnswered>());
}

// Forwarded requests hang until their timeouts, for as long as the process
// lives, while a new process on the same machine gets through. Something
// between the ends has forgotten the open connection. Cause: it counted as
// connected and was used again and again.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced_by_a_new_one) {
  RelayedPair pair;
  pair.Forward("e1.a.1");
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  pair.relay.SilenceOpen();
  const int before = pair.relay.Accepted();
  BOOST_REQUIRE(pair.a.Connect("e2"));
  BOOST_TEST(pair.relay.Accepted() > before);
  pair.Forward("e1.a.2");
  const auto arrived = pair.b.events.Take<RequestArrived>();
  BOOST_REQUIRE(arrived);
  BOOST_TEST(arrived->request.id == RequestId("e1.a.2"));
  pair.b.link->TryPerform(Reply{arrived->request.id, MakeAnswer("x")});
  BOOST_REQUIRE(pair.a.events.Take<ForwardAnswered>());
  // The request on the silent connection ends long before its 30 s timeout.
  const auto failed = pair.a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(failed->request == RequestId("e1.a.1"));
  BOOST_TEST(!failed->not_sent);
}

// A request in progress is lost though its peer runs it and its connection
// works: two heartbeats were late, for example in a pause, and the channel was
// replaced. Cause: the replacement closed the connection under the request.
BOOST_AUTO_TEST_CASE(replacing_a_channel_leaves_its_calls_alone) {
  RelayedPair pair;
  pair.Forward("e1.a.1");
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  const int before = pair.relay.Accepted();
  for (int miss = 0; miss < 2; ++miss) {
    mustardproxy::Digest malformed = pair.a.MakeDigest();
    malformed.queued = -1;
    pair.a.link->Perform(SendDigest{ProcessId("e2"), malformed});
    BOOST_REQUIRE(pair.a.events.Take<PeerUnreachable>());
  }
  BOOST_REQUIRE(pair.a.Connect("e2"));
  BOOST_REQUIRE(pair.relay.Accepted() > before);
  BOOST_TEST(pair.b.link->TryPerform(
      Reply{RequestId("e1.a.1"), MakeAnswer("still here")}));
  BOOST_TEST(pair.a.events.Take<ForwardAnswered>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
