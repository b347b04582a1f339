#ifndef MUSTARDPROXY_JOBS_HOLD_LOOP_H_
#define MUSTARDPROXY_JOBS_HOLD_LOOP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/core/ids.h"
#include "options.h"
#include "owner_context.h"

namespace mustardproxy::jobs {

/// Keeps one hold in flight to each worker that runs something. A hold renews
/// the lease of the worker, waits for runs to end, and tells the worker which
/// ends are stored.
///
/// The list of ended runs on the worker acts as a journal: an end is
/// acknowledged only after its effects are in the store. The next owner of the
/// group finds it either in the store or on the worker.
class HoldLoop {
 public:
  explicit HoldLoop(OwnerContext* context);
  ~HoldLoop();
  HoldLoop(const HoldLoop&) = delete;
  HoldLoop& operator=(const HoldLoop&) = delete;

  /// Sends a hold to the worker if one is due.
  void SendIfDue(WorkerSession* session);
  /// Asks an idle worker for an answer before a start is sent to it. Does
  /// nothing if one has just arrived.
  void Contact(WorkerSession* session);
  /// Sends all holds that are due, and handles the loss of workers whose lease
  /// has expired.
  void SendAllDue();
  /// @return the number of workers that needed attention when `SendAllDue` was
  ///   last called
  [[nodiscard]] std::size_t Attended() const { return this->attended.size(); }

 private:
  /// @return false for an idle worker to which nothing will have to be sent
  ///   unless it changes
  [[nodiscard]] static bool NeedsAttention(const WorkerSession& session,
                                           Instant now);
  /// Workers of a data centre that have been asked and need attention.
  struct ReachedWorkers {
    std::int64_t silent = 0;
    std::int64_t answering = 0;
  };

  /// Updates `OwnerContext::unreachable`.
  void UpdateUnreachable(const std::map<DataCenterId, ReachedWorkers>& reached);
  /// @return the workers that need attention
  std::vector<WorkerSession*> TakeAttended(Instant now);
  bool IsDue(const WorkerSession& session, Instant now) const;
  void Send(WorkerSession* session);
  /// @return true if there are too many workers to ask all of them at once
  [[nodiscard]] bool LargeCell() const;
  /// @return true if the worker is to be asked for its first answer later
  [[nodiscard]] bool AwaitsTurn(const WorkerSession& session) const;
  /// @return the delay before a worker that did not answer is asked again
  [[nodiscard]] Duration RetryDelay(const WorkerSession& session) const;
  /// @return how long a hold waits at its worker, depending on the number of
  ///   workers
  [[nodiscard]] Duration Wait() const;
  /// @return true while a start order that nobody waits for may reach the
  ///   worker
  [[nodiscard]] static bool Polls(const WorkerSession& session, Instant now);
  /// @return the interval between two polls of one worker
  [[nodiscard]] Duration PollInterval() const;
  /// Sends the next hold to a worker that is polled after the poll interval.
  void ScheduleNextPoll(WorkerSession* session);
  /// Sends a hold to the worker at that time if one is due then.
  void CheckAt(Instant moment, const WorkerIncarnation& worker);
  /// @return true if the hold in flight should have been answered by now
  [[nodiscard]] bool IsOverdue(const WorkerSession& session, Instant now) const;
  HoldOrder MakeOrder(const WorkerSession& session, Instant now) const;
  void OnHold(const WorkerIncarnation& worker, Instant asked,
              const HoldOrder& sent, const HoldResult& result);
  void OnAnswer(WorkerSession* session, Instant asked,
                const HoldResult& result);
  /// @param broken_before a call that ended before this time was ended by a
  ///   broken connection rather than by its timeout
  void OnHoldFailed(WorkerSession* session, OrderOutcome end,
                    Instant broken_before);
  void ReadRunning(WorkerSession* session, const HoldResult& result);
  void ReadEnded(WorkerSession* session, const HoldResult& result);
  void EndUnlistedRuns(WorkerSession* session, Instant asked,
                       const HoldResult& result);
  void OnStored(const WorkerIncarnation& worker);

  OwnerContext* context;
  ChangedSessions changes;
  /// Workers that needed attention when they were last examined.
  std::vector<SessionNumber> attended;
  /// Idle workers that may still be asked for their first answer in this tick.
  std::size_t fences_left = kMaxFencesPerTick;
  /// Workers that did not answer, when they were last counted.
  std::int64_t silent_idle = 0;
  std::int64_t silent_busy = 0;
  /// Number of workers that are polled.
  std::int64_t polled = 0;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_HOLD_LOOP_H_
