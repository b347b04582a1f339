#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <memory>

#include "node.h"

using mustardproxy::AnswerQuery;
using mustardproxy::ConfigurationArrived;
using mustardproxy::DeferredState;
using mustardproxy::DeferredStatus;
using mustardproxy::FetchConfiguration;
using mustardproxy::ProcessId;
using mustardproxy::QueryAnswered;
using mustardproxy::QueryArrived;
using mustardproxy::QueryPeer;
using mustardproxy::RequestId;
using mustardproxy::View;
using mustardproxy::testing::kPatience;
using mustardproxy::testing::MakeAnswer;
using mustardproxy::testing::Node;

namespace {

constexpr std::uint64_t kPeerBit = 1ULL << 63U;

QueryPeer MakeQuestion(std::uint64_t query, bool cancel) {
  QueryPeer ask;
  ask.query = query;
  ask.peer = ProcessId("e2");
  ask.request = RequestId("e2.b.1");
  ask.cancel = cancel;
  return ask;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(query)

BOOST_AUTO_TEST_CASE(a_question_is_answered_whole) {
  Node b("e2");
  Node a("e1", {b.Address()});
  a.link->Perform(MakeQuestion(5, /*cancel=*/true));
  const auto arrived = b.events.Take<QueryArrived>();
  BOOST_REQUIRE(arrived);
  BOOST_TEST(arrived->request == RequestId("e2.b.1"));
  BOOST_TEST(arrived->from_peer);
  BOOST_TEST(arrived->cancel);
  BOOST_TEST((arrived->query & kPeerBit) != 0);

  DeferredStatus status;
  status.id = arrived->request;
  status.state = DeferredState::kCancelled;
  status.detail = "Cancelled by its caller.";
  status.result = MakeAnswer("partial");
  status.ran = true;
  BOOST_TEST(b.link->TryPerform(AnswerQuery{arrived->query, status}));
  const auto answered = a.events.Take<QueryAnswered>();
  BOOST_REQUIRE(answered);
  BOOST_TEST(answered->query == 5);
  BOOST_REQUIRE(answered->status);
  BOOST_TEST(answered->status->id == status.id);
  BOOST_TEST((answered->status->state == status.state));
  BOOST_TEST(answered->status->detail == status.detail);
  BOOST_TEST((View(answered->status->result.body) == "partial"));
  BOOST_TEST(answered->status->ran);
}

// Story: a process loses sight of a worker with a review. The peer that now
// holds the worker is told to stop the review there, so that it can run
// elsewhere. The order left the process, but on the wire it was a mere
// question, and the review waited for its longest run time instead.
BOOST_AUTO_TEST_CASE(an_order_to_stop_orphans_arrives_as_one) {
  Node b("e2");
  Node a("e1", {b.Address()});
  for (const bool stop : {true, false}) {
    QueryPeer ask = MakeQuestion(5, /*cancel=*/false);
    ask.stop_orphans = stop;
    a.link->Perform(ask);
    const auto arrived = b.events.Take<QueryArrived>();
    BOOST_REQUIRE(arrived);
    BOOST_TEST(arrived->stop_orphans == stop);
    BOOST_TEST(b.link->TryPerform(AnswerQuery{arrived->query, std::nullopt}));
    BOOST_REQUIRE(a.events.Take<QueryAnswered>());
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_request_gives_an_empty_answer) {
  Node b("e2");
  Node a("e1", {b.Address()});
  a.link->Perform(MakeQuestion(5, /*cancel=*/false));
  const auto arrived = b.events.Take<QueryArrived>();
  BOOST_REQUIRE(arrived);
  BOOST_TEST(!arrived->cancel);
  b.link->TryPerform(AnswerQuery{arrived->query, std::nullopt});
  const auto answered = a.events.Take<QueryAnswered>();
  BOOST_REQUIRE(answered);
  BOOST_TEST(!answered->status);
}

// A caller waits for ever for the state of its deferred work: the peer that has
// it died. Cause: only answers were reported, and failures were not.
BOOST_AUTO_TEST_CASE(a_dead_or_unknown_peer_gives_an_empty_answer) {
  auto b = std::make_unique<Node>("e2");
  Node a("e1", {b->Address()});
  b.reset();
  a.link->Perform(MakeQuestion(5, /*cancel=*/false));
  const auto dead = a.events.Take<QueryAnswered>();
  BOOST_REQUIRE(dead);
  BOOST_TEST(!dead->status);
  QueryPeer unknown = MakeQuestion(6, /*cancel=*/false);
  unknown.peer = ProcessId("e9");
  a.link->Perform(unknown);
  const auto answered = a.events.Take<QueryAnswered>();
  BOOST_REQUIRE(answered);
  BOOST_TEST(answered->query == 6);
}

BOOST_AUTO_TEST_CASE(a_callers_question_is_not_a_peers) {
  Node b("e2");
  BOOST_TEST(!b.link->TryPerform(AnswerQuery{5, std::nullopt}));
}

BOOST_AUTO_TEST_CASE(the_published_configuration_can_be_fetched) {
  Node b("e2");
  Node a("e1", {b.Address()});
  b.link->Publish(b.MakeDigest(), "41");
  b.link->Publish(b.MakeDigest(), "42");
  a.link->Perform(FetchConfiguration{ProcessId("e2")});
  const auto arrived = a.events.Take<ConfigurationArrived>();
  BOOST_REQUIRE(arrived);
  BOOST_TEST(arrived->configuration.version == 42);
}

BOOST_AUTO_TEST_CASE(a_malformed_or_missing_configuration_is_no_event) {
  Node b("e2");
  Node a("e1", {b.Address()}, "dlonie", kPatience);
  a.link->Perform(FetchConfiguration{ProcessId("e2")});
  b.link->Publish(b.MakeDigest(), "not a version");
  a.link->Perform(FetchConfiguration{ProcessId("e2")});
  // The stop waits for both fetches.
  a.link->Stop();
  BOOST_TEST(!a.events.Holds<ConfigurationArrived>());
}

BOOST_AUTO_TEST_SUITE_END()
