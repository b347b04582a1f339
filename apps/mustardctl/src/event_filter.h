#ifndef MUSTARDPROXY_MUSTARDCTL_EVENT_FILTER_H_
#define MUSTARDPROXY_MUSTARDCTL_EVENT_FILTER_H_

#include <string>
#include <vector>

#include "command_line.h"
#include "mustardproxy/telemetry/timeline.h"

namespace mustardproxy::ctl {

/// @return the events that the options ask for. `--since` counts back from the
///   newest event: the operator's own clock may differ from the hosts'.
[[nodiscard]] std::vector<StampedEvent> Filter(
    const CommandLine& line, std::vector<StampedEvent> events);

/// A run of a process whose oldest events are gone.
struct Overflow {
  ProcessId process;
  Incarnation incarnation = 0;
  /// Events that the ring has dropped.
  std::uint64_t dropped = 0;
};

/// @return the runs whose first sequence number is above 1
[[nodiscard]] std::vector<Overflow> FindOverflows(
    const std::vector<StampedEvent>& events);

/// @return one line: time, process, kind and whom it concerns
[[nodiscard]] std::string FormatEvent(const StampedEvent& event);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_EVENT_FILTER_H_
