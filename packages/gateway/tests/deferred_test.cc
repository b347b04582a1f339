#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::testing {
namespace {

struct DeferredFixture : GatewayFixture {
  /// Answers each question with `status`.
  void Tell(const std::optional<DeferredStatus>& status) {
    this->core.Behave([this, status](const Event& event) {
      const auto* asked = std::get_if<QueryArrived>(&event);
      if (asked != nullptr) {
        this->gateway->Perform(AnswerQuery{asked->query, status});
      }
    });
  }
  static DeferredStatus Status(DeferredState state) {
    DeferredStatus status;
    status.state = state;
    return status;
  }
};

BOOST_FIXTURE_TEST_SUITE(deferred, DeferredFixture)

BOOST_AUTO_TEST_CASE(state_names_are_those_of_the_interface) {
  this->Start();
  struct Named {
    DeferredState state;
    std::string name;
  };
  for (const Named& named : {Named{DeferredState::kQueued, "queued"},
                             Named{DeferredState::kRunning, "running"},
                             Named{DeferredState::kFinished, "finished"},
                             Named{DeferredState::kFailed, "failed"},
                             Named{DeferredState::kCancelled, "cancelled"},
                             Named{DeferredState::kUnknown, "unknown"}}) {
    this->Tell(Status(named.state));
    ReceivedAnswer answer = this->Send("GET", "/v1/requests/entry-1.ab.9");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.Says(R"("state":")" + named.name + '"'));
    BOOST_TEST(answer.Says(R"("id":"entry-1.ab.9")"));
  }
}

BOOST_AUTO_TEST_CASE(question_numbers_leave_the_top_bit_to_peers) {
  this->Start();
  this->Tell(Status(DeferredState::kQueued));
  this->Send("GET", "/v1/requests/entry-1.ab.9");
  auto asked = this->core.WaitFor<QueryArrived>(1);
  BOOST_REQUIRE(asked.size() == 1);
  BOOST_TEST((asked[0].query >> 63) == 0U);
  BOOST_TEST(!asked[0].from_peer);
  BOOST_TEST(!asked[0].cancel);
}

BOOST_AUTO_TEST_CASE(unknown_request_is_not_found) {
  this->Start();
  this->Tell(std::nullopt);
  ReceivedAnswer answer = this->Send("GET", "/v1/requests/entry-1.ab.9");
  BOOST_TEST(answer.status == 404);
  BOOST_TEST(answer.Says(R"("code":105)"));
  // Nobody knows whether it ran, so no outcome is claimed.
  BOOST_TEST(answer.Header("Mustardproxy-Outcome").empty());
}

BOOST_AUTO_TEST_CASE(result_is_the_upstream_answer) {
  this->Start();
  DeferredStatus status = Status(DeferredState::kFinished);
  status.result = Completed("rota");
  this->Tell(status);
  ReceivedAnswer answer = this->Send("GET", "/v1/requests/entry-1.ab.9/result");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "rota");
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "completed");
}

BOOST_AUTO_TEST_CASE(result_before_the_end_is_a_conflict) {
  this->Start();
  this->Tell(Status(DeferredState::kRunning));
  ReceivedAnswer answer = this->Send("GET", "/v1/requests/entry-1.ab.9/result");
  BOOST_TEST(answer.status == 409);
  BOOST_TEST(answer.Header("Retry-After") == "1");
}

BOOST_AUTO_TEST_CASE(cancelled_or_expired_result_is_gone) {
  this->Start();
  this->Tell(Status(DeferredState::kCancelled));
  ReceivedAnswer answer = this->Send("GET", "/v1/requests/entry-1.ab.9/result");
  BOOST_TEST(answer.status == 410);
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "not-run");
  DeferredStatus expired = Status(DeferredState::kFinished);
  expired.result.error = Error::kResultExpired;
  this->Tell(expired);
  answer = this->Send("GET", "/v1/requests/entry-1.ab.9/result");
  BOOST_TEST(answer.status == 410);
  BOOST_TEST(answer.Says(R"("code":307)"));
}

BOOST_AUTO_TEST_CASE(unknown_fate_has_no_result) {
  this->Start();
  this->Tell(Status(DeferredState::kUnknown));
  ReceivedAnswer answer = this->Send("GET", "/v1/requests/entry-1.ab.9/result");
  BOOST_TEST(answer.status == 409);
  BOOST_TEST(answer.Header("Mustardproxy-Outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(cancel_says_whether_it_ran) {
  this->Start();
  DeferredStatus status = Status(DeferredState::kCancelled);
  status.ran = true;
  this->Tell(status);
  ReceivedAnswer answer = this->Send("DELETE", "/v1/requests/entry-1.ab.9");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.Says(R"("state":"cancelled")"));
  BOOST_TEST(answer.Says(R"("ran":true)"));
  BOOST_TEST(this->core.WaitFor<QueryArrived>(1)[0].cancel);
}

BOOST_AUTO_TEST_CASE(overloaded_core_is_no_unknown_request) {
  this->Start();
  DeferredStatus status = Status(DeferredState::kUnknown);
  status.result.error = Error::kTooManyConnections;
  this->Tell(status);
  ReceivedAnswer answer = this->Send("GET", "/v1/requests/entry-1.ab.9");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.Header("Retry-After") == "1");
}

BOOST_AUTO_TEST_CASE(odd_request_ids_reach_nobody) {
  this->Start();
  std::string long_id(500, 'a');
  BOOST_TEST(this->Send("GET", "/v1/requests/" + long_id).status == 404);
  BOOST_TEST(this->Send("GET", "/v1/requests/a%0d%0ab").status == 404);
  BOOST_TEST(this->Send("GET", "/v1/requests/").status == 404);
  BOOST_TEST(this->core.Count<QueryArrived>() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::testing
