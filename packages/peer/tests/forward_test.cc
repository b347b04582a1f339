#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "mustardproxy/core/error.h"
#include "node.h"

using mustardproxy::Answer;
using mustardproxy::CancelRequested;
using mustardproxy::Error;
using mustardproxy::ForwardAnswered;
using mustardproxy::ForwardCancel;
using mustardproxy::ForwardFailed;
using mustardproxy::ForwardRequest;
using mustardproxy::Outcome;
using mustardproxy::ProcessId;
using mustardproxy::Reply;
using mustardproxy::ReplyAccepted;
using mustardproxy::Request;
using mustardproxy::RequestArrived;
using mustardproxy::RequestId;
using mustardproxy::View;
using mustardproxy::testing::kPatience;
using mustardproxy::testing::MakeAnswer;
using mustardproxy::testing::MakeRequest;
using mustardproxy::testing::Node;

namespace {

constexpr std::size_t kMegabyte = 1 << 20;

/// Bytes of all values, so that a cut or shifted part shows.
std::string MakeBytes(std::size_t size, unsigned seed) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    seed = seed * 1664525U + 1013904223U;
    byte = static_cast<char>(seed >> 24U);
  }
  return bytes;
}

/// Two nodes; the first is connected to the second.
struct Pair {
  Node b{"e2"};
  Node a{"e1", {b.Address()}};

  Pair() { BOOST_REQUIRE(this->a.Connect("e2")); }

  void Forward(Request request) {
    this->a.link->Perform(ForwardRequest{ProcessId("e2"), std::move(request)});
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(forward)

BOOST_AUTO_TEST_CASE(request_and_answer_arrive_whole) {
  Pair pair;
  Request sent = MakeRequest("e1.a.1", MakeBytes(kMegabyte, 1));
  sent.idempotency_key = "key-1";
  sent.timeout = std::chrono::milliseconds(4321);
  pair.Forward(sent);
  const auto arrived = pair.b.events.Take<RequestArrived>();
  BOOST_REQUIRE(arrived);
  const Request& request = arrived->request;
  BOOST_TEST(request.id == sent.id);
  BOOST_TEST(request.service == sent.service);
  BOOST_TEST(request.team == sent.team);
  BOOST_TEST(request.idempotency_key == sent.idempotency_key);
  BOOST_TEST((request.timeout == sent.timeout));
  BOOST_TEST(request.hops == sent.hops);
  BOOST_TEST(request.origin == sent.origin);
  BOOST_TEST((View(request.body) == View(sent.body)));

  const Answer answer = MakeAnswer(MakeBytes(kMegabyte, 2));
  BOOST_TEST(pair.b.link->TryPerform(Reply{sent.id, answer}));
  const auto answered = pair.a.events.Take<ForwardAnswered>();
  BOOST_REQUIRE(answered);
  BOOST_TEST(answered->request == sent.id);
  BOOST_TEST(answered->peer == ProcessId("e2"));
  BOOST_TEST((answered->answer.outcome == Outcome::kCompleted));
  BOOST_TEST(answered->answer.status == 200);
  BOOST_TEST(answered->answer.content_type == "text/plain");
  BOOST_TEST((View(answered->answer.body) == View(answer.body)));
  BOOST_TEST(!answered->answer.error);
}

BOOST_AUTO_TEST_CASE(an_error_keeps_its_number_and_detail) {
  Pair pair;
  pair.Forward(MakeRequest("e1.a.1"));
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  Answer answer;
  answer.outcome = Outcome::kNotRun;
  answer.status = 503;
  answer.error = Error::kQuotaExceeded;
  answer.detail = "memory_mb is used up";
  answer.retry_after = std::chrono::seconds(3);
  BOOST_TEST(pair.b.link->TryPerform(Reply{RequestId("e1.a.1"), answer}));
  const auto answered = pair.a.events.Take<ForwardAnswered>();
  BOOST_REQUIRE(answered);
  BOOST_TEST((answered->answer.outcome == Outcome::kNotRun));
  BOOST_TEST(answered->answer.error == Error::kQuotaExceeded);
  BOOST_TEST(answered->answer.detail == answer.detail);
  BOOST_TEST((answered->answer.retry_after == answer.retry_after));
}

// A volunteer reads the decision of somebody else's screen. Many requests are
// in progress between two processes, and their answers are handed in from
// several threads in another order than they were sent in. Cause: an answer was
// matched to a request by its place in a queue.
BOOST_AUTO_TEST_CASE(crossed_answers_reach_their_own_requests) {
  constexpr int kRequests = 100;
  constexpr int kThreads = 4;
  Pair pair;
  for (int i = 0; i < kRequests; ++i) {
    pair.Forward(MakeRequest("e1.a." + std::to_string(i), std::to_string(i)));
  }
  std::vector<Request> arrived;
  for (int i = 0; i < kRequests; ++i) {
    const auto next = pair.b.events.Take<RequestArrived>();
    BOOST_REQUIRE(next);
    BOOST_TEST(next->request.id.Text() ==
               "e1.a." + std::string(View(next->request.body)));
    arrived.push_back(next->request);
  }
  std::reverse(arrived.begin(), arrived.end());
  const auto answer_every = [&](int first) {
    for (int i = first; i < kRequests; i += kThreads) {
      const Request& request = arrived[i];
      pair.b.link->TryPerform(
          Reply{request.id, MakeAnswer("to " + request.id.Text())});
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int first = 0; first < kThreads; ++first) {
    threads.emplace_back(answer_every, first);
  }
  for (std::thread& thread : threads) thread.join();
  for (int i = 0; i < kRequests; ++i) {
    const auto answered = pair.a.events.Take<ForwardAnswered>();
    BOOST_REQUIRE(answered);
    BOOST_TEST(View(answered->answer.body) == "to " + answered->request.Text());
  }
}

BOOST_AUTO_TEST_CASE(accepted_deferred_work_is_status_202) {
  Pair pair;
  pair.Forward(MakeRequest("e1.a.1"));
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  BOOST_TEST(pair.b.link->TryPerform(ReplyAccepted{RequestId("e1.a.1")}));
  const auto answered = pair.a.events.Take<ForwardAnswered>();
  BOOST_REQUIRE(answered);
  BOOST_TEST((answered->answer.outcome == Outcome::kCompleted));
  BOOST_TEST(answered->answer.status == 202);
  BOOST_TEST(View(answered->answer.body).empty());
}

BOOST_AUTO_TEST_CASE(a_request_of_a_caller_is_not_a_peers) {
  Pair pair;
  const RequestId own("e2.b.1");
  BOOST_TEST(!pair.b.link->TryPerform(Reply{own, MakeAnswer("x")}));
  BOOST_TEST(!pair.b.link->TryPerform(ReplyAccepted{own}));
}

// A caller gets the first half of a large result as if it were all. The answer
// does not fit a message between processes. Cause: it was cut to what fits.
BOOST_AUTO_TEST_CASE(an_answer_too_large_is_an_error_and_not_a_part) {
  Pair pair;
  pair.Forward(MakeRequest("e1.a.1"));
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  const Answer answer = MakeAnswer(std::string(kMegabyte + 1, 'x'));
  BOOST_TEST(pair.b.link->TryPerform(Reply{RequestId("e1.a.1"), answer}));
  const auto answered = pair.a.events.Take<ForwardAnswered>();
  BOOST_REQUIRE(answered);
  BOOST_TEST((answered->answer.outcome == Outcome::kUnknown));
  BOOST_TEST(answered->answer.error == Error::kAnswerIncomplete);
  BOOST_TEST(View(answered->answer.body).empty());
}

// A caller reads "not run", tries again, and two interpreters come. The peer
// received the request twice and refused the second one while the first one
// ran. Cause: the refusal of the second was taken for the fate of both.
BOOST_AUTO_TEST_CASE(a_refused_duplicate_does_not_count_as_not_sent) {
  Pair pair;
  pair.Forward(MakeRequest("e1.a.1"));
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  pair.Forward(MakeRequest("e1.a.1"));
  const auto failed = pair.a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(!failed->not_sent);
  BOOST_TEST(!pair.b.events.Holds<RequestArrived>());
}

BOOST_AUTO_TEST_CASE(a_malformed_request_is_refused_and_never_ran) {
  Pair pair;
  Request request = MakeRequest("e1.a.1");
  request.hops = -1;
  pair.Forward(request);
  const auto failed = pair.a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(failed->not_sent);
  BOOST_TEST(!pair.b.events.Holds<RequestArrived>());
}

// An entry process runs out of memory. Its peers forward large bodies faster
// than its workers take them. Cause: nothing bounded the bodies that wait.
BOOST_AUTO_TEST_CASE(bodies_past_the_limit_are_refused_and_never_ran) {
  constexpr int kHeld = 8;
  Pair pair;
  for (int i = 0; i <= kHeld; ++i) {
    pair.Forward(
        MakeRequest("e1.a." + std::to_string(i), std::string(kMegabyte, 'x')));
  }
  const auto failed = pair.a.events.Take<ForwardFailed>();
  BOOST_REQUIRE(failed);
  BOOST_TEST(failed->not_sent);
  for (int i = 0; i < kHeld; ++i) {
    const auto arrived = pair.b.events.Take<RequestArrived>();
    BOOST_REQUIRE(arrived);
    pair.b.link->TryPerform(Reply{arrived->request.id, MakeAnswer("done")});
    BOOST_REQUIRE(pair.a.events.Take<ForwardAnswered>());
  }
  pair.Forward(MakeRequest("e1.a.99"));
  BOOST_TEST(pair.b.events.Take<RequestArrived>().has_value());
}

BOOST_AUTO_TEST_CASE(a_cancellation_reaches_the_peer_and_the_answer_returns) {
  Pair pair;
  const RequestId id("e1.a.1");
  pair.Forward(MakeRequest(id.Text()));
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  pair.a.link->Perform(ForwardCancel{ProcessId("e2"), id});
  const auto cancelled = pair.b.events.Take<CancelRequested>();
  BOOST_REQUIRE(cancelled);
  BOOST_TEST(cancelled->request == id);
  BOOST_TEST(pair.b.link->TryPerform(Reply{id, MakeAnswer("stopped")}));
  BOOST_TEST(pair.a.events.Take<ForwardAnswered>().has_value());
}

BOOST_AUTO_TEST_CASE(only_the_sender_can_cancel) {
  Pair pair;
  Node c("e3", {pair.b.Address()}, "dlonie", kPatience);
  BOOST_REQUIRE(c.Connect("e2"));
  pair.Forward(MakeRequest("e1.a.1"));
  BOOST_REQUIRE(pair.b.events.Take<RequestArrived>());
  c.link->Perform(ForwardCancel{ProcessId("e2"), RequestId("e1.a.1")});
  c.link->Stop();  // waits for the cancellation to be answered
  BOOST_TEST(!pair.b.events.Holds<CancelRequested>());
}

BOOST_AUTO_TEST_SUITE_END()
