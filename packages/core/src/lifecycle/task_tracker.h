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

/// Timeout of a detached start, which is answered as soon as the task runs.
inline constexpr Duration kDetachedStartTimeout = std::chrono::seconds(1);

/// A task that will be sent, or that was sent by the former writer of an
/// adopted journal.
struct TaskPlan {
  TaskId task;
  RequestId request;
  ServiceId service;
  WorkerId worker;
  Epoch epoch = 0;
  /// Incarnation of the worker that the start is meant for; 0 if unknown.
  Incarnation worker_incarnation = 0;
  Resources resources;
  Duration max_run{0};
  bool detached = false;
};

/// A change in what is known about a task.
struct TaskUpdate {
  enum class Kind {
    /// It is running.
    kStarted,
    /// It did not run, and it is certain that it never will.
    kNeverStarted,
    kEnded,
    /// It may have run; it is certain that it no longer runs.
    kLost,
    /// Its answer was lost and a query did not settle its state; it is queried
    /// again later.
    kUncertain,
  };
  Kind kind = Kind::kUncertain;
  TaskId task;
  RequestId request;
  WorkerId worker;
  EndedTask ended;
  std::error_code reason;
  /// The worker could not be reached.
  bool unreachable = false;
};

/// Tracks each task from its placement until it certainly no longer runs,
/// whether or not its request is still in progress. Queries the worker if an
/// answer was lost.
///
/// A task's resources are freed only once it is certain that the task does not
/// run, so a lost answer never leads to an overcommitted worker.
class TaskTracker {
 public:
  explicit TaskTracker(Parts* parts) : parts(parts) {}

  /// Starts tracking a task that the scheduler has placed.
  void Plan(TaskPlan plan);
  /// Starts tracking a task that another process started, and queries its
  /// worker.
  void Watch(TaskPlan plan);
  /// Sends a planned task if this process still holds the worker's lease under
  /// the planned epoch; otherwise settles it as never started.
  void Send(const TaskId& task, Body body, Duration timeout);
  /// Drops a planned task that was not sent, without reporting an update.
  void Withdraw(const TaskId& task);
  /// Stops the task, now or as soon as its worker can be reached.
  void Stop(const TaskId& task, bool checkpoint);
  /// Stops reporting updates of the task, since another process holds its
  /// request now. Its resources stay allocated until it ends.
  void Disown(const TaskId& task);

  void On(const TaskStarted& event);
  void On(const TaskEnded& event);
  void On(const TaskNotStarted& event);
  void On(const TaskUncertain& event);
  void On(const TaskQueried& event);
  void On(const TaskStopAnswered& event);
  /// Handles a worker's report of its running and ended tasks.
  void OnReport(const WorkerReport& report);
  /// Settles the tasks of earlier incarnations of the worker.
  void OnWorkerRestarted(const WorkerId& worker, Incarnation incarnation);
  /// Handles the loss of the worker's lease.
  void OnWorkerLost(const WorkerId& worker);
  /// Records that a renewal was sent, which extends the leases of the worker's
  /// tasks.
  void OnRenewalSent(const WorkerId& worker);

  /// Queries the tasks whose check is due.
  void Tick();
  /// @return the updates since the last call, in order
  [[nodiscard]] std::vector<TaskUpdate> TakeUpdates();
  [[nodiscard]] Instant NextWakeup() const { return this->checks.Next(); }
  [[nodiscard]] bool IsTracked(const TaskId& task) const {
    return this->tasks.contains(task);
  }
  /// @return true if the task ended so recently that a report in transit may
  ///   still show it as running
  [[nodiscard]] bool EndedRecently(const TaskId& task) const {
    return this->recently_ended.contains(task);
  }
  /// @return true if no task is tracked at the worker
  [[nodiscard]] bool IdleAt(const WorkerId& worker) const {
    return !this->by_worker.contains(worker);
  }
  [[nodiscard]] std::size_t Size() const { return this->tasks.size(); }

 private:
  enum class Phase { kPlanned, kSent, kRunning };
  struct Tracked {
    TaskPlan plan;
    Phase phase = Phase::kPlanned;
    /// The scheduler of this process has allocated its resources.
    bool placed = true;
    bool disowned = false;
    /// The answer was lost; only a query can settle the task.
    bool uncertain = false;
    bool query_pending = false;
    bool stop_wanted = false;
    bool stop_sent = false;
    bool checkpoint = false;
    /// Renewals still to be confirmed before "never started" is accepted.
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
  /// @return true if the task certainly no longer runs although its worker
  ///   can't be reached
  [[nodiscard]] bool HasCertainlyEnded(const Tracked& tracked);
  /// @return when the task's lease expires unless another process renews it
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
