#ifndef MUSTARDPROXY_CORE_SRC_PACING_H_
#define MUSTARDPROXY_CORE_SRC_PACING_H_

#include <algorithm>
#include <cstdint>

#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

// Control messages must stay near 2 KB per second and entry process, even with
// 1,200 workers in 8 data centres. With fixed intervals they grow linearly:
//   heartbeats: 320 B x (members of the data centre - 1) / interval
//   renewals:   700 B x (workers owned) / interval
// so that 8 members at 500 ms and 19 workers at 700 ms would use 4.5 + 19 KB/s.
// Each kind therefore has a budget, and its interval grows with the number of
// receivers. It is constant up to the budget's limit; beyond that it grows by
//   local heartbeats 0.36 s per member (up to 2.5 s, that is 8 members),
//   heartbeats to other data centres 0.8 s per data centre,
//   renewals of idle workers 1.2 s per owned worker.
// Workers that may be running a task are renewed at least three times within a
// task's lease regardless of the budget: 210 B/s for each at 10 s.
// testing/bench_control measures all of this.
// The callers limit the resulting delays: a heartbeat that is not answered is
// repeated at the short interval, and a lengthened renewal interval only lets
// the lease of an idle worker expire, which its epoch makes harmless.

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
