#include "profiles.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "bench.h"

namespace mustardproxy::testing {

using ctl::ExitCode;

BOOST_AUTO_TEST_SUITE(profiles)

BOOST_AUTO_TEST_CASE(a_list_has_a_line_per_profile) {
  Bench bench;
  bench.ApplyText(Document(5));
  const Outcome outcome = bench.Run({"profile", "list"});
  BOOST_TEST((outcome.exit == ExitCode::kOk));
  BOOST_TEST(Holds(outcome.out,
                   "urgent   1         no        no    no           5       "
                   "     600000      best-fit  screen"));
  BOOST_TEST(Holds(outcome.out, "version 1\n"));
}

BOOST_AUTO_TEST_CASE(what_is_shown_can_be_applied_again) {
  Bench bench;
  bench.ApplyText(Document(5));
  const Outcome shown = bench.Run({"profile", "show"});
  BOOST_TEST((shown.exit == ExitCode::kOk));
  const Outcome again = bench.ApplyText(shown.out);
  BOOST_TEST((again.exit == ExitCode::kOk));
  BOOST_TEST(Holds(again.out, "version 1 is the newest"));
}

BOOST_AUTO_TEST_CASE(one_profile_is_shown_by_name) {
  Bench bench;
  bench.ApplyText(Document(5));
  const Outcome shown = bench.Run({"profile", "show", "urgent"});
  BOOST_TEST(Holds(shown.out, "\"max_wait_ms\": 5,"));
  BOOST_TEST(!Holds(shown.out, "teams"));
  const Outcome missing = bench.Run({"profile", "show", "other"});
  BOOST_TEST((missing.exit == ExitCode::kUsage));
}

BOOST_AUTO_TEST_CASE(a_history_shows_what_each_version_changed) {
  Bench bench;
  for (const int wait : {5, 6, 7}) bench.ApplyText(Document(wait));
  const Outcome outcome = bench.Run({"profile", "history"});
  BOOST_TEST(outcome.out ==
             "version 1\n"
             "version 2\n"
             "  ~ profiles.urgent.max_wait_ms: 5 -> 6\n"
             "version 3 (in force)\n"
             "  ~ profiles.urgent.max_wait_ms: 6 -> 7\n");
  const Outcome last = bench.Run({"profile", "history", "--last", "1"});
  BOOST_TEST(last.out == "version 3 (in force)\n");
}

// An operator's program dies right after its compare-and-swap, before it has
// copied the version to the history. The version must neither be missing from
// what is shown nor be lost when the next one replaces it.
BOOST_AUTO_TEST_CASE(a_writer_that_died_leaves_no_gap_in_the_history) {
  Bench bench;
  bench.ApplyText(Document(5));
  std::string text =
      bench.platform.Values("config/current").at("config/current");
  text.replace(text.find("\"version\": 1"), 12, "\"version\": 2");
  text.replace(text.find("\"max_wait_ms\": 5"), 16, "\"max_wait_ms\": 6");
  bench.platform.Put("config/current", text);
  BOOST_TEST(bench.HistoryKeys().size() == 1U);
  const std::string shown =
      "version 1\n"
      "version 2 (in force)\n"
      "  ~ profiles.urgent.max_wait_ms: 5 -> 6\n";
  BOOST_TEST(bench.Run({"profile", "history"}).out == shown);
  bench.ApplyText(Document(7));
  BOOST_TEST(bench.HistoryKeys().size() == 3U);
  BOOST_TEST(Holds(bench.Run({"profile", "history"}).out,
                   "version 2\n  ~ profiles.urgent.max_wait_ms: 5 -> 6\n"));
}

BOOST_AUTO_TEST_CASE(an_empty_platform_and_one_that_is_away_are_told_apart) {
  Bench bench;
  const Outcome empty = bench.Run({"profile", "list"});
  BOOST_TEST((empty.exit == ExitCode::kOk));
  BOOST_TEST(Holds(empty.err, "no configuration applied yet"));
  bench.platform.Switch({.down = true});
  BOOST_TEST(
      (bench.Run({"profile", "list"}).exit == ExitCode::kPlatformUnavailable));
  BOOST_TEST((bench.Run({"profile", "history"}).exit ==
              ExitCode::kPlatformUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
