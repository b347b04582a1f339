#include "mustardproxy/platform/platform_link.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "event_list.h"
#include "mustardproxy/platform/key_value_client.h"
#include "standin/standin_platform.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::AppendJournal;
using mustardproxy::ClaimKey;
using mustardproxy::Configuration;
using mustardproxy::ConfigurationArrived;
using mustardproxy::ConfigurationVersion;
using mustardproxy::HostListArrived;
using mustardproxy::JournalAppended;
using mustardproxy::JournalId;
using mustardproxy::kConfigurationKey;
using mustardproxy::kMemberPrefix;
using mustardproxy::ListJournals;
using mustardproxy::Metrics;
using mustardproxy::PlatformLink;
using mustardproxy::PlatformReachability;
using mustardproxy::RequestId;
using mustardproxy::TeamId;
using mustardproxy::WatchConfiguration;
using mustardproxy::standin::StandinPlatform;
using mustardproxy::testing::EventList;
using mustardproxy::testing::Eventually;

/// Documents of these tests are the version alone.
std::optional<Configuration> ParseVersion(std::string_view text) {
  if (text.empty() || text.find_first_not_of("0123456789") != text.npos) {
    return std::nullopt;
  }
  Configuration configuration;
  configuration.version = std::stoull(std::string(text));
  return configuration;
}

struct Fixture {
  Fixture() {
    this->link = PlatformLink::Builder()
                     .Url(this->platform.Url())
                     .Timeout(10s)
                     .HostListInterval(5ms)
                     .WatchWait(600s)
                     .ConfigurationParser(ParseVersion)
                     .Sink(&this->events)
                     .Measure(&this->metrics)
                     .Build();
  }

  bool Arrives(ConfigurationVersion version) {
    const auto arrived = this->events.Take<ConfigurationArrived>();
    return arrived && arrived->configuration.version == version;
  }

  bool Reachable(bool expected) {
    const auto change = this->events.Take<PlatformReachability>();
    return change && change->reachable == expected;
  }

  StandinPlatform platform;
  EventList events;
  Metrics metrics;
  std::unique_ptr<PlatformLink> link;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(platform_link, Fixture)

BOOST_AUTO_TEST_CASE(the_configuration_is_read_once_without_a_watch) {
  this->platform.Put(kConfigurationKey, "3");
  this->link->Start();
  BOOST_TEST(this->Arrives(3));
  BOOST_REQUIRE(
      Eventually([&] { return this->platform.Counters()["hosts"] > 5; }));
  BOOST_TEST(this->platform.Counters()["get"] == 1);
  BOOST_TEST(this->platform.Counters()["watch"] == 0);
}

BOOST_AUTO_TEST_CASE(a_watch_brings_each_change_by_one_waiting_call) {
  this->platform.Put(kConfigurationKey, "3");
  this->link->Perform(WatchConfiguration{true});
  this->link->Start();
  BOOST_TEST(this->Arrives(3));
  this->platform.Put(kConfigurationKey, "4");
  BOOST_TEST(this->Arrives(4));
  this->platform.Put(kConfigurationKey, "not a document");
  BOOST_REQUIRE(
      Eventually([&] { return this->platform.Counters()["watch"] == 3; }));
  this->platform.Put(kConfigurationKey, "5");
  BOOST_TEST(this->Arrives(5));
  BOOST_REQUIRE(
      Eventually([&] { return this->platform.Counters()["watch"] == 4; }));
  BOOST_TEST(this->platform.Counters()["get"] == 1);
}

BOOST_AUTO_TEST_CASE(a_watch_can_begin_later) {
  this->platform.Put(kConfigurationKey, "3");
  this->link->Start();
  BOOST_TEST(this->Arrives(3));
  this->platform.Put(kConfigurationKey, "4");
  this->link->Perform(WatchConfiguration{true});
  BOOST_TEST(this->Arrives(4));
}

// Operators change a profile while the platform can't be reached from here. The
// change must come in once it is back, without a restart.
BOOST_AUTO_TEST_CASE(a_watch_goes_on_after_an_outage) {
  this->platform.Put(kConfigurationKey, "3");
  this->link->Perform(WatchConfiguration{true});
  this->link->Start();
  BOOST_TEST(this->Arrives(3));
  BOOST_TEST(this->Reachable(true));
  this->platform.Switch({.down = true});
  BOOST_TEST(this->Reachable(false));
  this->platform.Put(kConfigurationKey, "4");
  this->platform.Switch({});
  BOOST_TEST(this->Reachable(true));
  BOOST_TEST(this->Arrives(4));
}

BOOST_AUTO_TEST_CASE(a_process_started_in_an_outage_reads_it_afterwards) {
  this->platform.Put(kConfigurationKey, "3");
  this->platform.Switch({.down = true});
  this->link->Start();
  BOOST_TEST(this->Reachable(false));
  this->platform.Switch({});
  BOOST_TEST(this->Arrives(3));
}

// One reply in a few is lost. Processes must not change their mind about the
// platform with each of them.
BOOST_AUTO_TEST_CASE(a_lost_reply_is_no_outage) {
  this->link->Start();
  BOOST_TEST(this->Reachable(true));
  for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
    this->platform.Switch({.lose_replies = 1});
    this->link->Perform(AppendJournal{{JournalId("p1.a"), sequence, 7, {}}});
    BOOST_REQUIRE(this->events.Take<JournalAppended>().has_value());
  }
  BOOST_TEST(this->platform.Counters()["lost"] == 5);
  BOOST_TEST(this->events.Count<PlatformReachability>() == 0U);
}

BOOST_AUTO_TEST_CASE(the_host_list_comes_when_it_changes) {
  this->link->Start();
  BOOST_REQUIRE(this->events.Take<HostListArrived>().has_value());
  this->platform.SetHosts(R"({"hosts": [
    {"id": "w1", "address": "10.0.0.1:80", "data_center": "d", "rack": "r",
     "state": "leaving"}]})");
  const auto arrived = this->events.Take<HostListArrived>();
  BOOST_REQUIRE(arrived.has_value());
  BOOST_REQUIRE(arrived->workers.size() == 1U);
  BOOST_TEST(arrived->workers[0].leaving);
  const std::int64_t polls = this->platform.Counters()["hosts"];
  BOOST_REQUIRE(Eventually(
      [&] { return this->platform.Counters()["hosts"] > polls + 5; }));
  BOOST_TEST(this->events.Count<HostListArrived>() == 0U);
}

// The platform was away when a process asked for the host list, and is back. A
// host that left meanwhile must not get work until the next regular read, which
// is set far off here; a failed read is followed by another one soon.
BOOST_AUTO_TEST_CASE(a_failed_read_of_the_host_list_is_repeated_soon) {
  this->link = PlatformLink::Builder()
                   .Url(this->platform.Url())
                   .HostListInterval(600s)
                   .Sink(&this->events)
                   .Build();
  this->platform.Switch({.down = true});
  this->link->Start();
  BOOST_REQUIRE(this->Reachable(false));
  this->platform.Switch({});
  BOOST_TEST(this->events.Take<HostListArrived>().has_value());
}

BOOST_AUTO_TEST_CASE(a_member_is_written_once_the_platform_answers) {
  this->platform.Put("member/p1", "of an earlier start");
  this->platform.Switch({.down = true});
  this->link->RegisterMember("p1", R"({"operators": "10.0.0.1:1"})");
  this->link->Start();
  BOOST_REQUIRE(this->Reachable(false));
  this->platform.Switch({});
  BOOST_TEST(Eventually([&] {
    return this->platform.Values(kMemberPrefix).at("member/p1") ==
           R"({"operators": "10.0.0.1:1"})";
  }));
}

// A process is told to stop while the platform is silent. It must not hang
// until its calls time out.
BOOST_AUTO_TEST_CASE(stopping_does_not_wait_for_calls) {
  auto slow = PlatformLink::Builder()
                  .Url(this->platform.Url())
                  .Timeout(600s)
                  .Sink(&this->events)
                  .Build();
  this->platform.Switch({.delay_ms = 600'000});
  slow->Start();
  slow->Perform(AppendJournal{{JournalId("p1.a"), 1, 7, {}}});
  slow->Perform(ClaimKey{RequestId("r"), TeamId("t"), "key", 1});
  slow->Perform(ListJournals{});
  auto stop = std::async(std::launch::async, [&] { slow->Stop(); });
  BOOST_REQUIRE(stop.wait_for(mustardproxy::testing::kPatience) ==
                std::future_status::ready);
}

BOOST_AUTO_TEST_CASE(calls_are_counted_by_kind) {
  this->link->Start();
  this->link->Perform(AppendJournal{{JournalId("p1.a"), 1, 7, {}}});
  BOOST_REQUIRE(this->events.Take<JournalAppended>().has_value());
  BOOST_REQUIRE(this->events.Take<HostListArrived>().has_value());
  const std::string text = this->metrics.Format();
  BOOST_TEST(text.find("platform_calls{kind=\"swap\"} 1") != text.npos, text);
  BOOST_TEST(text.find("platform_calls{kind=\"hosts\"}") != text.npos, text);
}

BOOST_AUTO_TEST_SUITE_END()
