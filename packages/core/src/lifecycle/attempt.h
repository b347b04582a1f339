#ifndef MUSTARDPROXY_CORE_LIFECYCLE_ATTEMPT_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_ATTEMPT_H_

#include <cstdint>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"

namespace mustardproxy::detail {

/// How far one task of an attempt is, as far as this process knows.
enum class SlotState {
  /// Planned or sent; no word from the worker yet.
  kPending,
  kRunning,
  /// It provably did not run and never will.
  kNeverStarted,
  kEnded,
  /// It may have run, and certainly does not run any more.
  kLost,
};

/// One task of an attempt.
struct AttemptSlot {
  TaskId task;
  WorkerId worker;
  SlotState state = SlotState::kPending;
  /// Set once `kEnded`.
  EndedTask ended;
  /// This process had lost the worker's lease before it sent anything, which
  /// does not speak against the worker.
  bool lease_lost = false;
};

/// What an attempt whose tasks are all settled amounts to.
enum class AttemptResult {
  /// No task of it ran.
  kNeverStarted,
  kFinished,
  /// All tasks ended by themselves, and one reported failure.
  kFailed,
  /// A task was stopped, or did not start while others of its gang ran.
  kStopped,
  /// The end of a task can't be learnt any more.
  kLost,
};

/// One try at a request: the tasks that were placed together.
struct Attempt {
  std::int32_t number = 0;
  std::vector<AttemptSlot> slots;
  /// Stop orders are out for all of its tasks.
  bool stopping = false;
  /// Stopped to make room for more urgent work.
  bool preempted = false;

  /// @return true if nothing was sent, since this process had lost the lease
  [[nodiscard]] bool LeaseLost() const;
  /// @return workers that failed in this attempt
  [[nodiscard]] std::vector<WorkerId> FailedWorkers() const;
  [[nodiscard]] AttemptSlot* Find(const TaskId& task);
  /// @return true once no task of it runs or will run
  [[nodiscard]] bool Settled() const;
  /// @return true unless every task provably did not run
  [[nodiscard]] bool MayHaveRun() const;
  /// @return true if it can't come to a whole end any more, since a task did
  /// not
  ///   start, was lost or was stopped
  [[nodiscard]] bool CanNotComplete() const;
  /// @pre `Settled()`
  [[nodiscard]] AttemptResult Evaluate() const;
  /// The worst status of all tasks with the body of the first one.
  [[nodiscard]] Answer MergedAnswer() const;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_ATTEMPT_H_
