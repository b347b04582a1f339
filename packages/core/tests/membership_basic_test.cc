#include <boost/test/unit_test.hpp>
#include <set>

#include "mustardproxy/core/membership.h"

using namespace std::chrono_literals;
using mustardproxy::Actions;
using mustardproxy::DataCenterId;
using mustardproxy::Digest;
using mustardproxy::Instant;
using mustardproxy::JournalId;
using mustardproxy::Membership;
using mustardproxy::MembershipOptions;
using mustardproxy::PeerDescription;
using mustardproxy::ProcessId;
using mustardproxy::RackId;
using mustardproxy::SendDigest;

namespace {

const DataCenterId kHome("mazowsze-1");
const DataCenterId kRemoteDataCenter("mazowsze-2");

PeerDescription Describe(const char* name, const DataCenterId& data_center) {
  return {ProcessId(name), data_center};
}

Digest DigestOf(const char* name, const DataCenterId& data_center) {
  Digest digest;
  digest.process = ProcessId(name);
  digest.incarnation = 1;
  digest.data_center = data_center;
  return digest;
}

Membership TwoDataCenters() {
  return Membership(
      Describe("a", kHome),
      {Describe("b", kHome), Describe("c", kHome),
       Describe("x", kRemoteDataCenter), Describe("y", kRemoteDataCenter)},
      MembershipOptions());
}

std::set<ProcessId> Receivers(const Actions& actions) {
  std::set<ProcessId> receivers;
  for (const auto& action : actions) {
    receivers.insert(std::get<SendDigest>(action).peer);
  }
  return receivers;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_basic)

BOOST_AUTO_TEST_CASE(heartbeats_go_to_all_local_and_one_remote_member) {
  Membership membership = TwoDataCenters();
  Actions actions;
  membership.Tick(Instant(1s), DigestOf("a", kHome), &actions);
  const std::set<ProcessId> receivers = Receivers(actions);
  BOOST_TEST(receivers.size() == 3U);
  BOOST_TEST(receivers.contains(ProcessId("b")));
  BOOST_TEST(receivers.contains(ProcessId("c")));
}

BOOST_AUTO_TEST_CASE(only_live_local_members_that_are_not_stopping_are_listed) {
  Membership membership = TwoDataCenters();
  BOOST_TEST(membership.OnDigest(Instant(1s), DigestOf("b", kHome)));
  BOOST_TEST(!membership.OnDigest(Instant(1s), DigestOf("b", kHome)));
  BOOST_TEST(
      membership.OnDigest(Instant(1s), DigestOf("x", kRemoteDataCenter)));
  Digest stopping = DigestOf("c", kHome);
  stopping.stopping = true;
  BOOST_TEST(membership.OnDigest(Instant(1s), stopping));
  const std::vector<ProcessId> expected{ProcessId("a"), ProcessId("b")};
  BOOST_TEST(membership.LocalMembers() == expected,
             boost::test_tools::per_element());
  BOOST_TEST(membership.Alive(ProcessId("c")));
  BOOST_TEST(membership.Alive(ProcessId("x")));
  BOOST_TEST(!membership.Alive(ProcessId("y")));
}

BOOST_AUTO_TEST_CASE(all_members_agree_on_the_preferred_owner) {
  Membership first(Describe("a", kHome), {Describe("b", kHome)}, {});
  Membership second(Describe("b", kHome), {Describe("a", kHome)}, {});
  BOOST_TEST(first.OnDigest(Instant(1s), DigestOf("b", kHome)));
  BOOST_TEST(second.OnDigest(Instant(1s), DigestOf("a", kHome)));
  std::set<ProcessId> owners;
  for (std::int32_t i = 0; i < 20; ++i) {
    const RackId rack(std::to_string(i));
    BOOST_TEST(first.PreferredOwner(rack) == second.PreferredOwner(rack));
    owners.insert(first.PreferredOwner(rack));
  }
  BOOST_TEST(owners.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_silent_member_is_reported_lost_once) {
  Membership membership(Describe("a", kHome), {Describe("b", kHome)}, {});
  BOOST_TEST(membership.OnDigest(Instant(1s), DigestOf("b", kHome)));
  Actions actions;
  std::vector<ProcessId> lost;
  for (auto now = Instant(1s); now < Instant(6s); now += 100ms) {
    membership.Tick(now, DigestOf("a", kHome), &actions);
    for (const ProcessId& peer : membership.TakeLostPeers(now)) {
      BOOST_TEST((now >= Instant(3s)));
      lost.push_back(peer);
    }
  }
  const std::vector<ProcessId> expected{ProcessId("b")};
  BOOST_TEST(lost == expected, boost::test_tools::per_element());
  BOOST_TEST(!membership.Alive(ProcessId("b")));
  BOOST_TEST(membership.OnDigest(Instant(7s), DigestOf("b", kHome)));
}

BOOST_AUTO_TEST_CASE(the_holder_of_a_journal_is_found_by_its_digest) {
  Membership membership = TwoDataCenters();
  Digest digest = DigestOf("x", kRemoteDataCenter);
  digest.journals = {JournalId("x.1"), JournalId("z.4")};
  BOOST_TEST(membership.OnDigest(Instant(1s), digest));
  BOOST_TEST((membership.JournalHolder(JournalId("z.4")) == ProcessId("x")));
  BOOST_TEST(!membership.JournalHolder(JournalId("z.5")).has_value());
}

BOOST_AUTO_TEST_CASE(the_newest_configuration_is_fetched_from_a_local_peer) {
  Membership membership = TwoDataCenters();
  Digest remote = DigestOf("x", kRemoteDataCenter);
  remote.configuration_version = 8;
  Digest local = DigestOf("c", kHome);
  local.configuration_version = 8;
  BOOST_TEST(membership.OnDigest(Instant(1s), remote));
  BOOST_TEST(membership.OnDigest(Instant(1s), local));
  BOOST_TEST(
      (membership.PeerWithNewerConfiguration(7) == Describe("c", kHome)));
  BOOST_TEST(!membership.PeerWithNewerConfiguration(8).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
