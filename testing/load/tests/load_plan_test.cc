#include <boost/test/unit_test.hpp>
#include <map>

#include "load/load_run.h"
#include "load/metrics_text.h"

namespace mustardproxy::load {
namespace {

LoadOptions Options() {
  LoadOptions options;
  options.entries = {"http://a", "http://b"};
  options.rate = 1000;
  options.length = std::chrono::seconds(2);
  return options;
}

BOOST_AUTO_TEST_SUITE(load_plan)

BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_load) {
  auto first = PlanLoad(Options());
  auto second = PlanLoad(Options());
  BOOST_REQUIRE(first.size() == second.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST(first[i].body == second[i].body);
    BOOST_TEST((first[i].due == second[i].due));
  }
}

BOOST_AUTO_TEST_CASE(rate_and_mix_are_as_asked) {
  auto requests = PlanLoad(Options());
  BOOST_TEST(requests.size() > 1700U);
  BOOST_TEST(requests.size() < 2400U);
  std::map<Kind, int> kinds;
  for (const SentRequest& request : requests) ++kinds[request.kind];
  BOOST_TEST(kinds.size() == 6U);
  BOOST_TEST(kinds[Kind::kUrgent] > 1000);
}

BOOST_AUTO_TEST_CASE(repeat_of_a_key_differs_only_in_its_entry) {
  std::map<std::string, SentRequest> first;
  int repeats = 0;
  for (const SentRequest& request : PlanLoad(Options())) {
    if (request.key.empty()) continue;
    auto added = first.emplace(request.key, request);
    if (added.second) continue;
    ++repeats;
    BOOST_TEST(added.first->second.body == request.body);
    BOOST_TEST(added.first->second.team == request.team);
  }
  BOOST_TEST(repeats > 0);
}

BOOST_AUTO_TEST_CASE(histograms_of_processes_are_merged) {
  auto one = ParseMetrics(
      "# TYPE t histogram\n"
      "t_bucket{profile=\"urgent\",le=\"1\"} 90\n"
      "t_bucket{profile=\"urgent\",le=\"10\"} 100\n"
      "t_bucket{profile=\"urgent\",le=\"+Inf\"} 100\n"
      "bytes{to=\"worker\"} 5\nbytes{to=\"peer\"} 6\n");
  auto two = ParseMetrics("t_bucket{profile=\"urgent\",le=\"100\"} 100\n");
  BOOST_TEST(SumOf(one, "bytes") == 11);
  auto merged = HistogramsByProfile({one, two}, "t");
  BOOST_REQUIRE(merged.count("urgent") == 1U);
  BOOST_TEST(merged["urgent"].Count() == 200);
  BOOST_TEST(merged["urgent"].Quantile(0.45) == 1);
  BOOST_TEST(merged["urgent"].Quantile(0.5) == 10);
  BOOST_TEST(merged["urgent"].Quantile(0.99) == 100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::load
