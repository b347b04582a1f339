#include <Poco/TemporaryFile.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "program.h"

namespace mustardproxy::testing {
namespace {

constexpr const char* kSettings = R"({
  // filled in by the platform
  "process": "edge-1", "data_center": "radom",
  "callers": "10.1.0.13:8161", "readiness": "10.1.0.13:8167",
  "peers": "10.1.0.13:7720", "operators": "10.1.0.13:7721",
  "store": "10.200.1.7:8169", "policy_service": "10.200.1.9:8169",
  "processor_share": 0.25, "processors": 1, "memory_mb": 260, "grace_s": 6
})";

struct Fixture {
  int Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"mustardproxy", "cell"});
    return RunProgram(arguments, this->out, this->errors);
  }
  int Check(const std::string& text) {
    std::ofstream(this->file.path()) << text;
    return this->Run({"--settings", this->file.path(), "--check"});
  }

  std::ostringstream out;
  std::ostringstream errors;
  Poco::TemporaryFile file;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cell_program, Fixture)

BOOST_AUTO_TEST_CASE(good_settings_pass_the_check) {
  BOOST_TEST(Check(kSettings) == kExitOk);
  BOOST_TEST(errors.str() == "");
}

BOOST_AUTO_TEST_CASE(each_problem_names_its_field) {
  BOOST_TEST(Check(R"({"process": "edge-1", "data_center": "radom",
    "callers": "nowhere", "readiness": "10.1.0.13:8167",
    "peers": "10.1.0.13:7720", "operators": "10.1.0.13:7721",
    "grace_s": -1, "shop": 1})") == kExitBadSettings);
  for (const char* field : {"callers: ", "grace_s: ", "shop: ", "store: "}) {
    BOOST_TEST(errors.str().find(field) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(without_a_file_it_says_what_is_missing) {
  BOOST_TEST(Run({}) == kExitBadSettings);
  BOOST_TEST(errors.str().find("MUSTARDPROXY_SETTINGS") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::testing
