#ifndef MUSTARDPROXY_BENCH_CONTROL_SHAPE_H_
#define MUSTARDPROXY_BENCH_CONTROL_SHAPE_H_

#include <cstdint>

namespace mustardproxy::bench {

/// What the workers run while control messages are counted.
enum class Load {
  kIdle,
  /// Attached tasks of 50 ms, 20 a second on each worker.
  kRequests,
  /// The same, with more requests waiting than fit.
  kOverload,
  /// Detached tasks of a minute in all 8 slots; their ends come with reports.
  kBatch,
};

/// Size of a cell. Workers are those of one data centre; the other data centres
/// only add members.
struct Shape {
  std::int32_t data_centers = 1;
  std::int32_t members = 8;
  std::int32_t workers = 50;
  Load load = Load::kIdle;
};

/// Per entry process and second.
struct Cost {
  double heartbeats = 0;
  double renewals = 0;
  double bytes = 0;
  double nanoseconds = 0;
};

/// Bytes of a heartbeat and its answer: two digests of about 100 bytes with 60
/// bytes of framing each. TCP and IP headers are not counted.
inline constexpr double kHeartbeatBytes = 320;
/// Bytes of a renewal and its answer: HTTP headers, and JSON with one empty
/// report.
inline constexpr double kRenewalBytes = 700;
/// Bytes that each running task adds to a report.
inline constexpr double kTaskBytes = 190;
/// Bytes that the end of a detached task adds, with an answer of 30 bytes.
/// Those of attached tasks come with their starts and are left out.
inline constexpr double kEndBytes = 300;

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_CONTROL_SHAPE_H_
