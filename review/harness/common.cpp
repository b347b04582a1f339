#include "common.hpp"

#include <algorithm>

namespace review {

std::vector<MachineOptions> EightMachines() {
  std::vector<MachineOptions> machines(8);
  for (std::size_t i = 0; i < machines.size(); ++i) {
    machines[i].rack = i < 4 ? "r1" : "r2";
  }
  return machines;
}

std::string TaskName(int step, int index) {
  return kJob + ".0." + std::to_string(step) + "." + std::to_string(index);
}

double IdleTime(Cell* cell, const std::string& task) {
  double last = -1;
  for (const RunSeen& run : cell->runs.All()) {
    if (run.task != task) continue;
    if (run.ended < 0) return 0;
    last = std::max(last, run.ended);
  }
  return last < 0 ? -1 : cell->record.Seconds() - last;
}

}  // namespace review
