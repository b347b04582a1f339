#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "mustardproxy/core/membership.h"
#include "ownership_cell.h"

using namespace std::chrono_literals;
using mustardproxy::Actions;
using mustardproxy::DataCenterId;
using mustardproxy::Digest;
using mustardproxy::Instant;
using mustardproxy::JournalId;
using mustardproxy::Membership;
using mustardproxy::PeerDescription;
using mustardproxy::ProcessId;
using mustardproxy::SendDigest;
using mustardproxy::testing::OwnershipCell;

namespace {

const DataCenterId kHome("mazowsze-1");

Digest DigestOf(const char* name, bool platform_reachable = true) {
  Digest digest;
  digest.process = ProcessId(name);
  digest.incarnation = 1;
  digest.data_center = kHome;
  digest.platform_reachable = platform_reachable;
  return digest;
}

Membership MembershipOfThree(const char* self) {
  std::vector<PeerDescription> peers;
  for (const char* name : {"a", "b", "c"}) {
    peers.push_back({ProcessId(name), kHome});
  }
  return {{ProcessId(self), kHome}, peers, {}};
}

/// @return the members that consider themselves the configuration watcher, each
///   according to its own view
std::string ConfigurationWatchers(const std::vector<Digest>& digests) {
  std::string watchers;
  for (const Digest& self : digests) {
    Membership membership = MembershipOfThree(self.process.Text().c_str());
    for (const Digest& digest : digests) {
      (void)membership.OnDigest(Instant(1s), digest);
    }
    Actions actions;
    membership.Tick(Instant(1s), self, &actions);
    if (membership.IsConfigurationWatcher()) watchers += self.process.Text();
  }
  return watchers;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_failure)

BOOST_AUTO_TEST_CASE(a_restart_is_detected_and_late_digests_are_ignored) {
  // Failure: a process restarts under the same name, and a delayed heartbeat of
  // its former run arrives after the first one of the new run. If it were
  // accepted, the orphaned journal would appear to be held by a live process,
  // and its deferred work would never be adopted.
  Membership membership = MembershipOfThree("a");
  Digest former = DigestOf("b");
  former.journals = {JournalId("b.1")};
  Digest present = DigestOf("b");
  present.incarnation = 2;
  present.journals = {JournalId("b.2")};
  BOOST_TEST(membership.OnDigest(Instant(1s), former));
  BOOST_TEST(membership.OnDigest(Instant(2s), present));
  BOOST_TEST(!membership.OnDigest(Instant(3s), former));
  BOOST_TEST(!membership.JournalHolder(JournalId("b.1")).has_value());
  BOOST_TEST(membership.JournalHolder(JournalId("b.2")).has_value());
  BOOST_TEST(!membership.OnDigest(Instant(4s), present));
}

BOOST_AUTO_TEST_CASE(one_member_watches_and_another_takes_over) {
  // Failure: only the member that watches the configuration loses its
  // connection to the platform. Configuration changes would not reach this data
  // centre although two other members could read them.
  const std::vector<Digest> healthy{DigestOf("a"), DigestOf("b"),
                                    DigestOf("c")};
  BOOST_TEST(ConfigurationWatchers(healthy) == "a");
  const std::vector<Digest> first_cut{DigestOf("a", false), DigestOf("b"),
                                      DigestOf("c")};
  BOOST_TEST(ConfigurationWatchers(first_cut) == "b");
  // During an outage that affects all members, only one of them keeps trying.
  const std::vector<Digest> outage{DigestOf("a", false), DigestOf("b", false),
                                   DigestOf("c", false)};
  BOOST_TEST(ConfigurationWatchers(outage) == "a");
}

BOOST_AUTO_TEST_CASE(a_crashed_process_is_detected_by_refused_connections) {
  // An entry process crashes, and its host refuses each heartbeat connection
  // immediately. The workers that it owned stay idle until its peers have
  // detected the crash.
  Membership membership = MembershipOfThree("a");
  (void)membership.OnDigest(Instant(1s), DigestOf("b"));
  (void)membership.OnDigest(Instant(1s), DigestOf("c"));
  Instant lost;
  for (auto now = Instant(1s); lost == Instant() && now < Instant(9s);
       now += 10ms) {
    Actions actions;
    membership.Tick(now, DigestOf("a"), &actions);
    for (const auto& action : actions) {
      const ProcessId& peer = std::get<SendDigest>(action).peer;
      if (peer == ProcessId("b")) membership.OnUnreachable(now, peer);
      if (peer == ProcessId("c")) (void)membership.OnDigest(now, DigestOf("c"));
    }
    if (!membership.TakeLostPeers(now).empty()) lost = now;
  }
  BOOST_TEST((lost > Instant(1s)));
  BOOST_TEST((lost <= Instant(2s + 600ms)));
  BOOST_TEST(membership.Alive(ProcessId("c")));
}

BOOST_AUTO_TEST_CASE(one_lost_heartbeat_has_no_effect) {
  // Failure: a single heartbeat is lost in the network, its receiver is
  // considered failed, and other members attach to its workers.
  Membership membership = MembershipOfThree("a");
  (void)membership.OnDigest(Instant(1s), DigestOf("b"));
  (void)membership.OnDigest(Instant(1s), DigestOf("c"));
  std::int32_t sent = 0;
  for (auto now = Instant(1s); now < Instant(20s); now += 10ms) {
    Actions actions;
    membership.Tick(now, DigestOf("a"), &actions);
    for (const auto& action : actions) {
      const std::string& peer = std::get<SendDigest>(action).peer.Text();
      const bool dropped = peer == "b" && sent++ % 3 == 0;
      if (!dropped) {
        (void)membership.OnDigest(now, DigestOf(peer.c_str()));
      }
    }
    BOOST_TEST(membership.TakeLostPeers(now).empty());
  }
  BOOST_TEST(sent > 9);
  BOOST_TEST(membership.LocalMembers().size() == 3U);
}

BOOST_AUTO_TEST_CASE(urgent_changes_do_not_wait_for_the_heartbeat) {
  // A configuration change reaches one of eight members through its watch. The
  // others must receive it within seconds, although heartbeats of an idle cell
  // are seconds apart.
  OwnershipCell cell({"a", "b", "c", "d", "e", "f", "g", "h"}, 1);
  cell.StartAll();
  cell.Run(20s);
  const std::int32_t before = cell.At("a").heartbeats;
  while (cell.At("a").heartbeats == before) cell.Run(10ms);
  cell.Run(500ms);
  Membership& membership = cell.At("a").membership;
  Digest changed = cell.At("a").OwnDigest();
  changed.configuration_version = 9;
  std::set<ProcessId> notified;
  for (std::int32_t i = 0; i < 30; ++i) {
    Actions actions;
    cell.now += 10ms;
    membership.Tick(cell.now, changed, &actions);
    for (const auto& action : actions) {
      notified.insert(std::get<SendDigest>(action).peer);
    }
  }
  BOOST_TEST(notified.size() == 7U);
}

BOOST_AUTO_TEST_CASE(idle_heartbeats_of_eight_members_stay_in_their_budget) {
  // Failure: heartbeats every 500 ms between 8 members use 4.5 KB per second
  // for each of them, more than the limit for all control messages together.
  const std::vector<std::string> names{"a", "b", "c", "d", "e", "f", "g", "h"};
  OwnershipCell cell(names, 1);
  cell.StartAll();
  cell.Run(20s);
  std::int32_t before = 0;
  for (const std::string& name : names) before += cell.At(name).heartbeats;
  cell.Run(60s);
  std::int32_t sent = -before;
  for (const std::string& name : names) sent += cell.At(name).heartbeats;
  // Each exchange is sent by one member and answered by another; both messages
  // together have 320 bytes.
  const std::int32_t bytes_per_member = sent * 2 * 320 / 60 / 8;
  BOOST_TEST_MESSAGE("bytes a second of each: " << bytes_per_member);
  BOOST_TEST(bytes_per_member <= 1000);
  for (const std::string& name : names) {
    BOOST_TEST(cell.At(name).membership.LocalMembers().size() == 8U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
