#include "apply.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "bench.h"

namespace mustardproxy::testing {
namespace {

using ctl::ExitCode;
using Lines = std::vector<std::string>;

const std::string kHistory = "config/history/0000000000000000000";

/// Address of a port on which nobody listens any more.
std::string DeadMember() { return FakeEntry("gone", "lod1").MemberValue(); }

void CheckExit(const Outcome& outcome, ExitCode exit) {
  BOOST_TEST_CONTEXT(outcome.out << outcome.err) {
    BOOST_TEST(static_cast<int>(outcome.exit) == static_cast<int>(exit));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(apply)

BOOST_AUTO_TEST_CASE(the_first_document_becomes_version_1) {
  Bench bench;
  const Outcome outcome = bench.ApplyText(Document(5));
  CheckExit(outcome, ExitCode::kOk);
  BOOST_TEST(Holds(outcome.out, "+ profiles.urgent: "));
  BOOST_TEST(Holds(outcome.out, "version 1 written"));
  BOOST_TEST(bench.HistoryKeys() == Lines{kHistory + "1"},
             boost::test_tools::per_element());
}

// Story: a service changes its profiles thousands of times a day. Each version
// left a copy in the platform for good, until the operators paid for gigabytes
// of them. A version that falls out of the newest 2,000 goes, and so does the
// one before it, in case its own removal had failed.
BOOST_AUTO_TEST_CASE(versions_that_are_too_old_are_removed) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  std::string current = bench.platform.Values("config/").begin()->second;
  const std::string first = R"("version": 1)";
  const std::size_t at = current.find(first);
  BOOST_REQUIRE(at != std::string::npos);
  current.replace(at, first.size(), R"("version": 2008)");
  bench.platform.Put("config/current", current);
  for (const char* past : {"7", "8", "9"}) {
    bench.platform.Put(kHistory + past, current);
  }
  CheckExit(bench.ApplyText(Document(6)), ExitCode::kOk);
  const Lines left = bench.HistoryKeys();
  BOOST_TEST_REQUIRE(left.size() == 4U);
  BOOST_TEST(left[0] == kHistory + "1");
  BOOST_TEST(left[1] == kHistory + "7");
  BOOST_TEST(left[2].ends_with("2008"));
  BOOST_TEST(left[3].ends_with("2009"));
}

BOOST_AUTO_TEST_CASE(applying_what_is_in_force_writes_nothing) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  const auto before = bench.platform.Counters().at("put");
  const Outcome outcome = bench.ApplyText(Document(5));
  CheckExit(outcome, ExitCode::kOk);
  BOOST_TEST(Holds(outcome.out, "version 1 is the newest"));
  BOOST_TEST(bench.platform.Counters().at("put") == before);
}

BOOST_AUTO_TEST_CASE(a_dry_run_shows_the_difference_and_writes_nothing) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  const auto before = bench.platform.Values("config/");
  const Outcome outcome = bench.ApplyText(Document(6), {"--dry-run"});
  CheckExit(outcome, ExitCode::kOk);
  BOOST_TEST(Holds(outcome.out, "~ profiles.urgent.max_wait_ms: 5 -> 6"));
  BOOST_TEST((bench.platform.Values("config/") == before));
}

BOOST_AUTO_TEST_CASE(a_file_with_problems_is_refused_with_all_of_them) {
  Bench bench;
  const Outcome outcome =
      bench.ApplyText(R"({"teams": {}, "profiles": {}, "services": 3})");
  CheckExit(outcome, ExitCode::kInvalidDocument);
  BOOST_TEST(Holds(outcome.err, "services: the field has the wrong type"));
  BOOST_TEST(Holds(outcome.err, "default_team: a required field is missing"));
  BOOST_TEST(bench.platform.Values("").empty());
  CheckExit(bench.Run({"profile", "apply", "/nowhere"}),
            ExitCode::kInvalidDocument);
}

BOOST_AUTO_TEST_CASE(accepted_means_that_every_process_reports_the_version) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  FakeEntry near("waw1-a", "waw1");
  FakeEntry far("lod1-a", "lod1");
  bench.Register("waw1-a", near);
  bench.Register("lod1-a", far);
  near.ReportVersion(2);
  far.ReportVersion(2, 3);
  const Outcome outcome = bench.ApplyText(Document(6));
  CheckExit(outcome, ExitCode::kOk);
  BOOST_TEST(Holds(outcome.out,
                   "version 2 accepted: in force in every data centre (lod1: "
                   "1, waw1: 1)"));
}

// One data centre hears nothing of the new version. The operator must not be
// told that it is accepted, but where it is missing.
BOOST_AUTO_TEST_CASE(a_data_centre_that_lags_is_named) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  FakeEntry near("waw1-a", "waw1");
  FakeEntry far("lod1-a", "lod1");
  bench.Register("waw1-a", near);
  bench.Register("lod1-a", far);
  near.ReportVersion(2);
  far.ReportVersion(1);
  const Outcome outcome = bench.ApplyText(Document(6), {"--timeout", "1"});
  CheckExit(outcome, ExitCode::kNotInForce);
  BOOST_TEST(!Holds(outcome.out, "accepted"));
  BOOST_TEST(Holds(outcome.err, "in force: waw1: 1"));
  BOOST_TEST(Holds(outcome.err,
                   "lags: lod1-a (lod1) " + far.Address() + ": version 1"));
  far.ReportVersion(2);
  const Outcome again = bench.ApplyText(Document(6));
  CheckExit(again, ExitCode::kOk);
  BOOST_TEST(Holds(again.out, "version 2 already in force"));
}

BOOST_AUTO_TEST_CASE(a_process_that_is_not_reached_is_named) {
  Bench bench;
  bench.platform.Put("member/gone", DeadMember());
  bench.platform.Put("member/odd", "{");
  const Outcome outcome = bench.ApplyText(Document(5), {"--timeout", "0"});
  CheckExit(outcome, ExitCode::kNotInForce);
  BOOST_TEST(Holds(outcome.err, "not reached: gone (lod1) 127.0.0.1:"));
  BOOST_TEST(Holds(outcome.err, "not reached: odd without address"));
}

// A host was replaced, and another process now answers at the address that a
// dead one had registered. Its version says nothing about the dead one's.
BOOST_AUTO_TEST_CASE(another_process_at_the_address_does_not_count) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  FakeEntry other("waw1-b", "waw1");
  other.ReportVersion(2);
  bench.Register("waw1-a", other);
  const Outcome outcome = bench.ApplyText(Document(6), {"--timeout", "0"});
  CheckExit(outcome, ExitCode::kNotInForce);
  BOOST_TEST(Holds(outcome.err, "not reached: waw1-a (waw1)"));
}

// Two operators read version 1 and both write version 2. Only one may win; the
// other must learn what has changed, and must not overwrite it.
BOOST_AUTO_TEST_CASE(the_slower_of_two_operators_gets_a_conflict) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  HookedStore store(bench.platform.Url());
  store.hooks.push_back([&](auto key, auto value, auto index) {
    CheckExit(bench.ApplyText(Document(6)), ExitCode::kOk);
    return store.inner->Swap(key, value, index);
  });
  const Outcome outcome = Bench::ApplyThrough(&store, Document(7));
  CheckExit(outcome, ExitCode::kConflict);
  BOOST_TEST(Holds(outcome.err, "version 2 is in force"));
  BOOST_TEST(Holds(outcome.err, "~ profiles.urgent.max_wait_ms: 5 -> 6"));
  const Lines expected = {kHistory + "1", kHistory + "2"};
  BOOST_TEST(bench.HistoryKeys() == expected, boost::test_tools::per_element());
}

// The same, but the other operator is done before the first one has written
// anything at all: what was compared with the file is no longer in force.
BOOST_AUTO_TEST_CASE(a_write_counts_from_what_was_compared) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  HookedStore store(bench.platform.Url());
  store.after_read = [&] {
    CheckExit(bench.ApplyText(Document(6)), ExitCode::kOk);
  };
  const Outcome outcome = Bench::ApplyThrough(&store, Document(7));
  CheckExit(outcome, ExitCode::kConflict);
  BOOST_TEST(Holds(outcome.err, "version 2 is in force"));
}

BOOST_AUTO_TEST_CASE(a_base_that_is_not_in_force_is_a_conflict) {
  Bench bench;
  CheckExit(bench.ApplyText(Document(5), {"--base", "0"}), ExitCode::kOk);
  CheckExit(bench.ApplyText(Document(6), {"--base", "1"}), ExitCode::kOk);
  CheckExit(bench.ApplyText(Document(7), {"--base", "1"}), ExitCode::kConflict);
}

BOOST_AUTO_TEST_CASE(racing_operators_each_win_versions_of_their_own) {
  Bench bench;
  bench.platform.Switch(
      {.writes_per_second = 100'000, .reads_per_second = 100'000});
  constexpr int kRounds = 15;
  int wins[2] = {0, 0};
  const auto race = [&](int operator_index) {
    for (int i = 0; i < kRounds; ++i) {
      const int wait = 1 + operator_index + 2 * i;
      const Outcome outcome = bench.ApplyText(Document(wait));
      if (outcome.exit == ExitCode::kOk) ++wins[operator_index];
    }
  };
  std::thread other(race, 1);
  race(0);
  other.join();
  const auto current =
      bench.platform.Values("config/current").at("config/current");
  const std::string version =
      "\"version\": " + std::to_string(wins[0] + wins[1]) + ",";
  BOOST_TEST(Holds(current, version));
  BOOST_TEST(bench.HistoryKeys().size() ==
             static_cast<std::size_t>(wins[0] + wins[1]));
  BOOST_TEST(wins[0] + wins[1] >= kRounds);
}

// The platform writes the version and its reply is lost. Taken for a failure,
// the write would be tried again and would meet the operator's own version as
// a conflict.
BOOST_AUTO_TEST_CASE(a_lost_reply_is_settled_by_reading) {
  Bench bench;
  bench.platform.Switch({.lose_replies = 1});
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kOk);
  bench.platform.Switch({.lose_replies = -1});
  const Outcome outcome = bench.ApplyText(Document(6));
  CheckExit(outcome, ExitCode::kOk);
  BOOST_TEST(Holds(outcome.out, "version 2 written"));
}

// The write seems lost and is sent again, and then the first one arrives after
// all. The second fails on the changed index, but the version is ours.
BOOST_AUTO_TEST_CASE(a_write_that_arrives_late_is_known_as_our_own) {
  Bench bench;
  HookedStore store(bench.platform.Url());
  store.hooks.push_back([](auto, auto, auto) { return SwapEnd::kUncertain; });
  store.hooks.push_back([&](auto key, auto value, auto index) {
    BOOST_TEST((store.inner->Swap(key, value, index) == SwapEnd::kSwapped));
    return store.inner->Swap(key, value, index);
  });
  const Outcome outcome = Bench::ApplyThrough(&store, Document(5));
  CheckExit(outcome, ExitCode::kOk);
  BOOST_TEST(Holds(outcome.out, "version 1 written"));
}

// The reply is lost, and another operator builds on the new version before the
// first one reads. The version is no longer current, but it was written.
BOOST_AUTO_TEST_CASE(a_lost_reply_is_settled_by_the_history_too) {
  Bench bench;
  HookedStore store(bench.platform.Url());
  store.hooks.push_back([&](auto key, auto value, auto index) {
    BOOST_TEST((store.inner->Swap(key, value, index) == SwapEnd::kSwapped));
    CheckExit(bench.ApplyText(Document(6)), ExitCode::kOk);
    return SwapEnd::kUncertain;
  });
  const Outcome outcome = Bench::ApplyThrough(&store, Document(5));
  CheckExit(outcome, ExitCode::kOk);
  BOOST_TEST(Holds(outcome.out, "version 1 written"));
}

// The write never arrives, and another operator's version takes its number.
BOOST_AUTO_TEST_CASE(a_lost_write_that_another_overtook_is_a_conflict) {
  Bench bench;
  HookedStore store(bench.platform.Url());
  store.hooks.push_back([&](auto, auto, auto) {
    CheckExit(bench.ApplyText(Document(6)), ExitCode::kOk);
    CheckExit(bench.ApplyText(Document(7)), ExitCode::kOk);
    return SwapEnd::kUncertain;
  });
  const Outcome outcome = Bench::ApplyThrough(&store, Document(5));
  CheckExit(outcome, ExitCode::kConflict);
  BOOST_TEST(Holds(outcome.err, "version 2 is in force"));
}

BOOST_AUTO_TEST_CASE(a_platform_that_is_away_has_its_own_exit_code) {
  Bench bench;
  bench.platform.Switch({.down = true});
  CheckExit(bench.ApplyText(Document(5)), ExitCode::kPlatformUnavailable);
}

// The document was deleted. Counting from 1 again, every process would refuse
// the new versions as old ones, without a word.
BOOST_AUTO_TEST_CASE(versions_go_on_after_the_document_was_deleted) {
  Bench bench;
  FakeEntry entry("waw1-a", "waw1");
  bench.Register("waw1-a", entry);
  entry.ReportVersion(41);
  bench.ApplyText(Document(5), {"--timeout", "0"});
  const auto current =
      bench.platform.Values("config/current").at("config/current");
  BOOST_TEST(Holds(current, "\"version\": 42,"));
}

// A newer release wrote a field that this one does not know. Written back, the
// document would lack it.
BOOST_AUTO_TEST_CASE(a_document_that_is_not_understood_is_left_alone) {
  Bench bench;
  bench.platform.Put("config/current", R"({"version": 3, "new_field": 1})");
  const Outcome outcome = bench.ApplyText(Document(5));
  CheckExit(outcome, ExitCode::kInvalidDocument);
  BOOST_TEST(Holds(outcome.err, "new_field: no such field is known"));
  BOOST_TEST(bench.platform.Values("config/").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
