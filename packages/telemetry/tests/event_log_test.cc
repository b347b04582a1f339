#include "mustardproxy/telemetry/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace mustardproxy {
namespace {

/// A pipe that a log writes into.
struct Pipe {
  Pipe() { BOOST_REQUIRE(pipe(this->ends.data()) == 0); }
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  /// @return all lines, read after the log has ended
  std::vector<nlohmann::json> Lines() {
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65'536> buffer{};
    ssize_t count = 0;
    while ((count = read(this->ends[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    std::vector<nlohmann::json> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(nlohmann::json::parse(line));
    }
    return lines;
  }

  std::array<int, 2> ends{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(event_log)

BOOST_AUTO_TEST_CASE(a_line_is_json_whatever_its_values_hold) {
  Pipe out;
  {
    StdoutEventLog log({.process = "entry-1", .descriptor = out.ends[1]});
    log.Write("jobs", "job-accepted",
              {{"job", "a\"b\n\xff"}, {"revision", 7}, {"share", 0.5}});
  }
  const auto lines = out.Lines();
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0]["process"] == "entry-1");
  BOOST_TEST(lines[0]["event"] == "job-accepted");
  BOOST_TEST(lines[0]["job"] == "a\"b\n\xEF\xBF\xBD");
  BOOST_TEST(lines[0]["revision"] == 7);
  BOOST_TEST(lines[0]["share"] == 0.5);
}

BOOST_AUTO_TEST_CASE(lines_above_the_rate_are_counted_not_written) {
  constexpr int kWritten = 500;
  Pipe out;
  {
    StdoutEventLog log({.process = "p",
                        .max_lines_per_second = 10,
                        .descriptor = out.ends[1]});
    for (int i = 0; i < kWritten; ++i) log.Write("jobs", "tick", {{"n", i}});
  }
  std::int64_t written = 0;
  std::int64_t dropped = 0;
  for (const auto& line : out.Lines()) {
    if (line["event"] == "tick") ++written;
    if (line["event"] == "log-dropped") {
      dropped += line["lines"].get<std::int64_t>();
    }
  }
  BOOST_TEST(written + dropped == kWritten);
  BOOST_TEST(written < kWritten / 2);
}

// Whoever reads the log has stopped to read. The process must not stand still
// for it: lines are dropped once the buffer is full.
BOOST_AUTO_TEST_CASE(a_reader_that_does_not_read_blocks_nobody) {
  constexpr int kWritten = 5000;
  Pipe out;
  StdoutEventLog log({.process = "p",
                      .max_lines_per_second = 1'000'000,
                      .max_buffered_bytes = 4096,
                      .descriptor = out.ends[1]});
  const std::string text(200, 'x');
  for (int i = 0; i < kWritten; ++i) log.Write("jobs", "tick", {{"t", text}});
  // Room for the last lines, so that the log can end.
  fcntl(out.ends[0], F_SETFL, O_NONBLOCK);
  std::array<char, 65'536> buffer{};
  std::int64_t taken = 0;
  ssize_t count = 0;
  while ((count = read(out.ends[0], buffer.data(), buffer.size())) > 0) {
    taken += count;
  }
  BOOST_TEST(taken < kWritten * std::ssize(text));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
