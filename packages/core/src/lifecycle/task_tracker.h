#ifndef MUSTARDPROXY_CORE_LIFECYCLE_TASK_TRACKER_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_TASK_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <system_error>
#include <vector>

#include "lifecycle/timer_queue.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

struct Parts;

/// A detached start is answered as soon as the task runs.
inline constexpr Duration kDetachedStartTimeout = std::chrono::seconds(1);

/// A task that is about to be sent, or was sent by the process whose journal
/// was adopted.
struct TaskPlan {
  TaskId task;
  RequestId request;
  ServiceId service;
  WorkerId worker;
  Epoch epoch = 0;
  /// The worker's run that the start is meant for; 0 if not known.
  Incarnation worker_incarnation = 0;
  Resources resources;
  Duration max_run{0};
  bool detached = false;
};

/// What became known of a task.
struct TaskUpdate {
  enum class Kind {
    /// It runs.
    kStarted,
    /// It provably did not run and never will.
    kNeverStarted,
    kEnded,
    /// It may have run, and certainly does not run any more.
    kLost,
    /// Its answer is lost, and asking did not settle its fate; asked again
    /// later.
    kUncertain,
  };
  Kind kind = Kind::kUncertain;
  TaskId task;
  RequestId request;
  WorkerId worker;
  EndedTask ended;
  std::error_code reason;
  /// The worker could not be asked.
  bool unreachable = false;
};

/// Follows each task from its placement until its fate is certain, whoever
/// still waits for it. Asks the worker where an answer was lost.
///
/// A task's resources go back to the scheduler only when the task provably does
/// not run, so a lost answer never leads to an overcommitted worker.
class TaskTracker {
 public:
  explicit TaskTracker(Parts* parts) : parts(parts) {}

  /// Follows a task that the scheduler has placed.
  void Plan(TaskPlan plan);
  /// Follows a task that another process has started; asks its worker now.
  void Watch(TaskPlan plan);
  /// Sends a planned task if this process still holds the worker's lease under
  /// the planned epoch; else the task never started.
  void Send(const TaskId& task, Body body, Duration timeout);
  /// Drops a planned task that was not sent; there is no news of it.
  void Withdraw(const TaskId& task);
  /// Orders a stop, now or as soon as the worker can be told.
  void Stop(const TaskId& task, bool checkpoint);
  /// The process has lost its right to the request: the task is not reported
  /// any more, its resources are still counted.
  void Disown(const TaskId& task);

  void On(const TaskStarted& event);
  void On(const TaskEnded& event);
  void On(const TaskNotStarted& event);
  void On(const TaskUncertain& event);
  void On(const TaskQueried& event);
  void On(const TaskStopAnswered& event);
  /// A worker told what it runs and what has ended.
  void OnReport(const WorkerReport& report);
  /// Everything that ran at the worker before is gone.
  void OnWorkerRestarted(const WorkerId& worker, Incarnation incarnation);
  /// This process no longer owns the worker.
  void OnWorkerLost(const WorkerId& worker);
  /// A renewal is on its way, which prolongs the leases of the worker's tasks.
  void OnRenewalSent(const WorkerId& worker);

  /// Asks about tasks that are due.
  void Tick();
  /// @return what became known since the last call, in order
  [[nodiscard]] std::vector<TaskUpdate> TakeUpdates();
  [[nodiscard]] Instant NextWakeup() const { return this->checks.Next(); }
  [[nodiscard]] bool IsTracked(const TaskId& task) const {
    return this->tasks.contains(task);
  }
  /// @return true if the task ended so recently that a report on its way may
  ///   still show it as running
  [[nodiscard]] bool EndedRecently(const TaskId& task) const {
    return this->recently_ended.contains(task);
  }
  /// @return true if no task is followed at the worker
  [[nodiscard]] bool IdleAt(const WorkerId& worker) const {
    return !this->by_worker.contains(worker);
  }
  [[nodiscard]] std::size_t Size() const { return this->tasks.size(); }

 private:
  enum class Phase { kPlanned, kSent, kRunning };
  struct Tracked {
    TaskPlan plan;
    Phase phase = Phase::kPlanned;
    /// Counted by this process's scheduler.
    bool placed = true;
    bool disowned = false;
    /// No answer will come by itself; only asking helps.
    bool uncertain = false;
    bool query_pending = false;
    bool stop_wanted = false;
    bool stop_sent = false;
    bool checkpoint = false;
    /// Renewals still to be seen before "never started" counts.
    std::int32_t confirmations = 0;
    Instant since;
    Duration delay{0};
  };

  Tracked* Find(const TaskId& task);
  void QueryWorker(Tracked* tracked);
  void ScheduleCheck(Tracked* tracked, Duration delay);
  void SendStop(Tracked* tracked);
  void StopAtOwner(const Tracked& tracked);
  void ConfirmNeverStarted(Tracked* tracked, Incarnation answered_by);
  void OnStillRunning(Tracked* tracked);
  void OnWorkerNotReachable(Tracked* tracked);
  void OnReportedRunning(Tracked* tracked);
  void QueryMissingTasks(const WorkerReport& report);
  void CountConfirmations(const WorkerReport& report);
  /// @return true if the task does not run anywhere, though its worker can't be
  ///   asked
  [[nodiscard]] bool HasCertainlyEnded(const Tracked& tracked);
  /// @return when its lease has lapsed, unless somebody else renews it
  [[nodiscard]] Instant LeaseExpiry(const Tracked& tracked) const;
  void Report(const Tracked& tracked, TaskUpdate::Kind kind);
  void Settle(const TaskId& task, TaskUpdate::Kind kind, EndedTask ended = {},
              std::error_code reason = {});
  void RecordEnded(const TaskId& task);
  [[nodiscard]] std::vector<TaskId> TasksAt(const WorkerId& worker) const;

  Parts* parts;
  std::map<TaskId, Tracked> tasks;
  std::map<WorkerId, std::set<TaskId>> by_worker;
  std::map<WorkerId, Instant> renewals;
  TimerQueue<TaskId> checks;
  std::vector<TaskUpdate> updates;
  std::set<TaskId> recently_ended;
  std::deque<TaskId> recently_ended_order;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_TASK_TRACKER_H_
