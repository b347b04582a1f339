#include <string>

#include "cases.hpp"
#include "common.hpp"

namespace review {

/// A service with one task on each machine; one machine crashes three times,
/// each time after the service has worked for a while.
Verdict FlappingMachine(const std::string& path, bool trouble) {
  Cell cell(2, EightMachines(), path);
  if (!cell.Start()) return Verdict::kNotRun;
  const std::string body =
      R"({"spec":"service","steps":[{"count":8,"cpu":2000,"memMb":1024,)"
      R"("estimatedMs":60000,"longRunning":true,"antiAffinity":1}]})";
  if (cell.Call(0, "POST", kJob, body).status != 200) return Verdict::kNotRun;
  for (int i = 0; i < 8; ++i) {
    if (cell.Find(TaskName(0, i), 10) == nullptr) return Verdict::kNotRun;
  }
  std::string state;
  for (int crash = 0; crash < 4 && state != "failed"; ++crash) {
    Pause(14);
    if (trouble) {
      cell.machines[2]->Crash();
      Pause(4.5);
      cell.machines[2]->Start();
    } else {
      Pause(4.5);
    }
    for (int i = 0; i < 40 && state != "failed"; ++i) {
      Pause(0.1);
      if (i % 10 == 0) state = cell.StateOf(0, kJob);
    }
  }
  Pause(3);
  state = cell.StateOf(1, kJob);
  int at_work = 0;
  for (int i = 0; i < 8; ++i) {
    if (cell.Find(TaskName(0, i), 0) != nullptr) ++at_work;
  }
  std::size_t failed = 0;
  for (const RunSeen& run : cell.runs.All()) {
    if (run.how == "failed") ++failed;
  }
  cell.record.Note(
      "shown as " + state + "; ends `failed`: " + std::to_string(failed) +
      "; tasks at work: " + std::to_string(at_work) + " of 8; cancels sent: 0");
  return state == "failed" && failed == 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace review
