#include <algorithm>
#include <string>

#include "cases.hpp"
#include "common.hpp"

namespace review {

/// A service of 7 lasting tasks is packed onto one machine, which crashes; the
/// machine that takes them then crashes as well. Not a case of its own.
Verdict RestartInTurn(const std::string& path, bool trouble) {
  Cell cell(2, EightMachines(), path);
  if (!cell.Start()) return Verdict::kNotRun;
  const std::string body =
      R"({"spec":"service","steps":[{"count":7,"cpu":2000,"memMb":1024,)"
      R"("estimatedMs":60000,"longRunning":true}]})";
  if (cell.Call(0, "POST", kJob, body).status != 200) return Verdict::kNotRun;
  for (int crash = 0; crash < 2; ++crash) {
    Machine* machine = cell.Find(TaskName(0, 0), 10);
    if (machine == nullptr) return Verdict::kNotRun;
    Pause(12);
    if (trouble) machine->Crash();
    Pause(4.5);
    if (trouble) machine->Start();
  }
  // The 4 s and the 3 s that the rule wants calm.
  Pause(7);
  double longest = 0;
  for (int i = 0; i < 350; ++i) {
    for (int task = 0; task < 7; ++task) {
      longest = std::max(longest, IdleTime(&cell, TaskName(0, task)));
    }
    Pause(0.1);
  }
  cell.record.Note("a task has not run for " + std::to_string(longest) + " s");
  return longest > 9 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace review
