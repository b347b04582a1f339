#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "claim_keeper.h"
#include "claim_sweeper.h"
#include "event_list.h"
#include "mustardproxy/platform/platform_link.h"
#include "standin/standin_platform.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::ClaimKey;
using mustardproxy::Duration;
using mustardproxy::Event;
using mustardproxy::Instant;
using mustardproxy::kClaimPrefix;
using mustardproxy::KeyClaimed;
using mustardproxy::KeyTaken;
using mustardproxy::KeyValueClient;
using mustardproxy::Outcome;
using mustardproxy::PlatformLink;
using mustardproxy::RequestId;
using mustardproxy::ResolveKeyClaim;
using mustardproxy::SweepClaims;
using mustardproxy::TeamId;
using mustardproxy::platform_detail::ClaimSweeper;
using mustardproxy::platform_detail::SettleClaim;
using mustardproxy::platform_detail::TakeClaim;
using mustardproxy::standin::StandinPlatform;
using mustardproxy::testing::EventList;
using mustardproxy::testing::Eventually;

constexpr Duration kRetention = 1h;
const TeamId kTeam("addis");

/// A sweeper in virtual time over a real client.
struct Fixture {
  Event Take(const std::string& request, const std::string& key) {
    return TakeClaim(&this->client,
                     ClaimKey{RequestId(request), kTeam, key, 1});
  }
  bool Answer(const std::string& request, const std::string& key) {
    ResolveKeyClaim settle{RequestId(request), kTeam, key, 1, {}, false};
    settle.answer.outcome = Outcome::kCompleted;
    return SettleClaim(&this->client, settle);
  }
  std::size_t Kept() const {
    return this->platform.Values(kClaimPrefix).size();
  }
  void Round() {
    while (this->sweeper.Step(&this->client, this->now, kRetention)) {
    }
  }

  StandinPlatform platform;
  KeyValueClient client{this->platform.Url(), 10s};
  ClaimSweeper sweeper;
  Instant now{1s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(claim_sweep, Fixture)

// Story: every booking with a key leaves a claim in the platform, which the
// operators pay for. After months of 13,000 jobs a day they were all still
// there. Nothing ever removed one.
BOOST_AUTO_TEST_CASE(a_claim_goes_after_its_retention) {
  for (int i = 0; i < 5; ++i) {
    std::string name = std::to_string(i);
    (void)this->Take("p1.a." + name, "key" + name);
  }
  this->Round();
  this->now += kRetention - 1s;
  this->Round();
  BOOST_TEST(this->Kept() == 5U);
  this->now += 1s;
  this->Round();
  BOOST_TEST(this->Kept() == 0U);
  this->Round();
  BOOST_TEST(this->sweeper.Watched() == 0U);
}

// Story: a claim is answered long after it was made. Its answer is what keeps a
// repeat from running the booking again, so the time begins anew with it.
BOOST_AUTO_TEST_CASE(a_claim_that_changed_is_kept_from_its_change_on) {
  (void)this->Take("p1.a.1", "key");
  this->Round();
  this->now += kRetention;
  BOOST_TEST(this->Answer("p1.a.1", "key"));
  this->Round();
  BOOST_TEST(this->Kept() == 1U);
  const Event repeat = this->Take("p2.a.1", "key");
  const auto* taken = std::get_if<KeyTaken>(&repeat);
  BOOST_REQUIRE(taken != nullptr);
  BOOST_TEST(taken->claim.answer.has_value());
  this->now += kRetention;
  this->Round();
  BOOST_TEST(this->Kept() == 0U);
  BOOST_TEST(std::holds_alternative<KeyClaimed>(this->Take("p2.a.2", "key")));
}

// Story: the platform goes away in the middle of a round. The claims that were
// not reached go in a later one; none is taken for gone.
BOOST_AUTO_TEST_CASE(a_round_ends_in_an_outage_and_the_next_goes_on) {
  (void)this->Take("p1.a.1", "one");
  (void)this->Take("p1.a.2", "two");
  this->Round();
  this->now += kRetention;
  BOOST_REQUIRE(this->sweeper.Step(&this->client, this->now, kRetention));
  this->platform.Switch({.down = true});
  BOOST_TEST(!this->sweeper.Step(&this->client, this->now, kRetention));
  this->platform.Switch({});
  BOOST_TEST(this->Kept() == 2U);
  this->Round();
  BOOST_TEST(this->Kept() == 0U);
}

// Story: the reply to a removal is lost after it took effect. The next round
// finds the claim gone and goes on.
BOOST_AUTO_TEST_CASE(a_lost_reply_to_a_removal_does_no_harm) {
  (void)this->Take("p1.a.1", "one");
  this->Round();
  this->now += kRetention;
  this->platform.Switch({.lose_replies = 1});
  this->Round();
  this->platform.Switch({});
  this->Round();
  BOOST_TEST(this->Kept() == 0U);
  BOOST_TEST(this->sweeper.Watched() == 0U);
}

BOOST_AUTO_TEST_CASE(the_link_sweeps_when_it_is_told_to) {
  (void)this->Take("p1.a.1", "one");
  EventList events;
  auto link =
      PlatformLink::Builder().Url(this->platform.Url()).Sink(&events).Build();
  link->Start();
  BOOST_TEST(Eventually([&] {
    link->Perform(SweepClaims{Duration{0}});
    return this->Kept() == 0U;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
