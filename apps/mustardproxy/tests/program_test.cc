#include "program.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/TemporaryFile.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <sstream>

#include "address_file.h"

namespace mustardproxy::testing {
namespace {

struct ProgramFixture {
  int Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "mustardproxy");
    return RunProgram(arguments, this->out, this->errors);
  }
  std::string Write(const std::string& text) {
    std::ofstream(this->file.path()) << text;
    return this->file.path();
  }

  std::ostringstream out;
  std::ostringstream errors;
  Poco::TemporaryFile file;
};

std::size_t Lines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

BOOST_FIXTURE_TEST_SUITE(program, ProgramFixture)

BOOST_AUTO_TEST_CASE(check_accepts_good_settings_and_starts_nothing) {
  std::string path = this->Write(R"({
    // a comment
    "customer": "dlonie", "process": "entry-1", "data_center": "warszawa",
    "platform_url": "http://127.0.0.1:8500"
  })");
  BOOST_TEST(this->Run({"--settings", path, "--check"}) == kExitOk);
  BOOST_TEST(this->errors.str().empty());
}

BOOST_AUTO_TEST_CASE(each_problem_gets_a_line) {
  std::string path = this->Write(R"({
    "customer": "dlonie", "process": 5, "data_center": "warszawa",
    "platform_url": "http://127.0.0.1:8500", "colour": "blue"
  })");
  BOOST_TEST(this->Run({"--settings", path, "--check"}) == kExitBadSettings);
  BOOST_TEST(Lines(this->errors.str()) == 2U);
  BOOST_TEST(this->errors.str().find("process") != std::string::npos);
  BOOST_TEST(this->errors.str().find("colour") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bad_settings_end_the_program_without_check_too) {
  BOOST_TEST(this->Run({"--settings", "/nonexistent/settings.json"}) ==
             kExitBadSettings);
  BOOST_TEST(Lines(this->errors.str()) == 1U);
}

BOOST_AUTO_TEST_CASE(port_in_use_ends_the_program_at_once) {
  Poco::Net::ServerSocket taken(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::string path = this->Write(R"({
    "customer": "dlonie", "process": "entry-1", "data_center": "warszawa",
    "platform_url": "http://127.0.0.1:1",
    "callers": {"port": )" + std::to_string(taken.address().port()) +
                                 "}}");
  auto start = std::chrono::steady_clock::now();
  BOOST_TEST(this->Run({"--settings", path}) == kExitCannotStart);
  BOOST_TEST(this->errors.str().find("can not listen") == 0U);
  auto taken_time = std::chrono::steady_clock::now() - start;
  BOOST_TEST((taken_time < std::chrono::seconds(30)));
}

BOOST_AUTO_TEST_CASE(bad_command_lines_are_refused) {
  BOOST_TEST(this->Run({}) == kExitBadSettings);
  BOOST_TEST(this->Run({"--nonsense"}) == kExitBadSettings);
  BOOST_TEST(this->Run({"--settings", "x", "extra"}) == kExitBadSettings);
}

BOOST_AUTO_TEST_CASE(version_is_printed) {
  BOOST_TEST(this->Run({"--version"}) == kExitOk);
  BOOST_TEST(this->out.str().find("mustardproxy ") == 0U);
}

BOOST_AUTO_TEST_CASE(address_file_holds_all_addresses) {
  std::string path = this->file.path();
  std::error_code failure = WriteAddressFile(
      path, {.callers = "a:1", .operators = "b:2", .peers = "c:3"});
  BOOST_TEST(!failure);
  std::ifstream stream(path);
  std::string text((std::istreambuf_iterator<char>(stream)),
                   std::istreambuf_iterator<char>());
  BOOST_TEST(text.find(R"({"callers":"a:1","operators":"b:2","peers":"c:3")") ==
             0U);
  BOOST_TEST(text.find(R"("pid":)") != std::string::npos);
  BOOST_TEST(!!WriteAddressFile("/nonexistent/file", {}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy::testing
