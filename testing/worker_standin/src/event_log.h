#ifndef MUSTARDPROXY_STANDIN_EVENT_LOG_H_
#define MUSTARDPROXY_STANDIN_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::standin {

/// One line of `GET /log`.
struct LogEntry {
  /// Points at a literal: start, end, refused or overcommit-refused.
  std::string_view event;
  /// How it ended, or why it was refused; points at a literal.
  std::string_view reason;
  std::string task;
  std::string request;
  std::string service;
  std::uint64_t body_hash = 0;
  std::uint64_t epoch = 0;
  std::string holder;
  Instant at;
  Resources peak_usage;
  /// Tasks that run, and what they are declared to use, after this event.
  std::int64_t running = 0;
  Resources used;
};

/// What a worker started, ended and refused, in order. The judge of what really
/// ran, so nothing is left out; past its bound the last entry says `overflow`.
class EventLog {
 public:
  void Add(LogEntry entry);
  /// @return the JSON array of `GET /log`
  [[nodiscard]] std::string Format() const;

 private:
  std::vector<LogEntry> entries;
  bool overflow = false;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_EVENT_LOG_H_
