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

/// Why all that ran on a worker has ended.
enum class LossCause {
  /// Another life of the worker answers at its address.
  kOtherIncarnation,
  /// Its lease has lapsed by any clock.
  kLeaseLapsed,
  /// It has started again under its id.
  kRestarted,
};

/// Orders runs and stops them, and draws the consequences of their ends.
///
/// An order without an answer is sent again for the same run, which a worker
/// does once. A run that is not wanted any more is stopped by name, which the
/// worker remembers, so that a start which arrives late is refused. Room is
/// given back only when the end is known.
class RunControl {
 public:
  explicit RunControl(OwnerContext* context);

  /// Enters runs that were just placed, and starts them once they are stored.
  /// @param runs of one step; they have been begun in the job table
  void Begin(const JobEntry& entry, const std::vector<RunRef>& runs,
             std::span<const WorkerIncarnation> workers);
  /// Enters a run that a former owner ordered.
  void Inherit(const RunRef& run, const WorkerIncarnation& worker,
               Instant inherited_until);
  /// Has a run stopped that is not wanted any more.
  void Stop(WorkerSession* session, const RunRef& run);
  /// Takes back runs that were not sent yet and do not fit into what the worker
  /// has now.
  void WithdrawPlanned(WorkerSession* session);
  /// Has all runs of a job stopped.
  void StopJob(const JobEntry& entry);
  /// Draws the consequences of a run's end.
  /// @param durable called once the end is stored; not called, and false
  ///   returned, if there is nothing to store
  bool End(WorkerSession* session, const RunRef& run, RunEnd end,
           std::string_view checkpoint, std::function<void()> durable);
  /// All that ran there has ended for certain. Of a worker that has started
  /// again, runs whose starts may yet arrive at its next life are left; see
  /// BlockStart.
  void HandleWorkerLoss(WorkerSession* session, LossCause cause);
  /// Keeps a start that was meant for a former life from being carried out. Its
  /// task starts elsewhere only once the worker has acknowledged that.
  void BlockStart(WorkerSession* session, const RunRef& run,
                  const SessionRun& former);
  /// Enters a run that the worker has taken in after a restart.
  void Move(WorkerSession* session, const RunRef& run, SessionRun record);
  /// Gives up on a silent worker's acknowledgements of that.
  void ReleaseBlocked(WorkerSession* session);
  /// Takes note of what any answer of a worker tells.
  /// @param asked when the order was sent
  /// @return its session, or null if it tells that the order was for nothing
  /// @param lists of that answer, if it has any
  WorkerSession* NoteAnswer(const WorkerIncarnation& worker, Instant asked,
                            const OrderResult& result,
                            const HoldResult* lists = nullptr);
  /// The job became final or was changed otherwise; stores that.
  void StoreFinal(JobEntry* entry);
  /// Sends a start that is written down.
  void SendStart(const WorkerIncarnation& worker, const RunRef& run);
  /// Has all members of a gang's run stopped.
  void StopGang(const RunRef& member);

 private:
  /// Sends starts that are written down, as soon as their job is stored too.
  void StartOnceStored(const JobId& job, std::function<void()> start);
  bool FillOrder(const WorkerSession& session, const RunRef& run,
                 StartOrder* order);
  void OnStart(const WorkerIncarnation& worker, const RunRef& run, bool first,
               Instant asked, const OrderResult& result);
  /// A worker has turned the start down.
  void OnRefused(WorkerSession* session, const RunRef& run, OrderOutcome why);
  /// Takes a run back that was not started anywhere.
  void WithdrawUnstarted(WorkerSession* session, const RunRef& run);
  void SendStop(const WorkerIncarnation& worker, const RunRef& run);
  void OnStop(const WorkerIncarnation& worker, const RunRef& run, Instant asked,
              const OrderResult& result);
  void NoteOutcome(const WorkerSession& session, const SessionRun& record,
                   const RunRef& run, RunEnd end);
  /// Keeps other tasks away from a run that may take its worker down.
  void QuarantineIfSuspicious(WorkerSession* session, const RunRef& run);
  /// @return true if a lost run may still start there, and is kept from it
  bool BlockIfMayStart(WorkerSession* session, const RunRef& run,
                       LossCause cause);
  /// Counts a lost worker against the task of one of its runs.
  void NoteLoss(const WorkerSession& session, const RunRef& run,
                const SessionRun& record, LossCause cause);
  /// Takes note of a lost worker.
  /// @return what went down at about the same moment
  Outage NoteOutage(const WorkerSession& lost);
  /// Has losses count little that came with many others.
  void Discount(const Outage& outage);
  void GiveUpIfUnsafe(const TaskRef& task);
  [[nodiscard]] std::size_t MaxLostWorkers() const {
    return static_cast<std::size_t>(this->context->max_lost_workers);
  }
  /// Fails the job of a task that takes its workers down.
  void GiveUp(const TaskRef& task);
  /// See End; gives nothing up.
  bool ApplyRunEnd(WorkerSession* session, const RunRef& run, RunEnd end,
                   std::string_view checkpoint, std::function<void()> durable);
  /// Tells what was known of a run whose worker is lost.
  void LogLostRun(const WorkerSession& session, const RunRef& run,
                  const SessionRun& record, LossCause cause);
  /// @return false if another member of the gang's run has ended
  [[nodiscard]] bool IsGangRunIntact(const RunRef& member);
  void RunAfter(Duration delay, std::function<void()> task);

  OwnerContext* context;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RUN_CONTROL_H_
