#ifndef MUSTARDPROXY_CORE_LIFECYCLE_DEFERRED_FLOW_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_DEFERRED_FLOW_H_

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "lifecycle/attempt.h"
#include "lifecycle/request_table.h"
#include "lifecycle/service_terms.h"
#include "lifecycle/task_tracker.h"
#include "lifecycle/timer_queue.h"
#include "mustardproxy/core/deferred_store.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/core/scheduler.h"

namespace mustardproxy::detail {

struct Parts;

/// State of a unit of deferred work in this process.
enum class DeferredPhase {
  /// Not queued: the platform is unreachable, the process is stopping, or the
  /// delay after a failed attempt has not passed.
  kParked,
  /// Queued for resources on a worker.
  kQueued,
  /// Placed; the *started* records are being written to the platform.
  kRecording,
  /// Its tasks were sent.
  kRunning,
  /// The record of its end is being written to the platform.
  kEnding,
};

/// Unfinished deferred work recorded in a journal of this process.
struct DeferredWork {
  Request request;
  JournalId journal;
  DeferredPhase phase = DeferredPhase::kParked;
  /// Number of the last attempt, whether or not it ran.
  std::int32_t last_attempt = 0;
  /// Attempts that ran and failed by themselves.
  std::int32_t failures = 0;
  /// Attempts whose worker was lost, as observed by this process.
  std::int32_t losses = 0;
  /// Consecutive attempts that no worker started.
  std::int32_t refusals = 0;
  Attempt attempt;
  /// *Started* records of this attempt that are not durable yet.
  std::size_t pending_records = 0;
  std::vector<WorkerId> avoid;
  Instant accepted;
  bool cancel_wanted = false;
  bool may_have_run = false;
  /// The attempt was started by the former writer of the journal.
  bool adopted = false;
  /// Queries answered once the cancellation is settled.
  std::vector<std::uint64_t> cancel_queries;
};

/// Life cycle of deferred work. It is accepted once its *accepted* record is
/// durable, started once its *started* records are durable, and finished
/// exactly once.
class DeferredFlow {
 public:
  explicit DeferredFlow(Parts* parts) : parts(parts) {}

  /// Accepts new deferred work, forwards it to a peer, or refuses it.
  void Accept(ActiveRequest* entry);
  /// Handles an *accepted* record that did not become durable in time.
  void OnAcceptTimeout(ActiveRequest* entry);
  void OnDurable(const JournalId& journal, const AcceptedRecord& record);
  void OnDurable(const JournalId& journal, const StartedRecord& record);
  void OnDurable(const JournalId& journal, const FinishedRecord& record);
  void OnDurable(const JournalId& journal, const CancelledRecord& record);
  /// Handles the loss of the journal to another process: none of its work may
  /// start here any more.
  void OnFenced(const JournalId& journal);
  /// Resumes an unfinished entry of an adopted journal.
  void Resume(const DeferredEntry& entry);

  void OnPlaced(std::span<const Placement> placements);
  void OnTaskUpdate(const TaskUpdate& update);
  void OnPreempted(const Preemption& preemption);
  /// Handles the scheduler removing the work from its queue; the work is parked
  /// and queued again.
  void OnExpired(const RequestId& request);
  /// @return false if this process has no unfinished work with this id
  [[nodiscard]] bool Cancel(const RequestId& request, std::uint64_t query);
  /// Drops a cancellation query that was answered before the cancellation was
  /// settled.
  void ForgetCancelQuery(const RequestId& request, std::uint64_t query);
  /// @return true if any work is parked or queued
  [[nodiscard]] bool AnyWaiting() const;
  /// @return true if no work is queued or waiting for its *started* records
  [[nodiscard]] bool HasNoPendingStart() const;
  /// Parks all work that has not started, for a shutdown or an outage.
  void ParkAll();
  /// Queues all parked work that may start now.
  void QueueParked();
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->timers.Next(); }
  [[nodiscard]] const DeferredWork* Find(const RequestId& request) const;
  [[nodiscard]] std::size_t Size() const { return this->works.size(); }
  [[nodiscard]] std::size_t SizeIn(const JournalId& journal) const;

 private:
  /// Confirms to the caller, if it is still waiting, that the work is recorded.
  void ConfirmAccepted(const RequestId& request);
  DeferredWork* Get(const RequestId& request);
  /// Refuses work whose record exceeds the maximum size of a batch.
  /// @return false if it was refused
  [[nodiscard]] bool FitsJournal(ActiveRequest* entry);
  [[nodiscard]] Admission CheckAdmission(const ActiveRequest& entry);
  [[nodiscard]] bool MayStart() const;
  void Enqueue(DeferredWork* work);
  void Park(DeferredWork* work, Duration delay);
  void SendTasks(DeferredWork* work);
  void WithdrawRecording(DeferredWork* work);
  void StopTasks(DeferredWork* work, bool checkpoint);
  void UpdateSlot(DeferredWork* work, const TaskUpdate& update);
  void Settled(DeferredWork* work);
  void HandleFailure(DeferredWork* work, AttemptResult result);
  void HandleRefusal(DeferredWork* work);
  void Requeue(DeferredWork* work);
  void End(DeferredWork* work, DeferredState state, Answer answer);
  void EndCancelled(DeferredWork* work);
  void AnswerCancelQueries(DeferredWork* work);
  void Remove(const RequestId& request);

  Parts* parts;
  std::unordered_map<RequestId, DeferredWork> works;
  std::unordered_map<JournalId, std::size_t> sizes;
  TimerQueue<RequestId> timers;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_DEFERRED_FLOW_H_
