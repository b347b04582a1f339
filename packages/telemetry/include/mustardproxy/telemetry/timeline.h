#ifndef MUSTARDPROXY_TELEMETRY_TIMELINE_H_
#define MUSTARDPROXY_TELEMETRY_TIMELINE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/timeline.h"
#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy {

/// An event with all that is needed to merge it with those of other processes.
struct StampedEvent {
  HybridTime time;
  ProcessId process;
  Incarnation incarnation = 0;
  /// Counts the events of this incarnation from 1; a gap at the front shows
  /// that the ring has overflowed.
  std::uint64_t sequence = 0;
  TimelineEvent event;
};

/// Bounded ring of the newest events of one process. Each event also goes to
/// the log. Safe from any thread.
class Timeline {
 public:
  Timeline(ProcessId process, Incarnation incarnation, std::size_t capacity,
           HybridClock* clock);
  ~Timeline();
  Timeline(const Timeline&) = delete;
  Timeline& operator=(const Timeline&) = delete;

  void Record(const TimelineEvent& event);
  /// @return the events held with a sequence number above `after`
  [[nodiscard]] std::vector<StampedEvent> Read(std::uint64_t after) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// @return a stable name such as `request-arrived`
[[nodiscard]] std::string_view Name(TimelineKind kind);
/// @return the events as a JSON array, as `GET /v1/events` gives them
[[nodiscard]] std::string FormatEvents(const std::vector<StampedEvent>& events);
/// @return the events of such an array; empty if it can not be understood
[[nodiscard]] std::vector<StampedEvent> ParseEvents(std::string_view json);
/// Merges the events of several processes in causal order: by hybrid time, then
/// process, then sequence number. `O(n log n)`.
[[nodiscard]] std::vector<StampedEvent> Merge(
    std::vector<std::vector<StampedEvent>> lists);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_TELEMETRY_TIMELINE_H_
