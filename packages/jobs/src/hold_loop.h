#ifndef MUSTARDPROXY_JOBS_HOLD_LOOP_H_
#define MUSTARDPROXY_JOBS_HOLD_LOOP_H_

#include "callback_guard.h"
#include "mustardproxy/core/ids.h"
#include "owner_context.h"

namespace mustardproxy::jobs {

/// Keeps one hold on its way to each worker that runs something: it renews the
/// lease there, waits for ends, and tells the worker which ends are stored.
///
/// The worker's list of ends is the journal of what happened there: an end is
/// noted only once its consequence is in the store, so whoever owns the group
/// next finds it either there or at the worker.
class HoldLoop {
 public:
  explicit HoldLoop(OwnerContext* context);

  /// Sends a hold if one is due.
  void SendIfDue(WorkerSession* session);
  /// Sends all that are due, and gives up workers whose lease has lapsed.
  void SendAllDue();

 private:
  bool IsDue(const WorkerSession& session) const;
  /// @return how long a hold waits at its worker, given how many workers there
  ///   are
  [[nodiscard]] Duration Wait() const;
  HoldOrder MakeOrder(const WorkerSession& session, Instant now) const;
  void OnHold(const WorkerIncarnation& worker, Instant asked,
              const HoldOrder& sent, const HoldResult& result);
  void OnAnswer(WorkerSession* session, Instant asked,
                const HoldResult& result);
  /// @param broken_before a call that ended earlier was not timed out
  void OnHoldFailed(WorkerSession* session, OrderOutcome end,
                    Instant broken_before);
  void ReadRunning(WorkerSession* session, const HoldResult& result);
  void ReadEnded(WorkerSession* session, const HoldResult& result);
  void EndUnlistedRuns(WorkerSession* session, Instant asked,
                       const HoldResult& result);
  void StopUnwantedRun(WorkerSession* session, const RunningRun& listed);
  void OnStored(const WorkerIncarnation& worker);

  OwnerContext* context;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_HOLD_LOOP_H_
