#include "mustardproxy/telemetry/clock.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>

using mustardproxy::HybridClock;
using mustardproxy::HybridTime;

namespace {

constexpr std::uint64_t kMinute = 60'000'000;
constexpr std::uint64_t kStart = 1'700'000'000'000'000;

/// A clock whose wall time the test sets.
struct TestClock {
  std::uint64_t wall = kStart;
  HybridClock clock{[this] { return this->wall; }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(clocks)

BOOST_AUTO_TEST_CASE(readings_grow_while_the_wall_clock_stands_or_steps_back) {
  TestClock local;
  const HybridTime first = local.clock.Now();
  const HybridTime second = local.clock.Now();
  local.wall -= 10 * kMinute;
  const HybridTime third = local.clock.Now();
  BOOST_TEST((first < second));
  BOOST_TEST((second < third));
}

BOOST_AUTO_TEST_CASE(a_remote_reading_ahead_is_overtaken) {
  TestClock local;
  const HybridTime remote{kStart + kMinute / 2, 7};
  local.clock.Observe(remote);
  const HybridTime after = local.clock.Now();
  BOOST_TEST((after > remote));
  BOOST_TEST(after.wall_micros == remote.wall_micros);
}

BOOST_AUTO_TEST_CASE(a_remote_reading_behind_changes_nothing) {
  TestClock local;
  const HybridTime before = local.clock.Now();
  local.clock.Observe({kStart - kMinute, 99});
  const HybridTime after = local.clock.Now();
  BOOST_TEST(after.wall_micros == before.wall_micros);
  BOOST_TEST(after.counter == before.counter + 1);
}

// An operator sees time line entries of every process dated next year. One
// machine's wall clock jumps ahead; its heartbeat reaches the others, which
// follow it and pass it on. Cause: a reading far ahead was followed.
BOOST_AUTO_TEST_CASE(a_reading_more_than_a_minute_ahead_is_not_followed) {
  TestClock local;
  local.clock.Observe({kStart + kMinute + 1, 0});
  BOOST_TEST(local.clock.Now().wall_micros == kStart);
}

BOOST_AUTO_TEST_CASE(a_full_counter_carries_into_the_wall_time) {
  TestClock local;
  const HybridTime remote{kStart + 1,
                          std::numeric_limits<std::uint32_t>::max()};
  local.clock.Observe(remote);
  BOOST_TEST((local.clock.Now() > remote));
}

BOOST_AUTO_TEST_CASE(the_steady_clock_does_not_go_back) {
  const mustardproxy::Instant before = mustardproxy::SteadyNow();
  BOOST_TEST((mustardproxy::SteadyNow() >= before));
}

BOOST_AUTO_TEST_SUITE_END()
