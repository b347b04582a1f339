#include "mustardproxy/platform/key_value_client.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "event_list.h"
#include "standin/standin_platform.h"

namespace {

using namespace std::chrono_literals;
using mustardproxy::CallEnd;
using mustardproxy::KeyValueClient;
using mustardproxy::kMaxValueBytes;
using mustardproxy::SwapEnd;
using mustardproxy::standin::StandinPlatform;

constexpr auto kTimeout = 10s;

}  // namespace

BOOST_AUTO_TEST_SUITE(key_value_client)

BOOST_AUTO_TEST_CASE(values_are_created_swapped_listed_and_removed) {
  const StandinPlatform platform;
  KeyValueClient client(platform.Url(), kTimeout);
  BOOST_TEST(!client.Get("a/1").value().has_value());
  BOOST_TEST(
      (client.Swap("a/1", std::string("\0\xff", 2), 0) == SwapEnd::kSwapped));
  const auto created = client.Get("a/1").value();
  BOOST_REQUIRE(created.has_value());
  BOOST_TEST(created->value == std::string("\0\xff", 2));
  BOOST_TEST((client.Swap("a/1", "x", 0) == SwapEnd::kConflict));
  BOOST_TEST(
      (client.Swap("a/1", "y", created->modify_index) == SwapEnd::kSwapped));
  BOOST_TEST(
      (client.Swap("a/1", "z", created->modify_index) == SwapEnd::kConflict));
  BOOST_TEST((client.Swap("a/2 ?%#", "", 0) == SwapEnd::kSwapped));
  BOOST_TEST((client.Swap("b", "", 0) == SwapEnd::kSwapped));

  const auto listed = client.List("a/").value();
  BOOST_REQUIRE(listed.size() == 2U);
  BOOST_TEST(listed[0].value == "y");
  BOOST_TEST(listed[1].key == "a/2 ?%#");
  BOOST_TEST(listed[1].value.empty());
  BOOST_TEST(client.Keys("a/").value().size() == 2U);
  BOOST_TEST(client.Keys("c/").value().empty());
  BOOST_TEST(client.Remove("a/1").has_value());
  BOOST_TEST(!client.Get("a/1").value().has_value());
}

BOOST_AUTO_TEST_CASE(a_value_above_the_limit_is_refused_whole) {
  const StandinPlatform platform;
  KeyValueClient client(platform.Url(), kTimeout);
  const std::string largest(kMaxValueBytes, 'x');
  BOOST_TEST((client.Swap("a", largest, 0) == SwapEnd::kSwapped));
  BOOST_TEST(client.Get("a").value()->value.size() == kMaxValueBytes);
  BOOST_TEST((client.Swap("b", largest + "x", 0) == SwapEnd::kUncertain));
  BOOST_TEST((client.LastEnd() == CallEnd::kRefused));
  BOOST_TEST(!client.Get("b").value().has_value());
}

BOOST_AUTO_TEST_CASE(a_watch_returns_once_the_value_changes) {
  StandinPlatform platform;
  KeyValueClient client(platform.Url(), kTimeout);
  BOOST_TEST((client.Swap("a", "old", 0) == SwapEnd::kSwapped));
  const std::uint64_t index = client.Get("a").value()->modify_index;
  auto watch = std::async(std::launch::async, [&] {
    KeyValueClient watcher(platform.Url(), kTimeout);
    return watcher.Watch("a", index, 60s).value();
  });
  BOOST_REQUIRE(mustardproxy::testing::Eventually(
      [&] { return platform.Counters()["watch"] == 1; }));
  platform.Put("a", "new");
  BOOST_TEST(watch.get()->value == "new");
  const auto unchanged =
      client.Watch("a", client.Get("a").value()->modify_index, 10ms).value();
  BOOST_TEST(unchanged->value == "new");
}

BOOST_AUTO_TEST_CASE(a_waiting_call_ends_when_aborted) {
  StandinPlatform platform;
  platform.Put("a", "value");
  KeyValueClient client(platform.Url(), kTimeout);
  const std::uint64_t index = client.Get("a").value()->modify_index;
  auto watch = std::async(std::launch::async, [&] {
    return client.Watch("a", index, 600s).has_error();
  });
  BOOST_REQUIRE(mustardproxy::testing::Eventually(
      [&] { return platform.Counters()["watch"] == 1; }));
  client.Abort();
  BOOST_REQUIRE(watch.wait_for(mustardproxy::testing::kPatience) ==
                std::future_status::ready);
  BOOST_TEST(watch.get());
  BOOST_TEST(client.Get("a").has_error());
}

// The platform turns calls past its rates down. A writer must be able to tell
// this from a lost reply, since nothing was written.
BOOST_AUTO_TEST_CASE(a_write_past_the_rate_did_nothing) {
  StandinPlatform platform;
  platform.Switch({.writes_per_second = 0});
  KeyValueClient client(platform.Url(), kTimeout);
  BOOST_TEST((client.Swap("a", "x", 0) == SwapEnd::kUncertain));
  BOOST_TEST((client.LastEnd() == CallEnd::kRefused));
  BOOST_TEST(client.Remove("a").has_error());
  BOOST_TEST(!client.Get("a").value().has_value());
  platform.Switch({.reads_per_second = 0});
  BOOST_TEST(client.Get("a").has_error());
  BOOST_TEST(platform.Counters()["refused"] == 3);
}

BOOST_AUTO_TEST_CASE(the_ends_of_a_write_without_a_reply_are_told_apart) {
  std::string gone;
  {
    StandinPlatform platform;
    gone = platform.Url();
    platform.Switch({.lose_replies = 1});
    KeyValueClient client(platform.Url(), kTimeout);
    BOOST_TEST((client.Swap("a", "x", 0) == SwapEnd::kUncertain));
    BOOST_TEST((client.LastEnd() == CallEnd::kNoReply));
    BOOST_TEST(client.Get("a").value()->value == "x");
  }
  KeyValueClient client(gone, kTimeout);
  BOOST_TEST((client.Swap("a", "x", 0) == SwapEnd::kUncertain));
  BOOST_TEST((client.LastEnd() == CallEnd::kNotSent));
}

// The platform restarts while a process is idle, and the connection that was
// kept open is gone. The next append must not end uncertain for that.
BOOST_AUTO_TEST_CASE(a_connection_closed_while_idle_is_not_used) {
  auto platform = std::make_unique<StandinPlatform>();
  const std::string url = platform->Url();
  const int port = std::stoi(url.substr(url.rfind(':') + 1));
  KeyValueClient client(url, kTimeout);
  BOOST_TEST((client.Swap("a", "x", 0) == SwapEnd::kSwapped));
  platform.reset();
  platform =
      std::make_unique<StandinPlatform>(static_cast<std::uint16_t>(port));
  BOOST_TEST((client.Swap("b", "x", 0) == SwapEnd::kSwapped));
}

BOOST_AUTO_TEST_CASE(a_slow_platform_runs_into_the_timeout) {
  StandinPlatform platform;
  platform.Switch({.delay_ms = 600'000});
  KeyValueClient client(platform.Url(), 50ms);
  BOOST_TEST(client.Get("a").has_error());
  BOOST_TEST((client.LastEnd() == CallEnd::kNoReply));
}

BOOST_AUTO_TEST_CASE(hosts_are_read_with_their_state) {
  StandinPlatform platform;
  KeyValueClient client(platform.Url(), kTimeout);
  BOOST_TEST(client.Hosts().value().empty());
  platform.SetHosts(R"({"hosts": [
    {"id": "w1", "address": "10.0.0.1:80", "data_center": "d", "rack": "r",
     "state": "live"},
    {"id": "w2", "address": "10.0.0.2:80", "data_center": "d", "rack": "r",
     "state": "leaving"}]})");
  const auto hosts = client.Hosts().value();
  BOOST_REQUIRE(hosts.size() == 2U);
  BOOST_TEST(hosts[0].id.Text() == "w1");
  BOOST_TEST(hosts[0].address == "10.0.0.1:80");
  BOOST_TEST(!hosts[0].leaving);
  BOOST_TEST(hosts[1].leaving);
  platform.SetHosts(R"({"hosts": [{"id": "w1"}]})");
  BOOST_TEST(client.Hosts().has_error());
}

BOOST_AUTO_TEST_SUITE_END()
