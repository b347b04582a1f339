#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "bench.h"
#include "command_line.h"
#include "exit_code.h"

namespace mustardproxy::testing {
namespace {

std::string OperationsPage() {
  std::ifstream page(MUSTARDPROXY_SOURCE_DIR "/docs/OPERATIONS.md");
  return {std::istreambuf_iterator<char>(page), {}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(pages)

BOOST_AUTO_TEST_CASE(the_operations_page_lists_every_exit_code) {
  std::string table = "| code | meaning |\n|---|---|\n";
  for (const ctl::ExitCodeMeaning& row : ctl::kExitCodes) {
    table += "| " + std::to_string(static_cast<int>(row.code)) + " | " +
             std::string(row.meaning) + " |\n";
  }
  BOOST_TEST(Holds(OperationsPage(), table), table);
}

// The page repeats the usage, so that it can be read without the program.
BOOST_AUTO_TEST_CASE(the_operations_page_repeats_the_usage) {
  const std::string help = ctl::HelpText();
  const std::size_t begin = help.find("  mustardctl --platform");
  const std::size_t end = help.find("\nOptions:");
  const std::string usage = help.substr(begin, end - begin);
  BOOST_TEST(Holds(OperationsPage(), usage), usage);
}

BOOST_AUTO_TEST_CASE(the_example_configuration_can_be_applied) {
  const Bench bench;
  const Outcome outcome =
      bench.Run({"profile", "apply",
                 MUSTARDPROXY_SOURCE_DIR "/docs/examples/configuration.jsonc"});
  BOOST_TEST((outcome.exit == ctl::ExitCode::kOk));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
