#include "connection_shares.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace mustardproxy::jobs {
namespace {

using std::chrono::seconds;

const Instant kStart = Instant() + seconds(100);
/// What a worker takes at least.
constexpr std::size_t kWorkerConnections = 64;

NodeRecord MakeNode(const std::string& name, Incarnation incarnation = 7) {
  NodeRecord node;
  node.name = ProcessId(name);
  node.incarnation = incarnation;
  return node;
}

struct Fixture {
  void Register(const std::string& name, Revision revision,
                Incarnation incarnation = 7) {
    this->nodes[ProcessId(name)] = {MakeNode(name, incarnation), 1, revision};
  }
  void Elect(const std::string& name, FencingToken token, Instant now) {
    this->shares.Update(Ownership{MakeNode(name), token}, this->nodes, now);
  }
  /// The lease of the owner ends.
  void Vacate(const std::string& name, Instant now) {
    this->nodes.erase(ProcessId(name));
    this->shares.Update(std::nullopt, this->nodes, now);
  }

  std::map<ProcessId, Registration> nodes;
  ConnectionShares shares{MakeNode("self")};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(connection_shares, Fixture)

// Guards against a worker that is full before the last of nine owners, all
// frozen but one, or of four if one was frozen before all others started.
BOOST_AUTO_TEST_CASE(the_shares_of_a_series_of_frozen_owners_fit_a_worker) {
  constexpr int kOwners = 9;
  constexpr int kOwnersAfterUnknown = 3;
  const std::size_t unknown = shares.Share();
  std::size_t held = 0;
  Instant now = kStart;
  for (int i = 0; i < kOwners; ++i, now += seconds(5)) {
    const std::string name = "owner-" + std::to_string(i);
    held += shares.Share();
    if (i < kOwnersAfterUnknown)
      BOOST_TEST(held + unknown <= kWorkerConnections);
    Elect(name, 10 + i, now);
    Vacate(name, now + seconds(4));
  }
  BOOST_TEST(held <= kWorkerConnections);
}

BOOST_AUTO_TEST_CASE(
    a_former_owner_that_has_registered_anew_is_forgotten_soon) {
  Register("a", 5);
  Elect("a", 10, kStart);
  Vacate("a", kStart + seconds(1));
  Elect("self", 12, kStart + seconds(2));
  BOOST_TEST(shares.Holders() == 1U);
  Register("a", 14);
  Elect("self", 12, kStart + seconds(3));
  BOOST_TEST(shares.Holders() == 1U);
  Elect("self", 12, kStart + seconds(3) + kConnectionsReleasedAfter);
  BOOST_TEST(shares.Holders() == 0U);
}

// A machine that loses power does not close its connections, and its process
// starts again.
BOOST_AUTO_TEST_CASE(another_incarnation_does_not_show_that_they_are_closed) {
  Elect("a", 10, kStart);
  Vacate("a", kStart + seconds(1));
  Register("a", 14, 8);
  Elect("self", 15, kStart + seconds(2));
  Elect("self", 15, kStart + seconds(60));
  BOOST_TEST(shares.Holders() == 1U);
  Elect("self", 15, kStart + seconds(2) + kMaxConnectionHoldTime);
  BOOST_TEST(shares.Holders() == 0U);
}

// The registration of an owner that is frozen ends with its key; events of one
// moment come one after the other.
BOOST_AUTO_TEST_CASE(an_entry_from_before_the_election_shows_nothing) {
  Register("a", 5);
  Elect("a", 10, kStart);
  shares.Update(std::nullopt, nodes, kStart + seconds(1));
  Vacate("a", kStart + seconds(1));
  Elect("self", 12, kStart + seconds(60));
  BOOST_TEST(shares.Holders() == 1U);
}

BOOST_AUTO_TEST_CASE(an_owner_that_hands_over_is_forgotten_soon) {
  Register("a", 5);
  Elect("a", 10, kStart);
  Elect("b", 12, kStart + seconds(1));
  BOOST_TEST(shares.Holders() == 1U);
  nodes.erase(ProcessId("a"));
  Elect("b", 12, kStart + seconds(1) + kConnectionsReleasedAfter);
  BOOST_TEST(shares.Holders() == 0U);
}

BOOST_AUTO_TEST_CASE(the_owner_and_this_process_are_no_former_owners) {
  Elect("self", 10, kStart);
  Vacate("self", kStart + seconds(1));
  BOOST_TEST(shares.Holders() == 0U);
  Elect("a", 12, kStart + seconds(2));
  Vacate("a", kStart + seconds(3));
  BOOST_TEST(shares.Holders() == 1U);
  Elect("a", 14, kStart + seconds(4));
  BOOST_TEST(shares.Holders() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
