#include <algorithm>
#include <string>

#include "cases.hpp"
#include "common.hpp"

namespace review {

/// A lasting task ends `done` while its worker is cut off; only machines of its
/// kind may run it.
Verdict EndBehindCut(const std::string& path, bool trouble) {
  std::vector<MachineOptions> options = EightMachines();
  options[5].kind = "b";
  Cell cell(2, options, path);
  if (!cell.Start()) return Verdict::kNotRun;
  const std::string body =
      R"({"spec":"service","steps":[{"count":1,"cpu":2000,"memMb":1024,)"
      R"("estimatedMs":60000,"longRunning":true,"requirements":"b"}]})";
  if (cell.Call(0, "POST", kJob, body).status != 200) return Verdict::kNotRun;
  const std::string task = TaskName(0, 0);
  Machine* machine = cell.Find(task, 10);
  if (machine == nullptr) return Verdict::kNotRun;
  Pause(18);
  if (trouble) machine->Cut();
  Pause(1);
  if (!machine->EndTask(task, "done")) return Verdict::kNotRun;
  Pause(4.5);
  if (trouble) machine->Heal();
  // The 4 s and the 3 s that the rule wants calm, and the time of the rule.
  Pause(7);
  double longest = 0;
  for (int i = 0; i < 130; ++i) {
    longest = std::max(longest, IdleTime(&cell, task));
    Pause(0.1);
  }
  const std::string state = cell.StateOf(0, kJob);
  cell.record.Note("shown as " + state + "; the task has not run for " +
                   std::to_string(longest) + " s; cancels sent: 0");
  return longest > 9 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace review
