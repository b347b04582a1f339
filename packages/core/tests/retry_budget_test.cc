#include "mustardproxy/core/retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using mustardproxy::Instant;
using mustardproxy::RetryBudget;

BOOST_AUTO_TEST_SUITE(retry_budget)

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_tenth_of_the_traffic) {
  // Failure: every worker of the cell fails every request. Each failure asks
  // for a retry, so without a limit the retries would multiply the load of the
  // failing cell. 1,000 requests per second arrive for 10 s.
  RetryBudget budget(0.1, 1);
  std::int32_t retries = 0;
  for (std::int32_t i = 0; i < 10'000; ++i) {
    const Instant now(i * 1ms);
    budget.OnRequest(now);
    while (budget.TryRetry(now)) ++retries;
  }
  BOOST_TEST(retries >= 1000);
  // The minimum of one per second and the initial token are added.
  BOOST_TEST(retries <= 1012);
}

BOOST_AUTO_TEST_CASE(retries_are_allowed_at_low_traffic) {
  RetryBudget budget(0.1, 2);
  std::int32_t retries = 0;
  for (std::int32_t second = 0; second < 60; ++second) {
    const Instant now(second * 1s);
    budget.OnRequest(now);
    while (budget.TryRetry(now)) ++retries;
  }
  BOOST_TEST(retries >= 2 * 59);
  BOOST_TEST(retries <= 2 * 60 + 7);
}

BOOST_AUTO_TEST_CASE(a_minimum_below_one_a_second_adds_up_to_whole_retries) {
  RetryBudget budget(0.1, 0.25);
  BOOST_TEST(!budget.TryRetry(Instant(0s)));
  BOOST_TEST(budget.TryRetry(Instant(4s)));
  BOOST_TEST(!budget.TryRetry(Instant(5s)));
}

BOOST_AUTO_TEST_CASE(idle_time_accumulates_a_bounded_number_of_retries) {
  // Failure: after hours without traffic, the first fault fails hundreds of
  // requests at once. The retries must not all be paid from tokens that
  // accumulated during the idle time.
  RetryBudget budget(0.1, 1);
  std::int32_t retries = 0;
  while (budget.TryRetry(Instant(8h))) ++retries;
  BOOST_TEST(retries == 5);
}

BOOST_AUTO_TEST_CASE(traffic_accumulates_at_most_its_burst) {
  RetryBudget budget(0.1, 1);
  for (std::int32_t i = 0; i < 100'000; ++i) budget.OnRequest(Instant(1s));
  std::int32_t retries = 0;
  while (budget.TryRetry(Instant(1s))) ++retries;
  BOOST_TEST(retries == 100);
}

BOOST_AUTO_TEST_SUITE_END()
