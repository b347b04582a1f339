#include <boost/test/unit_test.hpp>

#include "node.h"

using mustardproxy::Digest;
using mustardproxy::DigestArrived;
using mustardproxy::HybridTime;
using mustardproxy::JournalId;
using mustardproxy::PeerUnreachable;
using mustardproxy::ProcessId;
using mustardproxy::SendDigest;
using mustardproxy::testing::Node;

namespace {

constexpr std::uint64_t kHalfMinute = 30'000'000;

Digest MakeFullDigest(const Node& node) {
  Digest digest = node.MakeDigest();
  digest.configuration_version = 7;
  digest.journals = {JournalId("e1.a"), JournalId("e9.b")};
  digest.owned_workers = 3;
  digest.free = {16000, 64000, 2, 8};
  digest.largest_free = {8000, 32000, 1, 4};
  digest.predicted_wait = std::chrono::milliseconds(25);
  digest.queued = 11;
  digest.stopping = true;
  digest.platform_reachable = false;
  return digest;
}

void CheckEqual(const Digest& a, const Digest& b) {
  BOOST_TEST(a.process == b.process);
  BOOST_TEST(a.incarnation == b.incarnation);
  BOOST_TEST(a.data_center == b.data_center);
  BOOST_TEST(a.configuration_version == b.configuration_version);
  BOOST_TEST((a.journals == b.journals));
  BOOST_TEST(a.owned_workers == b.owned_workers);
  BOOST_TEST((a.free == b.free));
  BOOST_TEST((a.largest_free == b.largest_free));
  BOOST_TEST((a.predicted_wait == b.predicted_wait));
  BOOST_TEST(a.queued == b.queued);
  BOOST_TEST(a.stopping == b.stopping);
  BOOST_TEST(a.platform_reachable == b.platform_reachable);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(heartbeat)

BOOST_AUTO_TEST_CASE(both_ends_learn_the_digest_of_the_other) {
  Node b("e2");
  Node a("e1", {b.Address()});
  const Digest from_a = MakeFullDigest(a);
  Digest from_b = b.MakeDigest();
  from_b.queued = 5;
  b.link->Publish(from_b, "7");
  a.link->Perform(SendDigest{ProcessId("e2"), from_a});
  const auto at_b = b.events.Take<DigestArrived>();
  const auto at_a = a.events.Take<DigestArrived>();
  BOOST_REQUIRE(at_b);
  BOOST_REQUIRE(at_a);
  CheckEqual(at_b->digest, from_a);
  CheckEqual(at_a->digest, from_b);
}

// An operator reads effects before their causes. A heartbeat or its answer
// reaches a process whose wall clock is behind, which goes on stamping events
// with its own time. Cause: the reading in the message was not taken in.
BOOST_AUTO_TEST_CASE(the_clock_reading_of_the_other_end_is_taken_in) {
  Node b("e2");
  Node c("e3");
  c.wall_micros += 2 * kHalfMinute;
  Node a("e1", {b.Address(), c.Address()});
  a.wall_micros += kHalfMinute;
  const HybridTime before = a.clock.Now();
  BOOST_REQUIRE(a.Connect("e2"));
  BOOST_TEST((b.clock.Now() > before));
  BOOST_REQUIRE(a.Connect("e3"));
  BOOST_TEST(a.clock.Now().wall_micros >= c.wall_micros);
}

// A small customer's requests show up at the largest one. A settings file names
// an address that has passed to another customer's process, which answers
// heartbeats like any peer. Cause: nobody compared the customers.
BOOST_AUTO_TEST_CASE(a_process_of_another_customer_is_unreachable) {
  Node b("e2", {}, "addis");
  Node a("e1", {b.Address()}, "dlonie");
  b.wall_micros += kHalfMinute;
  a.link->Perform(SendDigest{ProcessId("e2"), a.MakeDigest()});
  const auto unreachable = a.events.Take<PeerUnreachable>();
  BOOST_REQUIRE(unreachable);
  BOOST_TEST(unreachable->peer == ProcessId("e2"));
  BOOST_TEST(!a.events.Holds<DigestArrived>());
  BOOST_TEST(!b.events.Holds<DigestArrived>());
  BOOST_TEST(a.clock.Now().wall_micros == a.wall_micros);
}

BOOST_AUTO_TEST_CASE(a_process_of_another_name_is_unreachable) {
  Node b("e2");
  Node a("e1", {{"e3", b.port}});
  a.link->Perform(SendDigest{ProcessId("e3"), a.MakeDigest()});
  BOOST_TEST(a.events.Take<PeerUnreachable>().has_value());
  BOOST_TEST(!b.events.Holds<DigestArrived>());
}

BOOST_AUTO_TEST_CASE(a_malformed_digest_is_refused) {
  Node b("e2");
  Node a("e1", {b.Address()});
  Digest digest = a.MakeDigest();
  digest.free.memory_mb = -1;
  a.link->Perform(SendDigest{ProcessId("e2"), digest});
  BOOST_TEST(a.events.Take<PeerUnreachable>().has_value());
  BOOST_TEST(!b.events.Holds<DigestArrived>());
}

BOOST_AUTO_TEST_CASE(unknown_and_absent_processes_are_unreachable) {
  auto b = std::make_unique<Node>("e2");
  Node a("e1", {b->Address()});
  b.reset();
  a.link->Perform(SendDigest{ProcessId("e2"), a.MakeDigest()});
  BOOST_TEST(a.events.Take<PeerUnreachable>().has_value());
  a.link->Perform(SendDigest{ProcessId("e9"), a.MakeDigest()});
  const auto unknown = a.events.Take<PeerUnreachable>();
  BOOST_REQUIRE(unknown);
  BOOST_TEST(unknown->peer == ProcessId("e9"));
}

// Two processes are given the same port by mistake, both start, and each gets a
// part of the requests. Cause: the system shares a port between processes if
// both ask for it.
BOOST_AUTO_TEST_CASE(a_port_in_use_is_an_error) {
  Node a("e1");
  Node b("e2");
  const auto second =
      mustardproxy::PeerLink::Builder()
          .Customer("dlonie")
          .Self({ProcessId("e3"), mustardproxy::DataCenterId("dc1")}, 1)
          .Listen("127.0.0.1", a.port)
          .Sink(&b.events)
          .Clock(&b.clock)
          .Build();
  BOOST_TEST(!second->Start());
}

BOOST_AUTO_TEST_SUITE_END()
