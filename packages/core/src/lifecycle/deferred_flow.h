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

/// How far a piece of deferred work is in this process.
enum class DeferredPhase {
  /// Held back: the platform is away, the process is stopping, or the last
  /// attempt failed a moment ago.
  kParked,
  /// Waits for room on a worker.
  kQueued,
  /// Placed; the *started* records are on their way to the platform.
  kRecording,
  /// Its tasks are sent.
  kRunning,
  /// Its end is on its way to the platform.
  kEnding,
};

/// Unfinished deferred work that stands in a journal of this process.
struct DeferredWork {
  Request request;
  JournalId journal;
  DeferredPhase phase = DeferredPhase::kParked;
  /// Number of the last attempt, whether it came to run or not.
  std::int32_t last_attempt = 0;
  /// Attempts that ran and failed by themselves.
  std::int32_t failures = 0;
  /// Attempts whose worker was lost, as far as this process has seen.
  std::int32_t losses = 0;
  /// Attempts in a row that no worker started.
  std::int32_t refusals = 0;
  Attempt attempt;
  /// *Started* records of this attempt that are not durable yet.
  std::size_t pending_records = 0;
  std::vector<WorkerId> avoid;
  Instant accepted;
  bool cancel_wanted = false;
  bool may_have_run = false;
  /// It is, or was, one of several tasks started by the dead writer.
  bool adopted = false;
  /// Questions that wait until a cancellation is settled.
  std::vector<std::uint64_t> cancel_queries;
};

/// Deferred work: accepted once journalled, started once the start is
/// journalled, finished once.
class DeferredFlow {
 public:
  explicit DeferredFlow(Parts* parts) : parts(parts) {}

  /// Takes new deferred work on, hands it to a peer, or refuses it.
  void Accept(ActiveRequest* entry);
  /// The *accepted* record was not durable in time.
  void OnAcceptTimeout(ActiveRequest* entry);
  void OnDurable(const JournalId& journal, const AcceptedRecord& record);
  void OnDurable(const JournalId& journal, const StartedRecord& record);
  void OnDurable(const JournalId& journal, const FinishedRecord& record);
  void OnDurable(const JournalId& journal, const CancelledRecord& record);
  /// Another process holds the journal: nothing of it may start here again.
  void OnFenced(const JournalId& journal);
  /// Goes on with what an adopted journal leaves unfinished.
  void Resume(const DeferredEntry& entry);

  void OnPlaced(std::span<const Placement> placements);
  void OnTaskUpdate(const TaskUpdate& update);
  void OnPreempted(const Preemption& preemption);
  /// The scheduler gave up on it, which must not lose it.
  void OnExpired(const RequestId& request);
  /// @return false if this process has no such unfinished work
  [[nodiscard]] bool Cancel(const RequestId& request, std::uint64_t query);
  /// The question was answered otherwise.
  void ForgetCancelQuery(const RequestId& request, std::uint64_t query);
  /// @return true if work waits for room on a worker
  [[nodiscard]] bool AnyWaiting() const;
  /// @return true if no part of deferred work is about to be started here
  [[nodiscard]] bool HasNoPendingStart() const;
  /// Takes all waiting work out of the queue, for a shutdown or an outage.
  void ParkAll();
  /// Queues what is parked, as far as it may start now.
  void QueueParked();
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->timers.Next(); }
  [[nodiscard]] const DeferredWork* Find(const RequestId& request) const;
  [[nodiscard]] std::size_t Size() const { return this->works.size(); }
  [[nodiscard]] std::size_t SizeIn(const JournalId& journal) const;

 private:
  /// Tells the caller that the work is recorded, if it still waits.
  void ConfirmAccepted(const RequestId& request);
  DeferredWork* Get(const RequestId& request);
  /// Refuses work whose record no batch can hold.
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
