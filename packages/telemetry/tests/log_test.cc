#include "mustardproxy/telemetry/log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <sstream>
#include <string>

#include "escape.h"

using mustardproxy::Level;
using mustardproxy::Log;
using mustardproxy::Part;
using mustardproxy::StartLog;
using mustardproxy::telemetry_detail::EscapeControls;

namespace {

/// Takes what is written to standard error while it lives.
class CapturedError {
 public:
  CapturedError() : previous(std::cerr.rdbuf(this->text.rdbuf())) {}
  ~CapturedError() { std::cerr.rdbuf(this->previous); }
  CapturedError(const CapturedError&) = delete;
  CapturedError& operator=(const CapturedError&) = delete;

  [[nodiscard]] std::string Text() const { return this->text.str(); }

 private:
  std::ostringstream text;
  std::streambuf* previous;
};

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(logging)

BOOST_AUTO_TEST_CASE(controls_are_escaped_and_text_is_kept) {
  BOOST_TEST(EscapeControls("a\nb\rc\td") == "a\\nb\\rc\\td");
  BOOST_TEST(EscapeControls(std::string("\0\x1b[31m\x7f", 7)) ==
             "\\x00\\x1b[31m\\x7f");
  BOOST_TEST(EscapeControls("\xc2\x85\xe2\x80\xa8") ==
             "\\xc2\\x85\\xe2\\x80\\xa8");
  BOOST_TEST(EscapeControls("Dłonie ኣዲስ") == "Dłonie ኣዲስ");
  BOOST_TEST(EscapeControls("\\n") == "\\\\n");
  BOOST_TEST(EscapeControls("cut \xe2\x80") == "cut \xe2\x80");
}

// An operator sees that the platform was lost, though it never was. A caller
// sent a team name with a line break and a made-up record in it, and a log line
// quoted the name. Cause: the break was written as it came.
BOOST_AUTO_TEST_CASE(a_forged_record_stays_within_its_own_line) {
  const CapturedError captured;
  StartLog("info", "e1");
  Log(Part::kGateway, Level::kWarn,
      "Unknown team x\n2026-01-01T00:00:00.000Z e1 ERROR platform: Lost.");
  const std::string text = captured.Text();
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
  BOOST_TEST(Contains(text, " e1 WARN  gateway: Unknown team x\\n2026"));
}

BOOST_AUTO_TEST_CASE(a_record_below_the_level_is_left_out) {
  const CapturedError captured;
  StartLog("warn", "e%1");
  Log(Part::kPeer, Level::kInfo, "Quiet.");
  Log(Part::kPeer, Level::kError, "Loud.");
  BOOST_TEST(!Contains(captured.Text(), "Quiet."));
  BOOST_TEST(Contains(captured.Text(), " e%1 ERROR peer: Loud.\n"));
}

BOOST_AUTO_TEST_SUITE_END()
