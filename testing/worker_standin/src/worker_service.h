#ifndef MUSTARDPROXY_STANDIN_WORKER_SERVICE_H_
#define MUSTARDPROXY_STANDIN_WORKER_SERVICE_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "event_log.h"
#include "placement_lease.h"
#include "standin/worker.h"
#include "switches.h"
#include "task_table.h"
#include "usage_history.h"

namespace mustardproxy::standin {

/// Answer to a control call.
struct ControlAnswer {
  int status = 200;
  std::string body;
};

/// How a start went.
struct StartAnswer {
  /// Set if it was refused.
  MaybeRefusal refusal;
  /// Set if it was attached and has ended.
  std::shared_ptr<const EndedTask> ended;
  /// Place of the end among the ends of this run of the worker.
  std::uint64_t sequence = 0;
};

/// What the fault switches do to one attached answer.
struct AnswerFault {
  bool cut = false;
  /// Set: send this task's answer instead of the right one.
  std::shared_ptr<const EndedTask> crossed;
  Duration late{0};
};

/// The worker behind its HTTP interface. Safe from any thread.
class WorkerService final : private EndObserver {
 public:
  explicit WorkerService(const WorkerOptions& options);
  ~WorkerService() override;

  ControlAnswer Attach(const std::string& body);
  ControlAnswer Renew(const std::string& body);
  ControlAnswer Release(const std::string& body);
  ControlAnswer StopTask(const TaskId& task, const std::string& body);
  ControlAnswer ThrottleTask(const TaskId& task, const std::string& body);
  ControlAnswer QueryTask(const TaskId& task);
  /// Starts a task; an attached start returns at the task's end.
  StartAnswer Start(TaskStart start, bool detached);

  /// @return what was wrong with the switches, empty if nothing
  std::string Switch(const std::string& json, bool* silence_open);
  /// Returns when the worker is not frozen, or is shutting down.
  void WaitWhileFrozen();
  /// Takes one of the armed faults for an attached answer.
  AnswerFault TakeFault(const EndedTask& ended);
  /// Waits, or less when shutting down.
  void Pause(Duration length);
  [[nodiscard]] bool Stopping() const;
  [[nodiscard]] Incarnation Run() const { return this->incarnation; }
  void Shutdown();
  [[nodiscard]] std::string Log() const;

 private:
  void OnEnded(Instant now, const EndedEntry& entry) override;
  void RunTimer();
  void Settle(Instant now);
  std::optional<RefusalReason> Admit(Instant now, TaskStart* start);
  void NoteRefused(Instant now, const TaskStart& start, RefusalReason reason);
  LogEntry EntryOf(Instant now, const TaskStart& start) const;
  [[nodiscard]] std::string Report(Instant now,
                                   const std::vector<const EndedEntry*>& ended,
                                   std::uint64_t through);

  WorkerOptions options;
  Incarnation incarnation;
  mutable std::mutex mutex;
  std::condition_variable timer;
  std::condition_variable thawed;
  PlacementLease lease;
  TaskTable tasks;
  UsageHistory usage;
  EventLog log;
  Switches switches;
  bool stopping = false;
  std::thread timer_thread;
};

/// @return the monotonic clock that all stand-ins of one machine share
Instant Now();

/// Reads what a task does from its body.
TaskPlan ReadPlan(const std::string& body, const Resources& declared);

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_WORKER_SERVICE_H_
