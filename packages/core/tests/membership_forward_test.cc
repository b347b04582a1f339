#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "mustardproxy/core/membership.h"

using namespace std::chrono_literals;
using mustardproxy::Actions;
using mustardproxy::DataCenterId;
using mustardproxy::Digest;
using mustardproxy::Instant;
using mustardproxy::Membership;
using mustardproxy::PeerDescription;
using mustardproxy::ProcessId;
using mustardproxy::Resources;

namespace {

const DataCenterId kHome("addis-1");
const DataCenterId kRemoteDataCenter("addis-2");
const Resources kTask{1000, 1024, 0, 1};
constexpr std::array kMembers{"a", "b", "c", "d", "e", "f", "g", "h"};

Digest DigestWithFreeSlots(const char* name, std::int64_t slots,
                           std::int32_t queued = 0) {
  Digest digest;
  digest.process = ProcessId(name);
  digest.incarnation = 1;
  digest.data_center = kHome;
  digest.free = {slots * 2000, slots * 4096, 0, slots};
  const std::int64_t on_one = std::min<std::int64_t>(slots, 8);
  digest.largest_free = {on_one * 2000, on_one * 4096, 0, on_one};
  digest.queued = queued;
  return digest;
}

Membership MembershipOfEight(const char* self) {
  std::vector<PeerDescription> peers;
  peers.reserve(kMembers.size() + 1);
  for (const char* name : kMembers) peers.push_back({ProcessId(name), kHome});
  peers.push_back({ProcessId("x"), kRemoteDataCenter});
  return {{ProcessId(self), kHome}, peers, {}};
}

Digest RemoteDigest(std::int64_t slots) {
  Digest digest = DigestWithFreeSlots("x", slots);
  digest.data_center = kRemoteDataCenter;
  return digest;
}

/// Forwards requests until no peer has free resources left.
std::int32_t ForwardAll(Membership* membership, Instant now,
                        std::mt19937_64* random) {
  std::int32_t forwarded = 0;
  while (forwarded < 10'000 &&
         membership->ChooseForwardTarget(now, kTask, {}, (*random)())) {
    ++forwarded;
  }
  return forwarded;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_forward)

BOOST_AUTO_TEST_CASE(the_own_data_centre_is_preferred) {
  Membership membership = MembershipOfEight("a");
  std::mt19937_64 random(1);
  (void)membership.OnDigest(Instant(1s), RemoteDigest(800));
  (void)membership.OnDigest(Instant(1s), DigestWithFreeSlots("b", 2));
  const auto choose = [&] {
    return membership.ChooseForwardTarget(Instant(1s), kTask, {}, random());
  };
  BOOST_TEST((choose() == ProcessId("b")));
  BOOST_TEST((choose() == ProcessId("b")));
  BOOST_TEST((choose() == ProcessId("x")));
}

BOOST_AUTO_TEST_CASE(
    a_stopping_peer_or_one_without_a_fitting_worker_is_not_chosen) {
  Membership membership = MembershipOfEight("a");
  Digest stopping = DigestWithFreeSlots("b", 8);
  stopping.stopping = true;
  Digest scattered = DigestWithFreeSlots("c", 8);
  scattered.largest_free = {500, 512, 0, 1};
  (void)membership.OnDigest(Instant(1s), stopping);
  (void)membership.OnDigest(Instant(1s), scattered);
  (void)membership.OnDigest(Instant(1s), DigestWithFreeSlots("d", 0));
  BOOST_TEST(
      !membership.ChooseForwardTarget(Instant(1s), kTask, {}, 7).has_value());
}

BOOST_AUTO_TEST_CASE(the_busiest_of_several_is_never_chosen) {
  Membership membership = MembershipOfEight("a");
  std::int64_t slots = 100;
  for (const char* name : {"b", "c", "d", "e", "f"}) {
    (void)membership.OnDigest(Instant(1s),
                              DigestWithFreeSlots(name, slots += 1000));
  }
  std::mt19937_64 random(2);
  std::map<std::string, std::int32_t> chosen;
  for (std::int32_t i = 0; i < 500; ++i) {
    const auto peer =
        membership.ChooseForwardTarget(Instant(1s), kTask, {}, random());
    ++chosen[peer->Text()];
  }
  BOOST_TEST(chosen["b"] == 0);
  // The best peer does not get all requests either.
  BOOST_TEST(chosen["f"] < 300);
  BOOST_TEST(chosen["c"] > 0);
}

BOOST_AUTO_TEST_CASE(reservations_count_until_a_digest_can_show_them) {
  // Failure: a peer reports 4 free slots and gets 4 requests. Its next digest
  // was created just before they arrived and shows 4 free slots again. If that
  // digest were used unchanged, 4 more requests would be forwarded and would
  // wait there although other peers have free slots.
  Membership membership = MembershipOfEight("a");
  std::mt19937_64 random(3);
  (void)membership.OnDigest(Instant(1s), DigestWithFreeSlots("b", 4));
  BOOST_TEST(ForwardAll(&membership, Instant(1s), &random) == 4);
  (void)membership.OnDigest(Instant(1s + 10ms), DigestWithFreeSlots("b", 4));
  BOOST_TEST(ForwardAll(&membership, Instant(1s + 10ms), &random) == 0);
  (void)membership.OnDigest(Instant(2s), DigestWithFreeSlots("b", 3));
  BOOST_TEST(ForwardAll(&membership, Instant(2s), &random) == 3);
}

BOOST_AUTO_TEST_CASE(seven_full_members_do_not_overload_the_idle_one) {
  // Failure: one of eight members is idle and the others have queues. All seven
  // see its 24 free slots in the same digest. If each of them forwarded 24
  // requests, it would get 168, and most of them would have to wait.
  for (const std::int64_t slots : {24, 8, 3}) {
    std::int32_t sent = 0;
    std::mt19937_64 random(4);
    for (const char* self : kMembers) {
      if (self == std::string("h")) continue;
      Membership membership = MembershipOfEight(self);
      for (const char* name : kMembers) {
        const bool idle = name == std::string("h");
        (void)membership.OnDigest(Instant(1s),
                                  idle ? DigestWithFreeSlots("h", slots)
                                       : DigestWithFreeSlots(name, 0, 50));
      }
      Actions actions;
      membership.Tick(Instant(1s), DigestWithFreeSlots(self, 0, 50), &actions);
      sent += ForwardAll(&membership, Instant(1s), &random);
    }
    BOOST_TEST_MESSAGE(slots << " slots drew " << sent);
    BOOST_TEST(sent <= std::max<std::int64_t>(slots, 7));
    BOOST_TEST(sent >= 1);
  }
}

BOOST_AUTO_TEST_CASE(a_single_full_member_may_use_all_of_an_idle_one) {
  Membership membership = MembershipOfEight("a");
  std::mt19937_64 random(5);
  for (const char* name : kMembers) {
    (void)membership.OnDigest(Instant(1s), DigestWithFreeSlots(name, 3));
  }
  BOOST_TEST(ForwardAll(&membership, Instant(1s), &random) == 7 * 3);
}

BOOST_AUTO_TEST_CASE(a_request_is_not_forwarded_back_and_forth) {
  // Failure: two members become full at the same time, and each still has an
  // old digest that shows free slots on the other. A request would be forwarded
  // back and forth until its caller times out.
  Membership a = MembershipOfEight("a");
  Membership b = MembershipOfEight("b");
  (void)a.OnDigest(Instant(1s), DigestWithFreeSlots("b", 1));
  (void)b.OnDigest(Instant(1s), DigestWithFreeSlots("a", 1));
  const auto first = a.ChooseForwardTarget(Instant(1s), kTask, {}, 11);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(*first == ProcessId("b"));
  const std::array origin{ProcessId("a")};
  BOOST_TEST(
      !b.ChooseForwardTarget(Instant(1s), kTask, origin, 12).has_value());
  // A second request finds that the reservation uses up the free slot.
  BOOST_TEST(!a.ChooseForwardTarget(Instant(1s), kTask, {}, 13).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
