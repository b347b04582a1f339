#ifndef MUSTARDPROXY_JOBS_CRASH_HISTORY_H_
#define MUSTARDPROXY_JOBS_CRASH_HISTORY_H_

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/worker_incarnation.h"

namespace mustardproxy::jobs {

/// A worker that was lost under a run of a task.
struct WorkerLoss {
  /// The life that ended.
  WorkerIncarnation worker;
  /// Another life has answered at its address. A worker that is merely silent
  /// may have been cut off.
  bool certain = false;
  /// How long the run is known to have been at work.
  Duration survived{0};
  /// The start had reached the worker, which never listed the run: it may have
  /// gone by that start.
  bool at_start = false;
  /// Nothing else there could have been the cause.
  bool alone = false;
  /// Many workers went down at the same moment: hardly by this task.
  bool in_outage = false;
};

/// Workers that were lost while they ran one task: signs that the task takes
/// its workers down.
class CrashHistory {
 public:
  /// Takes note of a loss, once for each life.
  void Note(const WorkerLoss& loss);
  /// The worker is known to have ended its life.
  /// @return true if it was not known before
  bool Confirm(const WorkerIncarnation& worker);
  /// The worker lives: this life was not lost, and those before under its id
  /// are over.
  void NoteAlive(const WorkerIncarnation& worker);

  /// The loss of any of these workers says little about the task.
  /// @return true if one of them counted before
  bool Discount(const std::set<WorkerIncarnation>& workers);

  [[nodiscard]] bool Empty() const { return this->losses.empty(); }
  [[nodiscard]] const std::vector<WorkerLoss>& Losses() const {
    return this->losses;
  }
  /// @return the workers, separated by spaces, for logs
  [[nodiscard]] std::string Text() const;
  /// @return true if the next run is to be kept apart from other tasks
  [[nodiscard]] bool Suspicious() const;
  /// @return how long a run has to be at work to be no longer suspicious
  [[nodiscard]] Duration ProbationPeriod() const;
  /// @param max_losses workers that may be lost under the task; one more if
  ///   another task may have been the cause, one fewer if each went at its
  ///   start
  /// @return true if no more worker is to be put at risk
  [[nodiscard]] bool Unsafe(std::size_t max_losses) const;
  /// @return true if one more start decides, whatever its run ends by
  [[nodiscard]] bool AtLimit(std::size_t max_losses) const;

 private:
  /// @return losses that count against the task
  [[nodiscard]] std::vector<WorkerLoss> Counted() const;
  /// @return true if each of the workers may have gone by the start of its run
  [[nodiscard]] static bool AllAtStart(std::span<const WorkerLoss> losses);

  /// The oldest first.
  std::vector<WorkerLoss> losses;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_CRASH_HISTORY_H_
