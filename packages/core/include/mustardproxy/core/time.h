#ifndef MUSTARDPROXY_CORE_TIME_H_
#define MUSTARDPROXY_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace mustardproxy {

/// Length of time. All of the core counts in microseconds.
using Duration = std::chrono::microseconds;

/// @return whole milliseconds, the fraction cut off
[[nodiscard]] constexpr std::int64_t WholeMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// Clock of the core: monotonic, local to one process, advanced only by the
/// caller. It names a time line; it has no `now()` on purpose, since the core
/// takes the time as an argument.
struct CoreClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock, duration>;
  // The name is the standard library's.
  static constexpr bool is_steady = true;  // NOLINT
};

/// A moment on the clock of one process. Never compared between processes.
using Instant = CoreClock::time_point;

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_TIME_H_
