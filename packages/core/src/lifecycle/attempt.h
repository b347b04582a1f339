#ifndef MUSTARDPROXY_CORE_LIFECYCLE_ATTEMPT_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_ATTEMPT_H_

#include <cstdint>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"

namespace mustardproxy::detail {

/// State of one task of an attempt as known to this process.
enum class SlotState {
  /// Planned or sent; the worker has not responded yet.
  kPending,
  kRunning,
  /// It did not run, and it is certain that it never will.
  kNeverStarted,
  kEnded,
  /// It may have run; it is certain that it no longer runs.
  kLost,
};

/// One task of an attempt.
struct AttemptSlot {
  TaskId task;
  WorkerId worker;
  SlotState state = SlotState::kPending;
  /// Valid if `state` is `kEnded`.
  EndedTask ended;
  /// This process lost the worker's lease before it sent the start. This is not
  /// counted as a failure of the worker.
  bool lease_lost = false;
};

/// Result of an attempt whose tasks are all settled.
enum class AttemptResult {
  /// No task ran.
  kNeverStarted,
  kFinished,
  /// All tasks ended by themselves and at least one reported failure.
  kFailed,
  /// A task was stopped, or did not start while other tasks of its gang ran.
  kStopped,
  /// The result of a task can no longer be determined.
  kLost,
};

/// One attempt to run a request: the tasks that were placed together.
struct Attempt {
  std::int32_t number = 0;
  std::vector<AttemptSlot> slots;
  /// Stop orders were sent for all of its tasks.
  bool stopping = false;
  /// Stopped to free resources for more urgent work.
  bool preempted = false;

  /// @return true if no start was sent because this process had lost the lease
  [[nodiscard]] bool LeaseLost() const;
  /// @return workers that failed in this attempt
  [[nodiscard]] std::vector<WorkerId> FailedWorkers() const;
  [[nodiscard]] AttemptSlot* Find(const TaskId& task);
  /// @return true once no task runs or will run
  [[nodiscard]] bool Settled() const;
  /// @return true unless it is certain that no task ran
  [[nodiscard]] bool MayHaveRun() const;
  /// @return true if the attempt can no longer complete because a task did not
  ///   start, was lost or was stopped
  [[nodiscard]] bool CanNotComplete() const;
  /// @pre `Settled()`
  [[nodiscard]] AttemptResult Evaluate() const;
  /// The worst status of all tasks with the body of the first one.
  [[nodiscard]] Answer MergedAnswer() const;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_ATTEMPT_H_
