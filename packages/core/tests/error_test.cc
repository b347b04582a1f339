#include "mustardproxy/core/error.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>
#include <string>
#include <vector>

namespace {

constexpr int kLargestCode = 599;
constexpr const char* kNoMessage = "unknown error";

/// @return the numbers of all errors that have a message
std::vector<int> KnownCodes() {
  std::vector<int> codes;
  for (int code = 1; code <= kLargestCode; ++code) {
    const std::error_code error(code, mustardproxy::ErrorCategory());
    if (error.message() != kNoMessage) codes.push_back(code);
  }
  return codes;
}

/// @return the numbers of the rows of docs/ERRORS.md that name all four columns
std::vector<int> DocumentedCodes() {
  std::ifstream page(MUSTARDPROXY_SOURCE_DIR "/docs/ERRORS.md");
  const std::regex row(R"(^\| (\d{3}) \| `k\w+` \| .+ \| .+ \|$)");
  std::vector<int> codes;
  for (std::string line; std::getline(page, line);) {
    std::smatch match;
    if (std::regex_match(line, match, row)) {
      codes.push_back(std::stoi(match[1]));
    }
  }
  return codes;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(error_codes)

BOOST_AUTO_TEST_CASE(an_error_converts_to_a_code_with_its_number) {
  const std::error_code code = mustardproxy::Error::kNeverFits;
  BOOST_TEST(code.value() == 106);
  BOOST_TEST(code.message() == "the task is too large for every worker");
}

BOOST_AUTO_TEST_CASE(
    every_error_has_a_row_on_its_page_and_no_row_is_left_over) {
  const std::vector<int> known = KnownCodes();
  BOOST_TEST(known.size() > 30U);
  BOOST_TEST(DocumentedCodes() == known, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
