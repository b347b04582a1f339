#ifndef MUSTARDPROXY_CORE_SRC_PACING_H_
#define MUSTARDPROXY_CORE_SRC_PACING_H_

#include <algorithm>
#include <cstdint>

#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

// Control messages must stay near 2 KB a second per entry process, also at
// 1,200 workers in 8 data centres. With a fixed interval they grow with slope
//   heartbeats: 320 B x (members of the data centre - 1) / interval
//   renewals:   700 B x (workers owned) / interval
// so 8 members at 500 ms and 19 workers at 700 ms would take 4.5 + 19 KB/s.
// Instead each kind has a budget, and its interval stretches with the number of
// receivers: flat up to the budget's limit, then the interval has the slope
//   local heartbeats 0.36 s per member (up to 2.5 s, that is 8 members),
//   links 0.8 s per data centre, idle renewals 1.2 s per owned worker.
// Workers that may be running something are renewed at least three times in a
// task's lease whatever it costs: 210 B/s for each at 10 s.
// testing/bench_control measures all of this.
// What that costs in time is bounded by the callers: a heartbeat that gets no
// answer is repeated at the short interval, and a stretched renewal only lets
// an idle worker's lease lapse, which its epoch makes harmless.

/// Bytes of one heartbeat and its answer: two digests with their framing.
inline constexpr std::int64_t kHeartbeatBytes = 320;
/// Bytes of one renewal and its answer from a worker that runs nothing.
inline constexpr std::int64_t kRenewalBytes = 700;

/// @return the interval at which `receivers` messages of `bytes` each stay
///   within `bytes_per_second`, at least `shortest`
inline Duration PacedInterval(Duration shortest, std::int64_t receivers,
                              std::int64_t bytes,
                              std::int64_t bytes_per_second) {
  const Duration paced(receivers * bytes * Duration::period::den /
                       std::max<std::int64_t>(bytes_per_second, 1));
  return std::max(shortest, paced);
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_PACING_H_
