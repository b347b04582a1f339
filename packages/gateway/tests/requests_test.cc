#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::testing {
namespace {

BOOST_FIXTURE_TEST_SUITE(requests, GatewayFixture)

BOOST_AUTO_TEST_CASE(upstream_answer_is_passed_on_whole) {
  this->AnswerWith([](const Request& request) {
    Answer answer = Completed("echo " + std::string(View(request.body)));
    answer.status = 418;
    return answer;
  });
  this->Start();
  ReceivedAnswer answer = this->Send("POST", "/v1/services/screen", "hello");
  BOOST_TEST(answer.status == 418);
  BOOST_TEST(answer.body == "echo hello");
  BOOST_TEST(answer.Header("Content-Type") == "text/plain");
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "completed");
  BOOST_TEST(answer.Header("Mustardproxy-Request-Id") == "entry-1.ab.1");
  BOOST_TEST(
      this->metrics.Format().find(R"(gateway_requests{end="completed"} 1)") !=
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(headers_reach_the_core) {
  this->AnswerWith([](const Request&) { return Completed("x"); });
  this->Start();
  this->Send("POST", "/v1/services/booking", "body",
             {{"Idempotency-Key", "slot:17"},
              {"Mustardproxy-Team", "addis"},
              {"Mustardproxy-Timeout-Ms", "1500"}});
  auto arrived = this->core.WaitFor<RequestArrived>(1);
  BOOST_REQUIRE(arrived.size() == 1);
  const Request& request = arrived[0].request;
  BOOST_TEST(request.service.Text() == "booking");
  BOOST_TEST(request.team.Text() == "addis");
  BOOST_TEST(request.idempotency_key == "slot:17");
  BOOST_TEST((request.timeout == std::chrono::milliseconds(1500)));
  BOOST_TEST(View(request.body) == "body");
  BOOST_TEST(request.hops == 0);
  BOOST_TEST(request.origin.Text() == "entry-1");
}

BOOST_AUTO_TEST_CASE(refusal_is_a_problem_with_retry_after) {
  this->AnswerWith([](const Request&) {
    Answer answer;
    answer.error = Error::kWaitTooLong;
    answer.detail = "The wait would be \"long\".";
    answer.retry_after = std::chrono::milliseconds(2100);
    return answer;
  });
  this->Start();
  ReceivedAnswer answer = this->Send("POST", "/v1/services/screen", "x");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.Header("Content-Type") == "application/problem+json");
  BOOST_TEST(answer.Header("Retry-After") == "3");
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "not-run");
  BOOST_TEST(answer.Says(R"("code":201)"));
  BOOST_TEST(answer.Says(R"("status":503)"));
  BOOST_TEST(answer.Says(R"("request_id":"entry-1.ab.1")"));
  BOOST_TEST(answer.Says(R"(The wait would be \"long\".)"));
}

BOOST_AUTO_TEST_CASE(unknown_outcome_is_kept_apart) {
  this->AnswerWith([](const Request&) {
    Answer answer;
    answer.outcome = Outcome::kUnknown;
    answer.status = 502;
    answer.error = Error::kWorkerLost;
    return answer;
  });
  this->Start();
  ReceivedAnswer answer = this->Send("POST", "/v1/services/screen", "x");
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "unknown");
  BOOST_TEST(answer.Header("Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(line_break_in_upstream_content_type_adds_no_header) {
  // A compromised upstream answers with a content type that holds a line
  // break. Passed on as it is, the caller would see headers of its choice.
  this->AnswerWith([](const Request&) {
    Answer answer = Completed("x");
    answer.content_type = "text/plain\r\nSet-Cookie: stolen=1";
    return answer;
  });
  this->Start();
  ReceivedAnswer answer = this->Send("POST", "/v1/services/screen", "x");
  BOOST_TEST(answer.Header("Set-Cookie").empty());
  BOOST_TEST(answer.Header("Content-Type") == "application/octet-stream");
}

BOOST_AUTO_TEST_CASE(deferred_work_gets_a_location) {
  this->core.Behave([this](const Event& event) {
    const auto* arrived = std::get_if<RequestArrived>(&event);
    if (arrived != nullptr) {
      this->gateway->Perform(ReplyAccepted{arrived->request.id});
    }
  });
  this->Start();
  ReceivedAnswer answer = this->Send("POST", "/v1/services/rota", "x");
  BOOST_TEST(answer.status == 202);
  BOOST_TEST(answer.Header("Location") == "/v1/requests/entry-1.ab.1");
  BOOST_TEST(answer.Header("Mustardproxy-Request-Id") == "entry-1.ab.1");
}

BOOST_AUTO_TEST_CASE(requests_share_a_connection) {
  this->AnswerWith([](const Request& request) {
    return Completed("[" + std::string(View(request.body)) + "]");
  });
  this->Start();
  RawCaller caller(this->ports.callers);
  caller.Send(
      "POST /v1/services/a HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
      "POST /v1/services/a HTTP/1.1\r\nContent-Length: 3\r\n\r\ntwo");
  BOOST_TEST(caller.ReadUntil("[two]"));
}

BOOST_AUTO_TEST_CASE(other_methods_and_paths_are_refused) {
  this->Start();
  BOOST_TEST(this->Send("GET", "/v1/services/screen").status == 405);
  BOOST_TEST(this->Send("PUT", "/v1/requests/a.b.1").status == 405);
  BOOST_TEST(this->Send("GET", "/nothing").status == 404);
  BOOST_TEST(this->Send("POST", "/v1/services/", "x").status == 404);
  BOOST_TEST(this->Send("POST", "/v1/services/a%2Fb", "x").status == 404);
  BOOST_TEST(this->core.Count<RequestArrived>() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::testing
