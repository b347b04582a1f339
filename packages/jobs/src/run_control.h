#ifndef MUSTARDPROXY_JOBS_RUN_CONTROL_H_
#define MUSTARDPROXY_JOBS_RUN_CONTROL_H_

#include <cstddef>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "callback_guard.h"
#include "owner_context.h"

namespace mustardproxy::jobs {

/// Why all runs on a worker have ended.
enum class LossCause {
  /// Another incarnation of the worker responds at its address.
  kOtherIncarnation,
  /// The lease has expired, whatever the rate of the worker's clock.
  kLeaseLapsed,
  /// The worker has restarted under the same id.
  kRestarted,
};

/// Which of a worker's runs that were not sent yet are withdrawn.
enum class PlannedRuns {
  /// As many as exceed the current capacity of the worker.
  kExcess,
  kAll,
};

/// Orders workers to start and stop runs, and processes the ends of runs.
///
/// An order without a response is repeated for the same run number, which a
/// worker carries out only once. A run that is no longer wanted is stopped by
/// its run number. The worker remembers that number and rejects a start that
/// arrives later. Resources are released only when the run is known to have
/// ended.
class RunControl {
 public:
  explicit RunControl(OwnerContext* context);

  /// Registers runs that were just placed, and starts them once they are
  /// stored.
  /// @param runs runs of one step that were begun in the job table
  void Begin(const JobEntry& entry, const std::vector<RunRef>& runs,
             std::span<const WorkerIncarnation> workers);
  /// Registers a run that was placed by a previous owner.
  /// @param may_be_ordered the previous owner may have sent the start order
  void Inherit(const RunRef& run, const WorkerIncarnation& worker,
               Instant inherited_until, bool may_be_ordered);
  /// Registers and stops a run that a worker lists and that is not wanted.
  void StopUnwanted(WorkerSession* session, const RunRef& run);
  /// Stops a run that is no longer wanted.
  void Stop(WorkerSession* session, const RunRef& run);
  /// Stops a run to make room for a step; its task starts again later.
  /// @param lost run time that the task has to repeat
  void Preempt(WorkerSession* session, const RunRef& run, const StepRef& by,
               Duration lost);
  /// Withdraws runs on a worker whose start orders were not sent yet.
  void WithdrawPlanned(WorkerSession* session, PlannedRuns which);
  /// Stops all runs of a job.
  void StopJob(const JobEntry& entry);
  /// Processes the end of a run.
  /// @param durable called once the end is stored, if there is anything to
  ///   store
  /// @return false if there is nothing to store; `durable` is not called then
  bool End(WorkerSession* session, const RunRef& run, RunEnd end,
           std::string_view checkpoint, std::function<void()> durable);
  /// Ends all runs of a worker that is certain to have stopped them. If the
  /// worker has restarted, runs whose start orders may still reach the new
  /// incarnation are kept; see BlockStart.
  /// @param down_by the worker had gone down by this time
  void HandleWorkerLoss(WorkerSession* session, LossCause cause,
                        Instant down_by);
  /// Prevents a start order for a former incarnation from being carried out.
  /// The task is started elsewhere only after the worker has acknowledged this.
  void BlockStart(WorkerSession* session, const RunRef& run,
                  const SessionRun& former);
  /// Registers a run that the new incarnation of a worker has started.
  void Move(WorkerSession* session, const RunRef& run, SessionRun record);
  /// @return true if the task of the run must not be started again yet, because
  ///   the start order of the run may still be carried out
  [[nodiscard]] bool AwaitsLateStart(const RunRef& run,
                                     const SessionRun& record,
                                     Instant now) const;
  /// Ends the blocked runs of a worker that does not respond, once their start
  /// orders can no longer arrive.
  void ReleaseBlocked(WorkerSession* session);
  /// Processes the response to any order.
  /// @param asked when the order was sent
  /// @param lists running and ended runs in the response, if it contains them
  /// @return the session of the worker, or null if the response makes the order
  ///   obsolete
  WorkerSession* NoteAnswer(const WorkerIncarnation& worker, Instant asked,
                            const OrderResult& result,
                            const HoldResult* lists = nullptr);
  /// Stores the final state of a job.
  void StoreFinal(JobEntry* entry);
  /// Sends the start order of a run that is stored.
  void SendStart(const WorkerIncarnation& worker, const RunRef& run);
  /// Sends the start orders that waited for an answer of the worker.
  void SendContacted(WorkerSession* session);
  /// Withdraws the runs whose start orders wait for an answer of a worker that
  /// does not respond.
  void WithdrawUncontacted(WorkerSession* session);
  /// Stops all members of a gang run.
  void StopGang(const RunRef& member);

 private:
  /// Calls `start` as soon as the job itself is stored.
  void StartOnceStored(const JobId& job, std::function<void()> start);
  /// @return true if a start order of a previous owner is certain to be bound
  ///   to that incarnation; see SessionRun::bound_to_incarnation
  [[nodiscard]] bool IsBoundToIncarnation(
      const JobEntry& entry, const WorkerIncarnation& worker) const;
  /// @return true if the start needs a permission that has expired, or expires
  ///   before the order arrives
  [[nodiscard]] bool PermissionExpired(const WorkerSession& session,
                                       const RunRef& run, Instant now) const;
  /// Records that the first start order of a step that had nothing running is
  /// sent.
  void NoteStepStart(const StepRef& ref);
  bool FillOrder(const WorkerSession& session, const RunRef& run,
                 StartOrder* order);
  void OnStart(const WorkerIncarnation& worker, const RunRef& run, bool first,
               Instant asked, const OrderResult& result);
  /// @return true if the run is the open one of its task, and the task is still
  ///   to be done
  [[nodiscard]] bool IsWanted(const RunRef& run) const;
  /// Records whether a start order may still be carried out after its call has
  /// ended.
  /// @param latest latest incarnation of the worker that the order was sent to
  static void NoteStartResponse(WorkerSession* latest, const RunRef& run,
                                Instant asked, OrderOutcome end);
  /// Handles a start order that a worker rejected.
  void OnRefused(WorkerSession* session, const RunRef& run, OrderOutcome why);
  /// @return the runs whose start orders wait for an answer of the worker
  static std::vector<RunRef> FindAwaitingContact(const WorkerSession& session);
  /// Withdraws a run that was not started anywhere.
  void WithdrawUnstarted(WorkerSession* session, const RunRef& run);
  void SendStop(const WorkerIncarnation& worker, const RunRef& run);
  void OnStop(const WorkerIncarnation& worker, const RunRef& run, Instant asked,
              const OrderResult& result);
  void NoteOutcome(const WorkerSession& session, const SessionRun& record,
                   const RunRef& run, RunEnd end);
  /// Keeps other tasks off the worker of a run that may crash it.
  void QuarantineIfSuspicious(WorkerSession* session, const RunRef& run);
  /// @return true if a lost run may still start on the worker and is now
  ///   blocked
  bool BlockIfMayStart(WorkerSession* session, const RunRef& run,
                       LossCause cause);
  /// Records the loss of a worker for the task of one of its runs.
  void NoteLoss(const WorkerSession& session, const RunRef& run,
                const SessionRun& record, LossCause cause, Instant down_by);
  /// Records the loss of a worker.
  /// @return the workers that went down at about the same time
  Outage NoteOutage(const WorkerSession& lost);
  /// Discounts the losses of workers that went down in an outage.
  void Discount(const Outage& outage);
  void GiveUpIfUnsafe(const TaskRef& task);
  [[nodiscard]] std::size_t MaxLostWorkers() const {
    return static_cast<std::size_t>(this->context->max_lost_workers);
  }
  /// Fails the job of a task that crashes its workers. A long-running task is
  /// started again, after a delay.
  void GiveUp(const TaskRef& task);
  void DelayRestart(const TaskRef& task);
  /// Like End, but never fails the job because of lost workers.
  bool ApplyRunEnd(WorkerSession* session, const RunRef& run, RunEnd end,
                   std::string_view checkpoint, std::function<void()> durable);
  /// Logs what is known of a run whose worker is lost.
  void LogLostRun(const WorkerSession& session, const RunRef& run,
                  const SessionRun& record, LossCause cause);
  /// @return false if another member of the gang run has ended
  [[nodiscard]] bool IsGangRunIntact(const RunRef& member);
  void RunAfter(Duration delay, std::function<void()> task);

  OwnerContext* context;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RUN_CONTROL_H_
