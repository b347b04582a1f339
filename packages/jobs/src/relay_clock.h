#ifndef MUSTARDPROXY_JOBS_RELAY_CLOCK_H_
#define MUSTARDPROXY_JOBS_RELAY_CLOCK_H_

#include <optional>

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// Bounds of the difference between the clock of a relay and that of this
/// process, from calls that returned a reading. The relay read its clock
/// between the beginning and the end of such a call.
///
/// Failure guarded against: a relay is paused while orders arrive, and takes
/// them for new when it continues. A limit on its own clock holds also for
/// what waited in its buffers, the first batch included.
class RelayClock {
 public:
  void Note(Instant sent, Instant received, Duration reading);
  /// @return the width of the bounds
  [[nodiscard]] Duration Uncertainty(Instant now) const;
  /// Only valid after a reading, like the next one.
  /// @return the least that the relay's clock may show at this moment
  [[nodiscard]] Duration LeastReading(Instant moment) const;
  /// @return the earliest time at which the relay's clock may have shown this
  [[nodiscard]] Instant EarliestInstant(Duration reading, Instant now) const;

 private:
  /// One bound of the relay's clock less that of this process.
  struct Bound {
    Duration difference{0};
    Instant noted;
  };
  [[nodiscard]] static Duration Drift(const Bound& bound, Instant now);

  std::optional<Bound> least;
  std::optional<Bound> most;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RELAY_CLOCK_H_
