#ifndef MUSTARDPROXY_CORE_TIME_H_
#define MUSTARDPROXY_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace mustardproxy {

/// Length of time. The core measures time in microseconds.
using Duration = std::chrono::microseconds;

/// @return whole milliseconds, with the fraction truncated
[[nodiscard]] constexpr std::int64_t WholeMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// Clock type of the core: monotonic, local to one process and advanced only by
/// the caller. It has no `now()` on purpose, because the core takes the time as
/// an argument.
struct CoreClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock, duration>;
  // The standard library requires this name.
  static constexpr bool is_steady = true;  // NOLINT
};

/// A point in time on the clock of one process. Never compared between
/// processes.
using Instant = CoreClock::time_point;

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_TIME_H_
