#include "mustardproxy/jobs/admission.h"

#include <boost/test/unit_test.hpp>

#include "mustardproxy/core/error.h"

namespace mustardproxy::jobs {
namespace {

constexpr Duration kFresh = kMaxConfigurationAge / 2;
constexpr Duration kStale = kMaxConfigurationAge * 2;

DesiredState MakeDesired() {
  DesiredState desired;
  desired.version = 7;
  desired.keys_required = true;
  Queue queue;
  queue.name = QueueName("queue");
  desired.queues.push_back(queue);
  Team team;
  team.id = TeamId("team");
  team.keys = {KeyDigest::Of("first"), KeyDigest::Of("second")};
  team.cap.cpu_milli = 5000;
  desired.teams.push_back(team);
  return desired;
}

const Queue* ChooseFirst(const DesiredState& desired) {
  return &desired.queues.front();
}

const Queue* ChooseNone(const DesiredState& /*desired*/) { return nullptr; }

Result<Admission> AdmitKey(const DesiredState& desired, const std::string& key,
                           Duration age = kFresh) {
  return Admit(&desired, age, ChooseFirst, {.key = key});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(key_of_a_team_is_admitted_for_it) {
  const auto admitted = AdmitKey(MakeDesired(), "second");
  BOOST_REQUIRE(admitted.has_value());
  BOOST_TEST(admitted.value().access.team == TeamId("team"));
  BOOST_TEST(admitted.value().access.key_fingerprint ==
             KeyDigest::Of("second").Fingerprint());
  BOOST_TEST(admitted.value().cap.cpu_milli == 5000);
  BOOST_TEST(admitted.value().version == 7U);
}

BOOST_AUTO_TEST_CASE(unknown_or_missing_key_is_denied) {
  const DesiredState desired = MakeDesired();
  for (const char* key : {"", "third", "firs", "first ", "FIRST"}) {
    BOOST_TEST((AdmitKey(desired, key).error() == Error::kUnknownKey));
  }
}

BOOST_AUTO_TEST_CASE(public_queue_and_operators_need_no_key) {
  DesiredState desired = MakeDesired();
  const auto called =
      Admit(&desired, kFresh, ChooseFirst, {.key = {}, .from_operator = true});
  BOOST_REQUIRE(called.has_value());
  BOOST_TEST(called.value().access.team.Empty());
  desired.queues.front().open_to_all = true;
  BOOST_TEST(AdmitKey(desired, "").has_value());
  BOOST_TEST(AdmitKey(desired, "third").value().access.team.Empty());
  BOOST_TEST(AdmitKey(desired, "first").value().access.team == TeamId("team"));
}

BOOST_AUTO_TEST_CASE(configuration_without_teams_requires_no_key) {
  DesiredState desired = MakeDesired();
  desired.teams.clear();
  BOOST_TEST((AdmitKey(desired, "first").error() == Error::kUnknownKey));
  desired.keys_required = false;
  BOOST_TEST(AdmitKey(desired, "").has_value());
}

// Guards against turning away for good a caller whose key or queue is newer
// than the view of a process that does not reach the store.
BOOST_AUTO_TEST_CASE(stale_view_denies_nothing_for_good) {
  const DesiredState desired = MakeDesired();
  BOOST_TEST((AdmitKey(desired, "third", kStale).error() ==
              Error::kConfigurationStale));
  BOOST_TEST(AdmitKey(desired, "first", kStale).has_value());
  const auto no_queue = Admit(&desired, kStale, ChooseNone, {.key = "first"});
  BOOST_TEST((no_queue.error() == Error::kConfigurationStale));
  const auto no_fresh = Admit(&desired, kFresh, ChooseNone, {.key = "first"});
  BOOST_TEST((no_fresh.error() == Error::kUnknownQueue));
  const auto none = Admit(nullptr, kStale, ChooseFirst, {.key = "first"});
  BOOST_TEST((none.error() == Error::kStarting));
}

BOOST_AUTO_TEST_CASE(jobs_are_accessible_to_their_team_and_key) {
  const JobAccess job{TeamId("a"), "key-1"};
  BOOST_TEST(MayAccess({TeamId("a"), "key-2"}, job));
  BOOST_TEST(!MayAccess({TeamId("b"), "key-2"}, job));
  // The team was renamed.
  BOOST_TEST(MayAccess({TeamId("b"), "key-1"}, job));
  // An operator, or a public queue.
  BOOST_TEST(MayAccess({}, job));
  // Stored by an earlier version.
  BOOST_TEST(MayAccess({TeamId("b"), "key-2"}, {}));
}

BOOST_AUTO_TEST_CASE(keys_are_known_by_digest_and_fingerprint) {
  BOOST_TEST((KeyDigest::Of("a") == KeyDigest::Of("a")));
  BOOST_TEST((KeyDigest::Of("a") != KeyDigest::Of("b")));
  // The first bytes of the SHA-256 digest of "abc".
  BOOST_TEST(KeyDigest::Of("abc").Fingerprint() == "ba7816bf8f01cfea");
}

BOOST_AUTO_TEST_CASE(tasks_under_a_cap_are_counted_by_each_resource) {
  const Resources each{2000, 100, 1, 0};
  BOOST_TEST(CountUnderCap({}, {}, each, 9) == 9);
  BOOST_TEST(CountUnderCap({10'000, 0, 0, 0}, {}, each, 9) == 5);
  BOOST_TEST(CountUnderCap({10'000, 250, 0, 0}, {}, each, 9) == 2);
  BOOST_TEST(CountUnderCap({10'000, 0, 3, 0}, {0, 0, 2, 0}, each, 9) == 1);
  BOOST_TEST(CountUnderCap({10'000, 0, 0, 0}, {9000, 0, 0, 0}, each, 9) == 0);
  // The cap was lowered under what runs.
  BOOST_TEST(CountUnderCap({10'000, 0, 0, 0}, {14'000, 0, 0, 0}, each, 9) == 0);
  // A resource that is not taken does not matter.
  BOOST_TEST(CountUnderCap({0, 10, 0, 0}, {0, 90, 0, 0}, {2000, 0, 0, 0}, 9) ==
             9);
}

BOOST_AUTO_TEST_CASE(configuration_with_invalid_teams_is_rejected) {
  BOOST_TEST(!MakeDesired().Check().has_value());
  DesiredState desired = MakeDesired();
  Team other = desired.teams.front();
  other.id = TeamId("other");
  desired.teams.push_back(other);
  BOOST_TEST(desired.Check().value().field == "teams[1].keys");
  desired = MakeDesired();
  desired.teams.front().weight = 0;
  BOOST_TEST(desired.Check().value().field == "teams[0].weight");
  desired = MakeDesired();
  desired.teams.front().cap.memory_mb = -1;
  BOOST_TEST(desired.Check().value().field == "teams[0].cap");
  desired = MakeDesired();
  desired.teams.front().id = TeamId();
  BOOST_TEST(desired.Check().value().field == "teams[0].name");
  desired = MakeDesired();
  Team same;
  same.id = TeamId("team");
  desired.teams.push_back(same);
  BOOST_TEST(desired.Check().value().field == "teams[1].name");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
