#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "files.h"
#include "mustardproxy/settings/load.h"

namespace mustardproxy {
namespace {

using testing::kSmallConfiguration;
using testing::PathsAndReasons;
using testing::Replaced;
using Lines = std::vector<std::string>;

Configuration Small() {
  auto parsed = ParseConfiguration(kSmallConfiguration);
  BOOST_REQUIRE(std::holds_alternative<Configuration>(parsed));
  return std::get<Configuration>(std::move(parsed));
}

/// Problems of the small configuration after one edit.
Lines ProblemsAfter(std::string_view from, std::string_view to) {
  const std::string text = Replaced(std::string(kSmallConfiguration), from, to);
  BOOST_REQUIRE(!text.empty());
  return PathsAndReasons(ParseConfiguration(text));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(a_document_is_read_with_defaults) {
  const Configuration configuration = Small();
  BOOST_TEST(configuration.version == 0U);
  const Profile& urgent = configuration.profiles.at(ProfileId("urgent"));
  BOOST_TEST(urgent.id == ProfileId("urgent"));
  BOOST_TEST((urgent.max_wait == std::chrono::seconds(2)));
  BOOST_TEST((urgent.packing == Packing::kBestFit));
  const Service& screen = configuration.services.at(ServiceId("screen"));
  BOOST_TEST(screen.resources.slots == 1);
  BOOST_TEST(screen.resources.memory_mb == 512);
  const Team& addis = configuration.teams.at(TeamId("addis"));
  BOOST_TEST(addis.weight == 0.5);
  BOOST_TEST(addis.quota.slots == 8);
}

BOOST_AUTO_TEST_CASE(a_document_survives_writing_and_reading) {
  Configuration configuration = Small();
  configuration.version = 7;
  configuration.teams[TeamId("addis")].weight = 0.1;
  const auto parsed = ParseConfiguration(FormatConfiguration(configuration));
  BOOST_REQUIRE(std::holds_alternative<Configuration>(parsed));
  BOOST_TEST((std::get<Configuration>(parsed) == configuration));
}

BOOST_AUTO_TEST_CASE(a_name_that_refers_to_nothing_is_named) {
  const std::string unknown = ": the name refers to nothing";
  BOOST_TEST(ProblemsAfter(R"("profile": "urgent")", R"("profile": "x")") ==
                 Lines{"services.screen.profile" + unknown},
             boost::test_tools::per_element());
  BOOST_TEST(
      ProblemsAfter(R"("default_team": "dlonie")", R"("default_team": "x")") ==
          Lines{"default_team" + unknown},
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_gang_has_two_tasks_and_no_other_service_has) {
  BOOST_TEST(ProblemsAfter(R"("tasks": 4)", R"("tasks": 1)") ==
                 Lines{"services.match.tasks: the value is out of range"},
             boost::test_tools::per_element());
  BOOST_TEST(ProblemsAfter(R"("gang": true)", R"("gang": false)") ==
                 Lines{"services.match.tasks: the value is out of range"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(deferred_work_may_have_priority_0) {
  BOOST_TEST(ProblemsAfter(R"({"max_wait_ms": 2000})",
                           R"({"max_wait_ms": 2000, "deferred": true,
                               "priority": 0})") == Lines{},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(required_fields_are_asked_for) {
  const std::string missing = ": a required field is missing";
  BOOST_TEST(ProblemsAfter(R"({"max_wait_ms": 2000})", "{}") ==
                 Lines{"profiles.urgent.max_wait_ms" + missing},
             boost::test_tools::per_element());
  const Lines all = {"default_team" + missing, "profiles" + missing,
                     "services" + missing, "teams" + missing};
  BOOST_TEST(PathsAndReasons(ParseConfiguration("{}")) == all,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_path_quotes_names_with_other_characters) {
  const Lines found = ProblemsAfter(R"("urgent": {"max_wait_ms": 2000})",
                                    R"("urgent": {"max_wait_ms": 2000},
                       "a.b": {"max_wait_ms": 0}, "c\nd": {"max_wait_ms": 1})");
  const Lines expected = {
      R"(profiles["a.b"].max_wait_ms: the value is out of range)",
      R"(profiles["c?d"]: the value is out of range)"};
  BOOST_TEST(found == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_document_above_the_platforms_limit_is_refused) {
  const std::string large =
      std::string(kSmallConfiguration) + std::string(1'048'576, ' ');
  BOOST_TEST(PathsAndReasons(ParseConfiguration(large)) ==
                 Lines{": the value is out of range"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_difference_names_what_is_new_gone_and_changed) {
  const Configuration before = Small();
  Configuration after = before;
  after.version = 9;
  BOOST_TEST(DescribeDifference(before, after) == Lines{},
             boost::test_tools::per_element());
  after.profiles[ProfileId("urgent")].priority = 0;
  after.teams.erase(TeamId("addis"));
  after.teams[TeamId("new")].id = TeamId("new");
  const Lines expected = {
      "~ profiles.urgent.priority: 1 -> 0",
      R"(- teams.addis: {"weight": 0.5, "quota": {"cpu_milli": 0, )"
      R"("memory_mb": 0, "accelerators": 0, "slots": 8}})",
      R"(+ teams.new: {"weight": 1.0, "quota": {"cpu_milli": 0, )"
      R"("memory_mb": 0, "accelerators": 0, "slots": 0}})"};
  BOOST_TEST(DescribeDifference(before, after) == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
