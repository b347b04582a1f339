#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "files.h"
#include "mustardproxy/settings/load.h"

namespace mustardproxy {
namespace {

using std::chrono::milliseconds;
using testing::kSmallSettings;
using testing::PathsAndReasons;
using Lines = std::vector<std::string>;

const std::string kPeer =
    R"({"process": "waw1-b", "data_center": "waw1", "address": "10.0.0.2:7000"})";
const std::string kWorker =
    R"({"id": "w1", "address": "10.0.1.1:80", "data_center": "waw1", "rack": "r1"})";

/// The small settings with more fields at the end.
std::string With(const std::string& fields) {
  const std::string text(kSmallSettings);
  return text.substr(0, text.rfind('}')) + "," + fields + "}";
}

Lines ProblemsWith(const std::string& fields) {
  return PathsAndReasons(ParseSettings(With(fields)));
}

void CheckOneProblem(const std::string& fields, const std::string& expected) {
  BOOST_TEST_CONTEXT(fields) {
    BOOST_TEST(ProblemsWith(fields) == Lines{expected},
               boost::test_tools::per_element());
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(fields_left_out_have_their_defaults) {
  const auto parsed = ParseSettings(kSmallSettings);
  BOOST_REQUIRE(std::holds_alternative<Settings>(parsed));
  const Settings& settings = std::get<Settings>(parsed);
  BOOST_TEST(settings.process == ProcessId("waw1-a"));
  BOOST_TEST(settings.callers.host == "127.0.0.1");
  BOOST_TEST(settings.limits.max_body_bytes == 1'048'576);
  BOOST_TEST((settings.ownership.lease == std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(every_kind_of_field_is_read) {
  const auto parsed = ParseSettings(
      With(R"("callers": {"host": "::1", "port": 8080}, // for callers
       "peers": [)" +
           kPeer + R"(], "workers": [)" + kWorker + R"(],
       "ownership": {"lease_ms": 1000, "renew_interval_ms": 500,
                     "worker_checks_epoch": false},
       "worker_health": {"max_ejected_share": 0.25},
       "journal": {"max_batch_bytes": 5000}, "log_level": "warn",
       "address_file": "/tmp/a//b" /* no comment inside a string */ )"));
  BOOST_TEST(PathsAndReasons(parsed) == Lines{},
             boost::test_tools::per_element());
  BOOST_REQUIRE(std::holds_alternative<Settings>(parsed));
  const Settings& settings = std::get<Settings>(parsed);
  BOOST_TEST(settings.callers.port == 8080);
  BOOST_TEST(settings.callers.host == "::1");
  BOOST_REQUIRE(settings.peers.size() == 1U);
  BOOST_TEST(settings.peers[0].address == "10.0.0.2:7000");
  BOOST_REQUIRE(settings.workers.size() == 1U);
  BOOST_TEST(settings.workers[0].rack == RackId("r1"));
  BOOST_TEST((settings.ownership.lease == milliseconds(1000)));
  BOOST_TEST(!settings.ownership.worker_checks_epoch);
  BOOST_TEST(settings.worker_health.max_ejected_share == 0.25);
  BOOST_TEST(settings.journal.max_batch_bytes == 5000U);
  BOOST_TEST(settings.log_level == "warn");
  BOOST_TEST(settings.address_file == "/tmp/a//b");
}

BOOST_AUTO_TEST_CASE(all_problems_are_named_at_once_with_their_paths) {
  const Lines found = ProblemsWith(
      R"("callers": {"port": 70000, "prot": 1}, "log_level": 3,
         "peers": [{"process": "a/b", "data_center": "x"}],
         "limits": {"max_requests": 1.5}, "limits": {})");
  const Lines expected = {"limits: the field stands twice",
                          "callers.port: the value is out of range",
                          "callers.prot: no such field is known",
                          "log_level: the field has the wrong type",
                          "peers[0].process: the value is out of range",
                          "peers[0].address: a required field is missing",
                          "limits.max_requests: the field has the wrong type"};
  BOOST_TEST(found == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_problem_is_one_line_with_path_reason_and_range) {
  const auto parsed = ParseSettings(With(R"("callers": {"port": 70000})"));
  BOOST_REQUIRE(std::holds_alternative<Problems>(parsed));
  BOOST_TEST(FormatProblem(std::get<Problems>(parsed).front()) ==
             "callers.port: the value is out of range (found 70000, allowed: 0 "
             "to 65535)");
}

BOOST_AUTO_TEST_CASE(a_missing_file_and_one_that_is_too_large_are_refused) {
  BOOST_TEST(PathsAndReasons(LoadSettings("/nowhere/settings.json")) ==
                 Lines{": the file can not be read"},
             boost::test_tools::per_element());
  BOOST_TEST(
      PathsAndReasons(LoadSettings("/")) == Lines{": the file can not be read"},
      boost::test_tools::per_element());
  const std::string large(4U * 1024 * 1024 + 1, ' ');
  BOOST_TEST(PathsAndReasons(ParseSettings(large)) ==
                 Lines{": the value is out of range"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(names_and_addresses_are_checked) {
  const std::string range = "the value is out of range";
  const std::string too_long(65, 'a');
  for (const char* name :
       {"", "a b", "..", "-x", "a/b", "\\u0000", too_long.c_str()}) {
    const std::string text =
        testing::Replaced(std::string(kSmallSettings), "waw1-a", name);
    BOOST_TEST_CONTEXT(name) {
      BOOST_TEST(
          PathsAndReasons(ParseSettings(text)) == Lines{"process: " + range},
          boost::test_tools::per_element());
    }
  }
  for (const char* url :
       {"127.0.0.1:8500", "http://localhost:8500", "http://127.0.0.1",
        "http://127.0.0.1:0", "http://127.0.0.1:65536", "https://127.0.0.1:1",
        "http://127.0.0.1:8500/"}) {
    const std::string text = testing::Replaced(std::string(kSmallSettings),
                                               "http://127.0.0.1:8500", url);
    BOOST_TEST_CONTEXT(url) {
      BOOST_TEST(PathsAndReasons(ParseSettings(text)) ==
                     Lines{"platform_url: " + range},
                 boost::test_tools::per_element());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_process_name_may_hold_dots_and_an_address_ipv6) {
  const std::string text = testing::Replaced(
      testing::Replaced(std::string(kSmallSettings), "waw1-a", "waw1.a.b"),
      "127.0.0.1", "[::1]");
  BOOST_TEST(PathsAndReasons(ParseSettings(text)) == Lines{},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(values_that_contradict_each_other_are_named) {
  const std::string range = ": the value is out of range";
  CheckOneProblem(R"("ownership": {"lease_ms": 1000})",
                  "ownership.renew_interval_ms" + range);
  CheckOneProblem(R"("membership": {"remote_heartbeat_interval_ms": 100})",
                  "membership.heartbeat_interval_ms" + range);
  CheckOneProblem(R"("worker_health": {"ejection_ms": 200000})",
                  "worker_health.ejection_ms" + range);
  CheckOneProblem(R"("journal": {"max_pending_bytes": 2000})",
                  "journal.max_batch_bytes" + range);
  CheckOneProblem(R"("callers": {"port": 80}, "operators": {"port": 80})",
                  "operators" + range);
}

BOOST_AUTO_TEST_CASE(a_peer_or_worker_named_twice_is_refused) {
  const std::string own = testing::Replaced(kPeer, "waw1-b", "waw1-a");
  const std::string range = " the value is out of range";
  CheckOneProblem("\"peers\": [" + own + "]", "peers[0].process:" + range);
  const std::string other = testing::Replaced(kPeer, "10.0.0.2", "10.0.0.3");
  CheckOneProblem("\"peers\": [" + kPeer + "," + other + "]",
                  "peers[1].process:" + range);
  const std::string worker = testing::Replaced(kWorker, "w1", "w2");
  CheckOneProblem("\"workers\": [" + kWorker + "," + worker + "]",
                  "workers[1].address:" + range);
}

// An operator mistypes the lease. The default would stand in for it, and a
// comparison with that default would blame a renew interval that is right.
BOOST_AUTO_TEST_CASE(a_wrong_value_does_not_make_a_right_one_look_wrong) {
  CheckOneProblem(
      R"("ownership": {"lease_ms": "60000", "renew_interval_ms": 20000})",
      "ownership.lease_ms: the field has the wrong type");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
