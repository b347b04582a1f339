#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace mustardproxy::testing {
namespace {

BOOST_FIXTURE_TEST_SUITE(operators, GatewayFixture)

BOOST_AUTO_TEST_CASE(both_listeners_serve_the_operators_calls) {
  this->Start();
  this->metrics.Set("probe", "", 42);
  this->timeline.Record(TimelineEvent());
  this->timeline.Record(TimelineEvent());
  for (bool callers : {true, false}) {
    auto get = [&](const std::string& path) {
      return callers ? this->Send("GET", path) : this->SendToOperators(path);
    };
    BOOST_TEST(get("/healthz").status == 200);
    BOOST_TEST(get("/readyz").status == 200);
    BOOST_TEST(get("/v1/status").body == R"({"process":"entry-1"})");
    BOOST_TEST(get("/metrics").Says("probe"));
    BOOST_TEST(ParseEvents(get("/v1/events").body).size() == 2U);
    BOOST_TEST(ParseEvents(get("/v1/events?after=1").body).size() == 1U);
    BOOST_TEST(get("/v1/events?after=x").status == 400);
  }
}

BOOST_AUTO_TEST_CASE(callers_calls_are_not_served_to_operators) {
  this->Start();
  BOOST_TEST(this->SendToOperators("/v1/requests/entry-1.ab.1").status == 404);
}

BOOST_AUTO_TEST_CASE(not_ready_without_a_configuration) {
  this->Start();
  this->ready = false;
  ReceivedAnswer answer = this->SendToOperators("/readyz");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.Says(R"("code":208)"));
  BOOST_TEST(this->SendToOperators("/healthz").status == 200);
}

BOOST_AUTO_TEST_CASE(draining_turns_readiness_off) {
  this->Start();
  this->gateway->Drain();
  ReceivedAnswer answer = this->SendToOperators("/readyz");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.Says(R"("code":204)"));
}

BOOST_AUTO_TEST_CASE(port_in_use_is_an_error) {
  this->Start();
  auto second = Gateway::Builder()
                    .Self(ProcessId("entry-2"), 1)
                    .ListenCallers("127.0.0.1", this->ports.callers)
                    .Sink(&this->core)
                    .Build();
  BOOST_TEST(!second->Start());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::testing
