#include <boost/test/unit_test.hpp>
#include <future>

#include "gateway_fixture.h"

namespace mustardproxy::testing {
namespace {

constexpr std::string_view kPost =
    "POST /v1/services/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

struct WaitingFixture : GatewayFixture {
  std::future<ReceivedAnswer> SendLater(
      std::string body,
      const std::map<std::string, std::string>& headers = {}) {
    return std::async(
        std::launch::async, [this, body = std::move(body), headers] {
          return this->Send("POST", "/v1/services/a", body, headers);
        });
  }
};

BOOST_FIXTURE_TEST_SUITE(waiting, WaitingFixture)

BOOST_AUTO_TEST_CASE(answers_in_another_order_reach_their_own_callers) {
  // Eight callers wait at once and the answers come in the reverse order, some
  // twice. A caller that got another one's answer would tell a court of a
  // booking that is not its own.
  constexpr std::size_t kCallers = 8;
  this->Start();
  std::vector<std::future<ReceivedAnswer>> answers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    answers.push_back(this->SendLater("body-" + std::to_string(i)));
  }
  auto arrived = this->core.WaitFor<RequestArrived>(kCallers);
  BOOST_REQUIRE(arrived.size() == kCallers);
  for (auto item = arrived.rbegin(); item != arrived.rend(); ++item) {
    Answer answer = Completed("for " + std::string(View(item->request.body)));
    this->gateway->Perform(Reply{item->request.id, answer});
    this->gateway->Perform(Reply{item->request.id, Completed("duplicate")});
  }
  for (std::size_t i = 0; i < kCallers; ++i) {
    BOOST_TEST(answers[i].get().body == "for body-" + std::to_string(i));
  }
}

BOOST_AUTO_TEST_CASE(late_answer_does_not_reach_the_next_request) {
  // The first request of a connection times out. Its answer comes while the
  // second request of the same connection waits.
  this->Start();
  RawCaller caller(this->ports.callers);
  caller.Send(
      "POST /v1/services/a HTTP/1.1\r\nMustardproxy-Timeout-Ms: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  BOOST_TEST(caller.ReadUntil("504"));
  caller.Send(kPost);
  auto arrived = this->core.WaitFor<RequestArrived>(2);
  BOOST_REQUIRE(arrived.size() == 2U);
  this->gateway->Perform(Reply{arrived[0].request.id, Completed("late")});
  this->gateway->Perform(Reply{arrived[1].request.id, Completed("right")});
  BOOST_TEST(caller.ReadUntil("right"));
}

BOOST_AUTO_TEST_CASE(silent_core_ends_as_unknown) {
  // The core does not answer, for example since its process was paused. The
  // caller must not hear "not run", since nobody knows.
  this->Start();
  ReceivedAnswer answer = this->Send("POST", "/v1/services/a", "x",
                                     {{"Mustardproxy-Timeout-Ms", "1"}});
  BOOST_TEST(answer.status == 504);
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "unknown");
  BOOST_TEST(answer.Says(R"("code":301)"));
  BOOST_TEST(this->core.WaitFor<CancelRequested>(1).size() == 1U);
}

BOOST_AUTO_TEST_CASE(gone_caller_cancels_its_request) {
  // A caller gives up and closes its connection while its request waits. The
  // work would take a slot from somebody who still waits.
  this->Start();
  RawCaller caller(this->ports.callers);
  caller.Send(kPost);
  auto arrived = this->core.WaitFor<RequestArrived>(1);
  BOOST_REQUIRE(arrived.size() == 1U);
  BOOST_TEST(this->core.Count<CancelRequested>() == 0U);
  caller.Close();
  auto cancelled = this->core.WaitFor<CancelRequested>(1);
  BOOST_REQUIRE(cancelled.size() == 1U);
  BOOST_TEST(cancelled[0].request == arrived[0].request.id);
  // The answer that comes after it finds nobody and harms nobody.
  this->gateway->Perform(Reply{arrived[0].request.id, Completed("late")});
}

BOOST_AUTO_TEST_CASE(pipelined_request_is_no_sign_of_a_gone_caller) {
  this->Start();
  RawCaller caller(this->ports.callers);
  caller.Send(kPost);
  caller.Send(kPost);
  auto first = this->core.WaitFor<RequestArrived>(1);
  BOOST_REQUIRE(first.size() == 1U);
  this->gateway->Perform(Reply{first[0].request.id, Completed("one")});
  auto both = this->core.WaitFor<RequestArrived>(2);
  BOOST_REQUIRE(both.size() == 2U);
  this->gateway->Perform(Reply{both[1].request.id, Completed("two")});
  BOOST_TEST(caller.ReadUntil("two"));
  BOOST_TEST(this->core.Count<CancelRequested>() == 0U);
}

BOOST_AUTO_TEST_CASE(drain_refuses_new_requests_and_finishes_old_ones) {
  // An operator stops the process while a caller waits for its answer. The
  // caller gets it whole; others are told at once to come back elsewhere.
  this->Start();
  auto old_one = this->SendLater("old");
  auto arrived = this->core.WaitFor<RequestArrived>(1);
  BOOST_REQUIRE(arrived.size() == 1U);
  this->gateway->Drain();
  ReceivedAnswer refused = this->Send("POST", "/v1/services/a", "new");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Header("Retry-After") == "1");
  BOOST_TEST(refused.Header("Mustardproxy-Outcome") == "not-run");
  BOOST_TEST(refused.Header("Connection") == "Close");
  BOOST_TEST(refused.Says(R"("code":204)"));
  std::string body(1'000'000, 'z');
  this->gateway->Perform(Reply{arrived[0].request.id, Completed(body)});
  this->gateway->Stop();
  ReceivedAnswer answer = old_one.get();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST((answer.body == body));
}

BOOST_AUTO_TEST_CASE(stop_answers_those_who_still_wait) {
  this->Start();
  auto waiting = this->SendLater("x");
  BOOST_REQUIRE(this->core.WaitFor<RequestArrived>(1).size() == 1U);
  this->gateway->Stop();
  ReceivedAnswer answer = waiting.get();
  BOOST_TEST(answer.status == 504);
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(stop_does_not_wait_for_idle_connections) {
  this->Start();
  this->AnswerWith([](const Request&) { return Completed("done"); });
  RawCaller caller(this->ports.callers);
  caller.Send(kPost);
  BOOST_TEST(caller.ReadUntil("done"));
  auto before = std::chrono::steady_clock::now();
  this->gateway->Stop();
  auto took = std::chrono::steady_clock::now() - before;
  BOOST_TEST((took < kGenerousLimit));
  BOOST_TEST(caller.ReadAll().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::testing
