#include <boost/test/unit_test.hpp>

#include "node.h"
#include "relay.h"

using mustardproxy::CancelRequested;
using mustardproxy::ForwardAnswered;
using mustardproxy::ForwardFailed;
using mustardproxy::ForwardRequest;
using mustardproxy::ProcessId;
using mustardproxy::Reply;
using mustardproxy::RequestArrived;
using mustardproxy::testing::MakeAnswer;
using mustardproxy::testing::MakeRequest;
using mustardproxy::testing::Node;
using mustardproxy::testing::Relay;

namespace {

/// A process and two others, each behind a relay that counts connections.
struct Three {
  explicit Three(const std::string& data_center)
      : a("e1", {{"e2", this->to_b.Port(), data_center},
                 {"e3", this->to_c.Port(), "dc2"}}) {}

  Node b{"e2"};
  Node c{"e3"};
  Relay to_b{b.port};
  Relay to_c{c.port};
  Node a;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(spare_channels)

// An entry process runs for weeks and in time has asked every process of the
// other data centres something. Each connection stayed open, on both sides, and
// the process grew past its 32 MB. One spare connection may stay here; the one
// that was unused longest goes, and is made anew when it is needed.
BOOST_AUTO_TEST_CASE(the_longest_unused_connection_elsewhere_is_closed) {
  Three cell("dc2");
  BOOST_REQUIRE(cell.a.Connect("e2"));
  BOOST_REQUIRE(cell.a.Connect("e3"));
  BOOST_REQUIRE(cell.a.Connect("e3"));
  BOOST_REQUIRE(cell.a.Connect("e2"));
  BOOST_TEST(cell.to_b.Accepted() == 2);
  BOOST_TEST(cell.to_c.Accepted() == 1);
}

BOOST_AUTO_TEST_CASE(connections_within_the_data_centre_are_kept) {
  Three cell("dc1");
  BOOST_REQUIRE(cell.a.Connect("e2"));
  BOOST_REQUIRE(cell.a.Connect("e3"));
  BOOST_REQUIRE(cell.a.Connect("e3"));
  BOOST_REQUIRE(cell.a.Connect("e2"));
  BOOST_TEST(cell.to_b.Accepted() == 1);
  BOOST_TEST(cell.to_c.Accepted() == 1);
}

// A request was forwarded to another data centre and runs long. Meanwhile many
// other connections are used, so that this one is the longest unused. Were it
// closed, the caller would be told "unknown" though nothing failed.
BOOST_AUTO_TEST_CASE(a_connection_with_a_call_in_progress_is_kept) {
  Three cell("dc2");
  BOOST_REQUIRE(cell.a.Connect("e2"));
  cell.a.link->Perform(ForwardRequest{ProcessId("e2"), MakeRequest("r1")});
  BOOST_REQUIRE(cell.b.events.Take<RequestArrived>());
  BOOST_REQUIRE(cell.a.Connect("e3"));
  BOOST_REQUIRE(cell.a.Connect("e3"));
  BOOST_REQUIRE(cell.a.Connect("e2"));
  BOOST_TEST(!cell.b.events.Holds<CancelRequested>());
  cell.b.link->TryPerform(Reply{MakeRequest("r1").id, MakeAnswer("out")});
  BOOST_REQUIRE((cell.a.events.WaitForAny<ForwardAnswered, ForwardFailed>()));
  BOOST_TEST(cell.a.events.Holds<ForwardAnswered>());
  BOOST_TEST(cell.to_b.Accepted() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
