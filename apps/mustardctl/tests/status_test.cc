#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/ServerSocket.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "bench.h"
#include "entry_status.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::testing {

using ctl::ExitCode;

BOOST_AUTO_TEST_SUITE(status)

BOOST_AUTO_TEST_CASE(a_status_has_a_line_per_registered_process) {
  Bench bench;
  FakeEntry near("waw1-a", "waw1");
  FakeEntry far("lod1-a", "lod1");
  near.ReportVersion(3);
  far.ReportVersion(2);
  bench.Register("waw1-a", near);
  bench.Register("lod1-a", far);
  const Outcome outcome = bench.Run({"status"});
  BOOST_TEST((outcome.exit == ExitCode::kOk));
  BOOST_TEST(Holds(outcome.out, "waw1-a   waw1         3        ready  yes"));
  BOOST_TEST(Holds(outcome.out, "lod1-a   lod1         2        ready  yes"));
  BOOST_TEST(Holds(outcome.out, "1500/4000 0/0 0/0 0/0"));
  BOOST_TEST(Holds(outcome.out, "the configuration differs: versions 2 to 3"));
}

BOOST_AUTO_TEST_CASE(a_status_as_json_holds_the_answers_as_they_came) {
  FakeEntry entry("waw1-a", "waw1");
  const Outcome outcome = Bench::RunRaw(
      {"status", "--json", "--entry", "http://" + entry.Address()});
  BOOST_TEST((outcome.exit == ExitCode::kOk));
  const auto root = Poco::JSON::Parser()
                        .parse(outcome.out)
                        .extract<Poco::JSON::Object::Ptr>();
  const auto answer = root->getArray("entries")->getObject(0);
  BOOST_TEST(answer->getValue<std::string>("process") == "waw1-a");
  BOOST_TEST(answer->getValue<int>("queued") == 5);
  BOOST_TEST(root->getArray("unreachable")->size() == 0U);
}

// The platform is away. The operator still sees the processes that are named
// on the command line, and is told which of them does not answer.
BOOST_AUTO_TEST_CASE(named_processes_are_asked_without_the_platform) {
  FakeEntry entry("waw1-a", "waw1");
  std::string dead;
  { dead = FakeEntry("waw1-b", "waw1").Address(); }
  const Outcome outcome =
      Bench::RunRaw({"status", "--entry", "http://" + entry.Address(),
                     "--entry", "http://" + dead});
  BOOST_TEST((outcome.exit == ExitCode::kEntryUnreachable));
  BOOST_TEST(Holds(outcome.out, "waw1-a"));
  BOOST_TEST(Holds(outcome.err, "not reached: " + dead));
}

// A host accepts connections and never answers. The status of the others must
// not wait for it for longer than the timeout.
BOOST_AUTO_TEST_CASE(a_silent_process_does_not_hold_the_others_up) {
  FakeEntry entry("waw1-a", "waw1");
  const Poco::Net::ServerSocket silent(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  const auto begin = std::chrono::steady_clock::now();
  const Outcome outcome =
      Bench::RunRaw({"status", "--entry", "http://" + entry.Address(),
                     "--entry", "http://" + silent.address().toString()});
  BOOST_TEST((outcome.exit == ExitCode::kEntryUnreachable));
  BOOST_TEST(Holds(outcome.out, "waw1-a"));
  const auto taken = std::chrono::steady_clock::now() - begin;
  BOOST_TEST((taken < std::chrono::seconds(10)));
}

BOOST_AUTO_TEST_CASE(a_platform_that_is_away_has_its_own_exit_code) {
  Bench bench;
  bench.platform.Switch({.down = true});
  BOOST_TEST((bench.Run({"status"}).exit == ExitCode::kPlatformUnavailable));
  BOOST_TEST((bench.Run({"timeline"}).exit == ExitCode::kPlatformUnavailable));
}

BOOST_AUTO_TEST_CASE(a_status_that_is_not_understood_is_an_error) {
  for (const char* json :
       {"", "[]", "null", "{}", "3", R"({"process": 1})",
        R"({"process": "a", "data_center": "b"})",
        R"({"process": "a", "data_center": "b", "configuration_version": -1})",
        R"({"process": "a", "data_center": "b", "configuration_version": 1,
            "queued": "x"})"}) {
    BOOST_TEST_CONTEXT(json) {
      const auto parsed = ctl::ParseStatus(json);
      BOOST_TEST(!parsed.has_value());
    }
  }
  const auto newer = ctl::ParseStatus(
      R"({"process": "a", "data_center": "b", "configuration_version": 1,
          "field_of_a_newer_release": {}})");
  BOOST_TEST(newer.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
