#include <algorithm>
#include <chrono>
#include <string>

#include "cases.hpp"
#include "common.hpp"

namespace review {

/// The answer to one write of the store is lost and the write is done 6 s
/// later; meanwhile its caller has been told 504 and has cancelled the job.
Verdict CancelledBeforeStored(const std::string& path, bool trouble) {
  Cell cell(2, EightMachines(), path);
  if (!cell.Start()) return Verdict::kNotRun;
  Pause(4);
  const std::string body =
      R"({"spec":"work=4000","steps":[{"count":2,"cpu":1000,"memMb":512,)"
      R"("estimatedMs":4000},{"count":2,"cpu":1000,"memMb":512,)"
      R"("estimatedMs":4000,"after":[0]}]})";
  const std::string other =
      R"({"spec":"work=300","steps":[{"count":1,"cpu":500,"memMb":256,)"
      R"("estimatedMs":300}]})";
  const Store::Count before = cell.store.Writes();
  if (trouble) {
    cell.record.Note("one write of the store is about to go unanswered");
    cell.store.SetLate(
        [](const Json& write) {
          for (const Json& put : write.value("puts", Json::array())) {
            const std::string key = put.at("key");
            if (key.find(kJob) != std::string::npos) return true;
          }
          return false;
        },
        std::chrono::milliseconds(6000));
  }
  (void)cell.Call(0, "POST", "00000000000000a1", other);
  (void)cell.Call(1, "POST", "00000000000000a2", other);
  // A caller that comes back with little of its 3 s left.
  const Answer posted = cell.Call(0, "POST", kJob, body, 400);
  const Answer cancelled = cell.Call(1, "DELETE", kJob, "");
  const double acknowledged = cell.record.Seconds();
  (void)cell.Call(1, "POST", "00000000000000a3", other);
  Pause(1);
  cell.store.SetLate({}, std::chrono::milliseconds(0));
  const double calm_from = cell.record.Seconds();
  const Store::Count after = cell.store.Writes();
  const auto writes = after.writes - before.writes;
  const auto unanswered = after.unanswered - before.unanswered;
  cell.record.Note("writes of the store meanwhile: " + std::to_string(writes) +
                   ", unanswered: " + std::to_string(unanswered));
  // At most 0.35 of the writes may be lost.
  const bool fair = unanswered * 100 <= writes * 35;
  const bool told = cancelled.status == 200 || cancelled.status == 410;
  if (!fair || !told || (trouble && unanswered != 1)) return Verdict::kNotRun;
  if (trouble && posted.status == 200) return Verdict::kNotRun;
  Pause(16);
  (void)cell.StateOf(0, kJob);
  // The bound of the rule, and the time after which a machine is in touch.
  constexpr double kCancelS = 3;
  constexpr double kContactS = 3;
  const double bound =
      std::max(acknowledged + kCancelS, trouble ? calm_from + kContactS : 0.0);
  double latest = 0;
  for (const RunSeen& run : cell.runs.All()) {
    if (run.task.starts_with(kJob)) latest = std::max(latest, run.begun);
  }
  cell.record.Note("cancel acknowledged at " + std::to_string(acknowledged) +
                   ", starts count from " + std::to_string(bound) +
                   ", last start at " + std::to_string(latest));
  return latest > bound ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace review
