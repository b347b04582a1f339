// Measures the link between entry processes. All figures are of one run on one
// machine, so each is printed with its ratio to a named baseline of that run.

#include "bench_node.h"

int main() {
  // Memory first: its processes are forked while this one has no threads.
  const bool memory = mustardproxy::bench::MeasureMemory();
  const bool heartbeats = mustardproxy::bench::MeasureHeartbeats();
  const bool forwards = mustardproxy::bench::MeasureForwards();
  return memory && heartbeats && forwards ? 0 : 1;
}
