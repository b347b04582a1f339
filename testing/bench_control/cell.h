#ifndef MUSTARDPROXY_BENCH_CONTROL_CELL_H_
#define MUSTARDPROXY_BENCH_CONTROL_CELL_H_

#include "shape.h"

namespace mustardproxy::bench {

/// Drives `Membership` and `Ownership` of all entry processes in virtual time.
/// Peers and workers answer at once and never fail.
Cost MeasureCell(const Shape& shape);

/// The baseline: every process sends a heartbeat to every other one and a
/// renewal to each of its workers every 500 ms.
Cost MeasureBaseline(const Shape& shape);

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_CONTROL_CELL_H_
