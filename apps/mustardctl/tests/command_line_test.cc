#include "command_line.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

namespace mustardproxy::ctl {
namespace {

using Words = std::vector<std::string>;

CommandLine Parsed(const Words& words) {
  auto parsed = ParseCommandLine(words);
  BOOST_REQUIRE(std::holds_alternative<CommandLine>(parsed));
  return std::get<CommandLine>(parsed);
}

const std::string kUrl = "http://127.0.0.1:8500";

}  // namespace

BOOST_AUTO_TEST_SUITE(command_line)

BOOST_AUTO_TEST_CASE(each_command_is_understood) {
  BOOST_TEST((Parsed({"--help"}).command == Command::kHelp));
  BOOST_TEST((Parsed({"--version"}).command == Command::kVersion));
  BOOST_TEST((Parsed({"--platform", kUrl, "profile", "list"}).command ==
              Command::kProfileList));
  BOOST_TEST((Parsed({"--platform", kUrl, "profile", "history"}).command ==
              Command::kProfileHistory));
  const CommandLine show =
      Parsed({"--platform", kUrl, "profile", "show", "urgent"});
  BOOST_TEST((show.command == Command::kProfileShow));
  BOOST_TEST(show.profile == ProfileId("urgent"));
  const CommandLine status =
      Parsed({"status", "--entry", "http://10.0.0.1:1/", "--json"});
  BOOST_TEST((status.command == Command::kStatus));
  BOOST_TEST(status.entries == Words{"10.0.0.1:1"},
             boost::test_tools::per_element());
  BOOST_TEST(status.json);
}

BOOST_AUTO_TEST_CASE(options_of_apply_and_timeline_are_read) {
  const CommandLine apply =
      Parsed({"profile", "apply", "f.jsonc", "--platform", kUrl, "--dry-run",
              "--base", "4", "--timeout", "30"});
  BOOST_TEST(apply.file == "f.jsonc");
  BOOST_TEST(apply.dry_run);
  BOOST_TEST((apply.base == ConfigurationVersion{4}));
  BOOST_TEST((apply.timeout == std::chrono::seconds(30)));
  const CommandLine timeline =
      Parsed({"timeline", "--platform", kUrl, "--request", "a.1.2", "--worker",
              "w", "--since", "60"});
  BOOST_TEST(timeline.request == RequestId("a.1.2"));
  BOOST_TEST(timeline.worker == WorkerId("w"));
  BOOST_TEST((timeline.since == std::chrono::seconds(60)));
}

BOOST_AUTO_TEST_CASE(what_can_not_be_understood_is_refused) {
  const std::vector<Words> wrong = {
      {},
      {"--platform", kUrl},
      {"--platform", kUrl, "profile"},
      {"--platform", kUrl, "profile", "drop"},
      {"--platform", kUrl, "profile", "apply"},
      {"--platform", kUrl, "profile", "apply", "a", "b"},
      {"--platform", kUrl, "profile", "list", "--dry-run"},
      {"--platform", kUrl, "status", "--base", "1"},
      {"--platform", kUrl, "status", "--nonsense"},
      {"--platform", kUrl, "profile", "apply", "a", "--timeout", "x"},
      {"--platform", kUrl, "profile", "apply", "a", "--timeout", "-1"},
      {"--platform", "127.0.0.1:8500", "status"},
      {"--platform", "http://127.0.0.1", "status"},
      {"--entry", "https://127.0.0.1:1", "status"},
      {"profile", "list"},
      {"--entry", "http://127.0.0.1:1", "profile", "apply", "a"},
      {"status"}};
  for (const Words& words : wrong) {
    std::string shown;
    for (const std::string& word : words) shown += word + " ";
    BOOST_TEST_CONTEXT(shown) {
      BOOST_TEST(std::holds_alternative<UsageError>(ParseCommandLine(words)));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::ctl
