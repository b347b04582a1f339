#ifndef MUSTARDPROXY_TELEMETRY_EVENT_LOG_H_
#define MUSTARDPROXY_TELEMETRY_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace mustardproxy {

/// One named value of a structured log line.
struct LogField {
  // clang-tidy 14 takes the initializer in a template for a cast.
  template <std::convertible_to<std::string_view> Text>
  LogField(std::string_view key, const Text& text)
      : key(key) {  // NOLINT(google-readability-casting)
    this->value.emplace<std::string_view>(text);
  }
  template <std::integral Number>
  LogField(std::string_view key, Number value)
      : key(key), value(static_cast<std::int64_t>(value)) {}
  LogField(std::string_view key, double value) : key(key), value(value) {}

  std::string_view key;
  std::variant<std::string_view, std::int64_t, double> value;
};

/// Structured log: one line for each decision that touches a request or changes
/// what the process believes. Safe from any thread.
class EventLog {
 public:
  EventLog() = default;
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  virtual ~EventLog() = default;

  /// @param part prefix of the part that decides, for example `jobs`
  /// @param event stable name of what happened, for example `job-accepted`
  virtual void Write(std::string_view part, std::string_view event,
                     std::initializer_list<LogField> fields) = 0;
};

/// Drops everything.
class NoEventLog final : public EventLog {
 public:
  void Write(std::string_view /*part*/, std::string_view /*event*/,
             std::initializer_list<LogField> /*fields*/) override {}
};

/// Writes JSON lines to standard output from a thread of its own:
/// `{"time":…,"process":…,"part":…,"event":…, fields…}`.
///
/// `Write` never waits: lines that come faster than `max_lines_per_second`, or
/// while a slow reader has filled the buffer, are dropped and counted in a line
/// `log-dropped`.
class StdoutEventLog final : public EventLog {
 public:
  struct Options {
    std::string process;
    /// Twice what the busiest process writes at 360 task starts a second, with
    /// two lines a task and one a write, store call or hold that changes
    /// something.
    std::int32_t max_lines_per_second = 2000;
    /// Text that waits for the reader; two seconds at the full rate.
    std::size_t max_buffered_bytes = 1 << 20;
    /// File descriptor written to.
    int descriptor = 1;
  };

  explicit StdoutEventLog(Options options);
  /// Writes out what is buffered, for up to a second.
  ~StdoutEventLog() override;

  void Write(std::string_view part, std::string_view event,
             std::initializer_list<LogField> fields) override;
  /// Waits until what was written so far has left, for up to a second.
  void Flush();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_TELEMETRY_EVENT_LOG_H_
