#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "node.h"

using mustardproxy::ForwardAnswered;
using mustardproxy::ForwardCancel;
using mustardproxy::ForwardFailed;
using mustardproxy::ForwardRequest;
using mustardproxy::PeerUnreachable;
using mustardproxy::ProcessId;
using mustardproxy::QueryAnswered;
using mustardproxy::QueryPeer;
using mustardproxy::Reply;
using mustardproxy::RequestArrived;
using mustardproxy::RequestId;
using mustardproxy::SendDigest;
using mustardproxy::View;
using mustardproxy::testing::kPatience;
using mustardproxy::testing::MakeAnswer;
using mustardproxy::testing::MakeRequest;
using mustardproxy::testing::Node;

namespace {

/// Forwards requests, each answered at once, until one is refused.
/// @return the refusal
ForwardFailed ForwardUntilRefused(Node* from, Node* to) {
  for (int next = 0;; ++next) {
    const RequestId id("e1.b." + std::to_string(next));
    from->link->Perform(
        ForwardRequest{ProcessId(to->process), MakeRequest(id.Text())});
    while (!to->events.Holds<RequestArrived>()) {
      if (from->events.Holds<ForwardFailed>()) {
        return *from->events.Take<ForwardFailed>();
      }
      std::this_thread::yield();
    }
    BOOST_REQUIRE(to->events.Take<RequestArrived>());
    to->link->TryPerform(Reply{id, MakeAnswer("meanwhile")});
    BOOST_REQUIRE(from->events.Take<ForwardAnswered>());
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stop)

// A caller's request is cut off by a graceful shutdown of the process that runs
// it for another one. New requests arrive meanwhile, and their callers must be
// told the truth: not run. Cause: the listener was closed before the answer.
BOOST_AUTO_TEST_CASE(what_is_in_progress_is_answered_and_new_work_refused) {
  Node b("e2", {}, "dlonie", kPatience);
  Node a("e1", {b.Address()});
  BOOST_REQUIRE(a.Connect("e2"));
  a.link->Perform(ForwardRequest{ProcessId("e2"), MakeRequest("e1.a.1")});
  BOOST_REQUIRE(b.events.Take<RequestArrived>());
  std::thread stopper([&b] { b.link->Stop(); });
  const ForwardFailed refused = ForwardUntilRefused(&a, &b);
  b.link->TryPerform(Reply{RequestId("e1.a.1"), MakeAnswer("done")});
  stopper.join();
  BOOST_TEST(refused.not_sent);
  const auto answered = a.events.Take<ForwardAnswered>();
  BOOST_REQUIRE(answered);
  BOOST_TEST((View(answered->answer.body) == "done"));
}

// A process never ends after SIGTERM: a peer's request and a question are never
// answered. Cause: the stop waited for them without a limit.
BOOST_AUTO_TEST_CASE(a_stop_ends_what_is_never_answered) {
  Node b("e2");
  Node a("e1", {b.Address()});
  BOOST_REQUIRE(a.Connect("e2"));
  a.link->Perform(ForwardRequest{ProcessId("e2"), MakeRequest("e1.a.1")});
  BOOST_REQUIRE(b.events.Take<RequestArrived>());
  QueryPeer ask;
  ask.peer = ProcessId("e2");
  ask.request = RequestId("e2.c.1");
  a.link->Perform(ask);
  BOOST_REQUIRE(b.events.Take<mustardproxy::QueryArrived>());
  b.link->Stop();
  const auto failed = a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(!failed->not_sent);
  BOOST_TEST(a.events.Take<QueryAnswered>().has_value());
}

BOOST_AUTO_TEST_CASE(a_stop_ends_calls_that_peers_never_answer) {
  Node b("e2");
  Node a("e1", {b.Address()});
  BOOST_REQUIRE(a.Connect("e2"));
  a.link->Perform(ForwardRequest{ProcessId("e2"), MakeRequest("e1.a.1")});
  BOOST_REQUIRE(b.events.Take<RequestArrived>());
  a.link->Stop();
  BOOST_TEST(a.events.Holds<ForwardFailed>());
}

BOOST_AUTO_TEST_CASE(two_stops_at_once_and_one_more_end) {
  Node a("e1");
  std::thread other([&a] { a.link->Stop(); });
  a.link->Stop();
  other.join();
  a.link->Stop();
  BOOST_TEST(!a.link->TryPerform(Reply{RequestId("e1.a.1"), MakeAnswer("x")}));
}

BOOST_AUTO_TEST_CASE(after_a_stop_each_action_still_has_its_result) {
  Node b("e2");
  Node a("e1", {b.Address()});
  a.link->Stop();
  const ProcessId peer("e2");
  a.link->Perform(SendDigest{peer, a.MakeDigest()});
  BOOST_TEST(a.events.Take<PeerUnreachable>().has_value());
  QueryPeer ask;
  ask.peer = peer;
  a.link->Perform(ask);
  BOOST_TEST(a.events.Take<QueryAnswered>().has_value());
  a.link->Perform(ForwardRequest{peer, MakeRequest("e1.a.1")});
  const auto failed = a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(failed->not_sent);
  a.link->Perform(ForwardCancel{peer, RequestId("e1.a.1")});
}

BOOST_AUTO_TEST_SUITE_END()
