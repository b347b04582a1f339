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

/// The loss of a worker that was running a task.
struct WorkerLoss {
  /// The incarnation that was lost.
  WorkerIncarnation worker;
  /// The loss is confirmed: another incarnation responded at the worker's
  /// address. A worker that merely does not respond may be partitioned.
  bool certain = false;
  /// Time for which the run is known to have been running.
  Duration survived{0};
  /// The start order reached the worker, but the worker never listed the run:
  /// the start itself may have crashed the worker.
  bool at_start = false;
  /// No other run on the worker can have caused the loss.
  bool alone = false;
  /// Many workers were lost at the same time, so that this task is unlikely to
  /// be the cause.
  bool in_outage = false;
  /// Nothing shows that the start order reached the worker, which may have gone
  /// down before.
  bool unanswered = false;
};

/// Records the workers that were lost while they ran a task, to detect tasks
/// that crash their workers.
class CrashHistory {
 public:
  /// Records a loss, once per worker incarnation.
  void Note(const WorkerLoss& loss);
  /// Forgets the oldest losses beyond this number.
  void KeepNewest(std::size_t count);
  /// Marks the loss of the worker as confirmed.
  /// @return true if the loss was recorded and not confirmed before
  bool Confirm(const WorkerIncarnation& worker);
  /// Removes the loss of a worker that has responded again, and confirms the
  /// losses of its earlier incarnations.
  void NoteAlive(const WorkerIncarnation& worker);

  /// Marks the losses of these workers as part of an outage, which says little
  /// about the task.
  /// @return true if at least one of them was not marked before
  bool Discount(const std::set<WorkerIncarnation>& workers);

  [[nodiscard]] bool Empty() const { return this->losses.empty(); }
  [[nodiscard]] const std::vector<WorkerLoss>& Losses() const {
    return this->losses;
  }
  /// @return the workers, separated by spaces, for logs
  [[nodiscard]] std::string Text() const;
  /// @return true if the next run must be isolated from other tasks
  [[nodiscard]] bool Suspicious() const;
  /// @return how long a run must keep running before it is no longer isolated
  [[nodiscard]] Duration ProbationPeriod() const;
  /// @param max_losses number of workers that may be lost while they run the
  ///   task; one more if another task may have been the cause, one fewer if
  ///   each was lost when the task started
  /// @return true if no further worker may be put at risk
  [[nodiscard]] bool Unsafe(std::size_t max_losses) const;
  /// @return true if the task may be started only once more, whatever the
  ///   outcome of that run
  [[nodiscard]] bool AtLimit(std::size_t max_losses) const;

 private:
  /// @return the losses that count against the task
  [[nodiscard]] std::vector<WorkerLoss> Counted() const;
  /// @return true if each of the workers may have been lost because of the
  ///   start of its run
  [[nodiscard]] static bool AllAtStart(std::span<const WorkerLoss> losses);

  /// In the order in which they were recorded.
  std::vector<WorkerLoss> losses;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_CRASH_HISTORY_H_
