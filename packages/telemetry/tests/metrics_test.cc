#include "mustardproxy/telemetry/metrics.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <sstream>
#include <string>

using mustardproxy::Metrics;

namespace {

/// @return the number after `series` at the start of a line, or not a number
double Value(const std::string& text, const std::string& series) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(series + " ")) {
      return std::stod(line.substr(series.size()));
    }
  }
  return std::numeric_limits<double>::quiet_NaN();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(quantiles_are_within_a_bin) {
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i) metrics.Sample("wait_us", "profile=a", i);
  constexpr double kTolerance = 6;  // percent, half a bin
  BOOST_CHECK_CLOSE(metrics.Quantile("wait_us", "profile=a", 0.5), 500.0,
                    kTolerance);
  BOOST_CHECK_CLOSE(metrics.Quantile("wait_us", "profile=a", 0.99), 990.0,
                    kTolerance);
  BOOST_TEST(metrics.Quantile("wait_us", "profile=b", 0.5) == 0);
}

BOOST_AUTO_TEST_CASE(samples_out_of_range_count_at_the_ends) {
  Metrics metrics;
  metrics.Sample("wait_us", "", 0);
  metrics.Sample("wait_us", "", -5);
  metrics.Sample("wait_us", "", 1e12);
  metrics.Sample("wait_us", "", std::numeric_limits<double>::quiet_NaN());
  BOOST_TEST(metrics.Quantile("wait_us", "", 0.5) == 0);
  BOOST_TEST(metrics.Quantile("wait_us", "", 1.0) == 1e9);
  BOOST_TEST(Value(metrics.Format(), "mustardproxy_wait_us_count") == 3);
}

BOOST_AUTO_TEST_CASE(the_text_holds_each_kind_of_series) {
  Metrics metrics;
  metrics.Sample("wait_us", "profile=a", 150);
  metrics.Sample("wait_us", "profile=a", 50);
  metrics.Count("refused", "reason=qu\"ota,team=b\n", 2);
  metrics.Count("refused", "reason=qu\"ota,team=b\n");
  metrics.Set("queued", "", 12.5);
  const std::string text = metrics.Format();
  BOOST_TEST(
      Value(text, R"(mustardproxy_wait_us_bucket{profile="a",le="100"})") == 1);
  BOOST_TEST(
      Value(text, R"(mustardproxy_wait_us_bucket{profile="a",le="+Inf"})") ==
      2);
  BOOST_TEST(Value(text, R"(mustardproxy_wait_us_sum{profile="a"})") == 200);
  BOOST_TEST(
      Value(text, R"(mustardproxy_refused{reason="qu\"ota",team="b\n"})") == 3);
  BOOST_TEST(Value(text, "mustardproxy_queued") == 12.5);
  BOOST_TEST(Value(text, "process_resident_memory_bytes") > 1e6);
  BOOST_TEST(Value(text, "process_cpu_seconds_total") > 0);
}

// A process is ended for its memory after some days. Each caller names a team
// of its own making, and each name makes a series. Cause: no bound on the
// series.
BOOST_AUTO_TEST_CASE(labels_without_end_are_bounded) {
  Metrics metrics;
  metrics.Count("kept", "");
  for (int i = 0; i < 2000; ++i) {
    metrics.Count("teams", "team=" + std::to_string(i));
  }
  metrics.Count("kept", "");
  const std::string text = metrics.Format();
  BOOST_TEST(Value(text, "mustardproxy_kept") == 2);
  BOOST_TEST(Value(text, R"(mustardproxy_teams{team="510"})") == 1);
  BOOST_TEST(std::isnan(Value(text, R"(mustardproxy_teams{team="511"})")));
}

BOOST_AUTO_TEST_CASE(total_of_a_counter_is_over_its_labels) {
  Metrics metrics;
  metrics.Count("bytes", "to=worker", 3);
  metrics.Count("bytes", "to=peer", 4);
  metrics.Count("bytes_lost", "", 8);
  metrics.Count("a", "", 16);
  BOOST_TEST(metrics.Total("bytes") == 7);
  BOOST_TEST(metrics.Total("none") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
