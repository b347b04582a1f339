#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "claim_keeper.h"
#include "event_list.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/platform/platform_link.h"
#include "standin/standin_platform.h"
#include "stored_codec.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::ClaimKey;
using mustardproxy::Error;
using mustardproxy::Event;
using mustardproxy::kClaimPrefix;
using mustardproxy::KeyClaimed;
using mustardproxy::KeyTaken;
using mustardproxy::KeyUnavailable;
using mustardproxy::KeyValueClient;
using mustardproxy::kMaxValueBytes;
using mustardproxy::Outcome;
using mustardproxy::PlatformLink;
using mustardproxy::RequestId;
using mustardproxy::ResolveKeyClaim;
using mustardproxy::SwapEnd;
using mustardproxy::TeamId;
using mustardproxy::View;
namespace platform_detail = mustardproxy::platform_detail;
using mustardproxy::standin::StandinPlatform;
using mustardproxy::testing::EventList;
using mustardproxy::testing::Eventually;

const TeamId kTeam("addis");

ClaimKey Claim(const std::string& request, std::string key = "key") {
  return {RequestId(request), kTeam, std::move(key), 11};
}

ResolveKeyClaim Settle(const std::string& request, bool drop) {
  ResolveKeyClaim settle{RequestId(request), kTeam, "key", 11, {}, drop};
  settle.answer.outcome = Outcome::kCompleted;
  settle.answer.status = 200;
  settle.answer.body = std::make_shared<const std::string>("result");
  return settle;
}

struct Process {
  explicit Process(const std::string& url) {
    this->link = PlatformLink::Builder()
                     .Url(url)
                     .Timeout(10s)
                     .Sink(&this->events)
                     .Build();
    this->link->Start();
  }

  EventList events;
  std::unique_ptr<PlatformLink> link;
};

struct Fixture {
  platform_detail::ClaimBucket Stored() const {
    const auto values = this->platform.Values(kClaimPrefix);
    if (values.size() != 1) {
      return {};
    }
    return platform_detail::DecodeBucket(values.begin()->second).value();
  }

  StandinPlatform platform;
  Process first{this->platform.Url()};
  Process second{this->platform.Url()};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(claims, Fixture)

BOOST_AUTO_TEST_CASE(the_name_of_a_claim_holds_the_hash_of_its_key) {
  BOOST_TEST(platform_detail::ClaimKeyName(kTeam, "") ==
             "claim/addis/cbf29ce484222325");
  BOOST_TEST(platform_detail::ClaimKeyName(kTeam, "a") ==
             "claim/addis/af63dc4c8601ec8c");
}

// A hospital's confirmation comes to two entry processes at once under the same
// key. Exactly one of them may start it.
BOOST_AUTO_TEST_CASE(of_two_processes_one_gets_the_key) {
  constexpr int kRounds = 30;
  for (int i = 0; i < kRounds; ++i) {
    const std::string key = "key" + std::to_string(i);
    this->first.link->Perform(Claim("r1", key));
    this->second.link->Perform(Claim("r2", key));
  }
  const auto ended = [](Process* process) {
    return process->events.Count<KeyClaimed>() +
           process->events.Count<KeyTaken>();
  };
  BOOST_REQUIRE(Eventually([&] {
    return ended(&this->first) == kRounds && ended(&this->second) == kRounds;
  }));
  BOOST_TEST(this->first.events.Count<KeyClaimed>() +
                 this->second.events.Count<KeyClaimed>() ==
             kRounds);
}

BOOST_AUTO_TEST_CASE(a_taken_key_names_its_request_and_its_answer) {
  this->first.link->Perform(Claim("r1"));
  BOOST_REQUIRE(this->first.events.Take<KeyClaimed>().has_value());
  this->second.link->Perform(Claim("r2"));
  auto taken = this->second.events.Take<KeyTaken>();
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST(taken->request == RequestId("r2"));
  BOOST_TEST(taken->claim.request == RequestId("r1"));
  BOOST_TEST(taken->claim.body_hash == 11U);
  BOOST_TEST(!taken->claim.answer.has_value());

  this->first.link->Perform(Settle("r1", false));
  BOOST_REQUIRE(Eventually([&] {
    const auto stored = this->Stored();
    return stored.size() == 1 && stored[0].claim.answer.has_value();
  }));
  this->second.link->Perform(Claim("r3"));
  taken = this->second.events.Take<KeyTaken>();
  BOOST_REQUIRE(taken.has_value());
  BOOST_REQUIRE(taken->claim.answer.has_value());
  BOOST_TEST(View(taken->claim.answer->body) == "result");
}

// The claim took effect, and its reply was lost. Reading it as taken would tell
// the caller "in progress" for good, while nothing runs.
BOOST_AUTO_TEST_CASE(a_lost_reply_does_not_hide_the_own_claim) {
  this->platform.Switch({.lose_replies = 1});
  this->first.link->Perform(Claim("r1"));
  BOOST_TEST(this->first.events.Take<KeyClaimed>().has_value());
  BOOST_TEST(this->platform.Counters()["lost"] == 1);
}

// The reply is lost and the claim can't be read either. The request may not
// start, and the core must learn that the claim may stand; claiming once more
// settles it.
BOOST_AUTO_TEST_CASE(an_unreadable_claim_may_stand) {
  this->platform.Switch({.lose_replies = 1, .reads_per_second = 0});
  this->first.link->Perform(Claim("r1"));
  const auto unavailable = this->first.events.Take<KeyUnavailable>();
  BOOST_REQUIRE(unavailable.has_value());
  BOOST_TEST(unavailable->maybe_claimed);
  this->platform.Switch({});
  this->first.link->Perform(Claim("r1"));
  BOOST_TEST(this->first.events.Take<KeyClaimed>().has_value());
}

BOOST_AUTO_TEST_CASE(a_claim_that_was_refused_does_not_stand) {
  this->platform.Switch({.writes_per_second = 0});
  this->first.link->Perform(Claim("r1"));
  const auto unavailable = this->first.events.Take<KeyUnavailable>();
  BOOST_REQUIRE(unavailable.has_value());
  BOOST_TEST(!unavailable->maybe_claimed);
}

BOOST_AUTO_TEST_CASE(a_dropped_claim_frees_its_key) {
  this->first.link->Perform(Claim("r1"));
  BOOST_REQUIRE(this->first.events.Take<KeyClaimed>().has_value());
  this->first.link->Perform(Settle("r1", true));
  BOOST_REQUIRE(Eventually([&] { return this->Stored().empty(); }));
  this->second.link->Perform(Claim("r2"));
  BOOST_TEST(this->second.events.Take<KeyClaimed>().has_value());
}

// A drop is repeated after its reply was lost, and meanwhile another request
// has claimed the key. Taking that claim away would let a third request run
// beside it.
BOOST_AUTO_TEST_CASE(a_late_drop_leaves_a_later_claim) {
  KeyValueClient client(this->platform.Url(), 10s);
  BOOST_TEST(std::holds_alternative<KeyClaimed>(
      platform_detail::TakeClaim(&client, Claim("r1"))));
  BOOST_TEST(platform_detail::SettleClaim(&client, Settle("r1", true)));
  BOOST_TEST(std::holds_alternative<KeyClaimed>(
      platform_detail::TakeClaim(&client, Claim("r2"))));
  BOOST_TEST(platform_detail::SettleClaim(&client, Settle("r1", true)));
  BOOST_REQUIRE(this->Stored().size() == 1U);
  BOOST_TEST(this->Stored()[0].claim.request == RequestId("r2"));
}

// A claim is given up on while its write is still on its way. Once it is
// dropped, the late write must not block the key for good.
BOOST_AUTO_TEST_CASE(a_drop_refuses_a_claim_that_arrives_late) {
  KeyValueClient client(this->platform.Url(), 10s);
  BOOST_TEST(platform_detail::SettleClaim(&client, Settle("r1", true)));
  const std::string name = platform_detail::ClaimKeyName(kTeam, "key");
  BOOST_TEST((client.Swap(name, "late", 0) == SwapEnd::kConflict));
  BOOST_TEST(std::holds_alternative<KeyClaimed>(
      platform_detail::TakeClaim(&client, Claim("r2"))));
}

// Two different keys with the same hash: neither may shut the other out, or see
// the other's answer.
BOOST_AUTO_TEST_CASE(keys_with_the_same_hash_are_kept_apart) {
  const platform_detail::ClaimBucket other = {
      {"other", {RequestId("r0"), 5, {}}}};
  this->platform.Put(platform_detail::ClaimKeyName(kTeam, "key"),
                     platform_detail::EncodeBucket(other));
  this->first.link->Perform(Claim("r1"));
  BOOST_TEST(this->first.events.Take<KeyClaimed>().has_value());
  this->second.link->Perform(Claim("r2"));
  const auto taken = this->second.events.Take<KeyTaken>();
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST(taken->claim.request == RequestId("r1"));
  BOOST_TEST(this->Stored().size() == 2U);
}

// A screen ends during an outage. Its answer must still reach the platform, or
// a repeat is told "in progress" for good.
BOOST_AUTO_TEST_CASE(an_answer_is_kept_after_an_outage) {
  this->first.link->Perform(Claim("r1"));
  BOOST_REQUIRE(this->first.events.Take<KeyClaimed>().has_value());
  this->platform.Switch({.down = true});
  this->first.link->Perform(Settle("r1", false));
  BOOST_REQUIRE(
      Eventually([&] { return this->platform.Counters()["dropped"] >= 2; }));
  this->platform.Switch({});
  BOOST_TEST(Eventually([&] {
    const auto stored = this->Stored();
    return stored.size() == 1 && stored[0].claim.answer.has_value();
  }));
}

// An answer near the largest size does not fit beside its claim. A repeat must
// learn that the request ran; it may not run it again.
BOOST_AUTO_TEST_CASE(an_answer_that_does_not_fit_is_told) {
  KeyValueClient client(this->platform.Url(), 10s);
  BOOST_TEST(std::holds_alternative<KeyClaimed>(
      platform_detail::TakeClaim(&client, Claim("r1"))));
  ResolveKeyClaim settle = Settle("r1", false);
  settle.answer.body = std::make_shared<const std::string>(kMaxValueBytes, 'x');
  BOOST_TEST(platform_detail::SettleClaim(&client, settle));
  const Event end = platform_detail::TakeClaim(&client, Claim("r2"));
  BOOST_REQUIRE(std::holds_alternative<KeyTaken>(end));
  const auto& answer = std::get<KeyTaken>(end).claim.answer;
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((answer->error == Error::kResultExpired));
  BOOST_TEST((answer->outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
