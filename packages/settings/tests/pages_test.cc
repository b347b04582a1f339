#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "files.h"
#include "mustardproxy/settings/fields.h"
#include "mustardproxy/settings/load.h"

namespace mustardproxy {
namespace {

/// @return the text between two marks of docs/SETTINGS.md
std::string Block(const std::string& name) {
  const std::string page = testing::ReadSource("docs/SETTINGS.md");
  const std::string begin = "<!-- " + name + ": begin -->\n";
  const std::size_t from = page.find(begin);
  const std::size_t end = page.find("<!-- " + name + ": end -->");
  if (from == std::string::npos || end == std::string::npos) return {};
  return page.substr(from + begin.size(), end - from - begin.size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(pages)

// On a mismatch the expected table is printed; it belongs into the page as it
// is.
BOOST_AUTO_TEST_CASE(the_settings_page_holds_every_field) {
  const auto fields = SettingsFields();
  BOOST_TEST(fields.size() >= 50U);
  BOOST_TEST(Block("settings") == FormatFieldTable(fields));
}

BOOST_AUTO_TEST_CASE(the_settings_page_holds_the_cells_fields) {
  const auto fields = CellSettingsFields();
  BOOST_TEST(fields.size() >= 10U);
  BOOST_TEST(Block("cell") == FormatFieldTable(fields));
}

BOOST_AUTO_TEST_CASE(the_settings_page_holds_the_configuration_document) {
  const auto fields = ConfigurationFields();
  BOOST_TEST(fields.size() > 25U);
  BOOST_TEST(Block("configuration") == FormatFieldTable(fields));
}

BOOST_AUTO_TEST_CASE(the_examples_are_valid) {
  const auto settings =
      LoadSettings(MUSTARDPROXY_SOURCE_DIR "/docs/examples/settings.jsonc");
  BOOST_TEST(testing::PathsAndReasons(settings) == std::vector<std::string>{},
             boost::test_tools::per_element());
  const auto configuration = ParseConfiguration(
      testing::ReadSource("docs/examples/configuration.jsonc"));
  BOOST_TEST(
      testing::PathsAndReasons(configuration) == std::vector<std::string>{},
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
