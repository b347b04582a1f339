#ifndef MUSTARDPROXY_TELEMETRY_CLOCK_H_
#define MUSTARDPROXY_TELEMETRY_CLOCK_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>

#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// @return the monotonic clock of this process as the core's clock
[[nodiscard]] Instant SteadyNow();

/// A reading of the hybrid logical clock (Kulkarni et al., 2014): wall time in
/// microseconds, pushed ahead by messages from faster clocks, and a counter
/// that orders events with the same wall time.
struct HybridTime {
  std::uint64_t wall_micros = 0;
  std::uint32_t counter = 0;

  // clang-tidy takes the 0 of its own rewriting for a null pointer.
  friend auto operator<=>(const HybridTime&,
                          const HybridTime&) = default;  // NOLINT
};

/// Orders the events of all processes by cause: an event that could have caused
/// another has the lower reading. Safe from any thread.
class HybridClock {
 public:
  /// Reads the wall clock of the machine.
  HybridClock();
  /// @param wall_micros source of wall time, in microseconds since 1970
  explicit HybridClock(std::function<std::uint64_t()> wall_micros);

  /// @return a reading for a local event or a message about to be sent
  [[nodiscard]] HybridTime Now();
  /// Takes in the reading that came with a message. A reading more than a
  /// minute ahead of the local wall clock is not followed.
  void Observe(const HybridTime& remote);

 private:
  std::function<std::uint64_t()> wall_micros;
  std::mutex mutex;
  HybridTime last;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_TELEMETRY_CLOCK_H_
