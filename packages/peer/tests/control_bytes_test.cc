#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "node.h"

using mustardproxy::ForwardRequest;
using mustardproxy::ProcessId;
using mustardproxy::RequestArrived;
using mustardproxy::RequestId;
using mustardproxy::testing::MakeAnswer;
using mustardproxy::testing::MakeRequest;
using mustardproxy::testing::Node;

BOOST_AUTO_TEST_SUITE(control_bytes)

// Story: operators hold the processes to 2 KB of control a second. Heartbeats
// between them were not in the count, so that the pages said too little.
BOOST_AUTO_TEST_CASE(both_ends_count_heartbeats) {
  Node b("e2");
  Node a("e1", {b.Address()});
  BOOST_REQUIRE(a.Connect("e2"));
  BOOST_TEST(a.metrics.Total("control_bytes") > 0);
  BOOST_TEST(b.metrics.Total("control_bytes") > 0);
}

BOOST_AUTO_TEST_CASE(bodies_of_callers_are_not_counted) {
  constexpr std::size_t kBodyBytes = 100'000;
  Node b("e2");
  Node a("e1", {b.Address()});
  BOOST_REQUIRE(a.Connect("e2"));
  const RequestId id("e1.a.1");
  a.link->Perform(ForwardRequest{
      ProcessId("e2"), MakeRequest(id.Text(), std::string(kBodyBytes, 'x'))});
  BOOST_REQUIRE(b.events.Take<RequestArrived>());
  BOOST_TEST(b.link->TryPerform(
      mustardproxy::Reply{id, MakeAnswer(std::string(kBodyBytes, 'y'))}));
  BOOST_REQUIRE(a.events.Take<mustardproxy::ForwardAnswered>());
  constexpr std::int64_t kFarLess = kBodyBytes / 10;
  BOOST_TEST(a.metrics.Total("control_bytes") < kFarLess);
  BOOST_TEST(b.metrics.Total("control_bytes") < kFarLess);
}

BOOST_AUTO_TEST_SUITE_END()
