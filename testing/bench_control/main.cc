// Prints what control of the cell costs an entry process a second, against the
// number of workers, members and data centres, with the slopes, beside a
// baseline in the same run.
#include <array>
#include <cstdio>
#include <span>

#include "cell.h"

namespace mustardproxy::bench {
namespace {

/// The target for an entry process of two years from now.
constexpr double kTargetBytes = 2048;

struct Row {
  Shape shape;
  Cost cost;
};

const char* Name(Load load) {
  switch (load) {
    case Load::kIdle:
      return "idle";
    case Load::kRequests:
      return "requests";
    case Load::kOverload:
      return "overload";
    case Load::kBatch:
      return "batch";
  }
  return "";
}

Row Measure(const Shape& shape) {
  const Row row{shape, MeasureCell(shape)};
  const Cost base = MeasureBaseline(shape);
  std::printf(
      "%-9s %3d %4d %6d %7.1f | %8.2f %8.2f %9.0f %8.0f | %9.0f %8.0f | "
      "%7.3f%s\n",
      Name(shape.load), shape.data_centers, shape.data_centers * shape.members,
      shape.workers, static_cast<double>(shape.workers) / shape.members,
      row.cost.heartbeats, row.cost.renewals, row.cost.bytes,
      row.cost.nanoseconds, base.bytes, base.nanoseconds,
      row.cost.bytes / base.bytes,
      row.cost.bytes > kTargetBytes ? "  above 2 KB/s" : "");
  std::fflush(stdout);
  return row;
}

void PrintSlope(const char* per, double steps, const Row& first,
                const Row& last) {
  std::printf(
      "slope per %s, from the first row to the last: %.2f bytes/s, "
      "%.1f ns/s\n\n",
      per, (last.cost.bytes - first.cost.bytes) / steps,
      (last.cost.nanoseconds - first.cost.nanoseconds) / steps);
}

void AgainstWorkers(Load load) {
  constexpr std::array kWorkers{50, 150, 300, 1200};
  std::array<Row, kWorkers.size()> rows;
  for (std::size_t i = 0; i < kWorkers.size(); ++i) {
    rows[i] = Measure({1, 8, kWorkers[i], load});
  }
  const double owned = (kWorkers.back() - kWorkers.front()) / 8.0;
  PrintSlope("owned worker", owned, rows.front(), rows.back());
}

void AgainstMembers(Load load) {
  std::array<Row, 3> rows;
  rows[0] = Measure({1, 8, 50, load});
  rows[1] = Measure({4, 8, 50, load});
  rows[2] = Measure({8, 8, 50, load});
  PrintSlope("peer in other data centres", 56, rows.front(), rows.back());
  rows[0] = Measure({1, 8, 50, load});
  rows[1] = Measure({1, 32, 50, load});
  rows[2] = Measure({1, 64, 50, load});
  PrintSlope("peer in the own data centre", 56, rows.front(), rows.back());
}

/// 1,200 workers in 8 data centres, with 8 entry hosts in all or in each.
void AtTargetSize() {
  for (const Load load :
       {Load::kIdle, Load::kRequests, Load::kOverload, Load::kBatch}) {
    Measure({8, 1, 150, load});
    Measure({8, 8, 150, load});
  }
}

void Run() {
  std::printf(
      "Control cost of an entry process, a second. Baseline: heartbeats from "
      "all to all\nand a renewal of each worker, both every 500 ms.\n\n"
      "load       dcs procs workers owned  | beats/s  renew/s   bytes/s    "
      "ns/s | base B/s  base ns |   ratio\n");
  for (const Load load : {Load::kIdle, Load::kRequests}) AgainstWorkers(load);
  for (const Load load : {Load::kIdle, Load::kOverload}) AgainstMembers(load);
  std::printf("1,200 workers in 8 data centres (150 in each):\n");
  AtTargetSize();
  std::printf(
      "\nTeams: no message and no state of these parts depends on them, so "
      "there is no slope\nto measure; heartbeats carry the version of the "
      "configuration, not the document.\n");
}

}  // namespace
}  // namespace mustardproxy::bench

int main() {
  mustardproxy::bench::Run();
  return 0;
}
