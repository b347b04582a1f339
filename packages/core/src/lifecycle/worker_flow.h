#ifndef MUSTARDPROXY_CORE_LIFECYCLE_WORKER_FLOW_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_WORKER_FLOW_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/ownership.h"
#include "mustardproxy/core/worker.h"

namespace mustardproxy::detail {

struct Parts;

/// Keeps the ledger, the scheduler and the health of workers in line with the
/// leases that this process holds.
class WorkerFlow {
 public:
  explicit WorkerFlow(Parts* parts) : parts(parts) {}

  /// Takes over the workers that the settings name.
  void Boot();
  void On(const HostListArrived& event);
  void On(const WorkerAttached& event);
  void On(const WorkerRefused& event);
  void On(const WorkerRenewed& event);
  void On(const WorkerUnreachable& event);
  void On(const WorkerReleased& event);
  /// Attaches, renews and releases what is due, and follows the standing of
  /// workers.
  void Tick();
  /// Gives all leases back.
  void ReleaseAll();
  /// @return true if every release was answered
  [[nodiscard]] bool AllReleased() const { return this->releasing.empty(); }

  /// Sends a renewal out of turn.
  void RenewNow(const WorkerId& worker, const OwnedWorker& owned);
  /// @return `ip:port`, empty if the worker is not known
  [[nodiscard]] std::string AddressOf(const WorkerId& worker) const;

  /// @return true if a task of the request, started by another process, runs at
  ///   a worker of this one
  [[nodiscard]] bool RunsOrphanOf(const RequestId& request) const;
  /// Stops such tasks.
  void StopOrphansOf(const RequestId& request);
  /// Places nothing more on a worker whose lease may be gone.
  void Suspend(const WorkerId& worker);
  /// Closes workers whose lease was given up without an answer.
  void CloseLost();
  /// Lets work onto workers that would else never show whether they are well.
  void ProbeIdle();
  [[nodiscard]] std::size_t KnownCount() const {
    return this->directory.size();
  }

 private:
  void Open(const OwnedWorker& owned, const WorkerReport& report);
  void Close(const WorkerId& worker);
  void TrackForeignTasks(const WorkerReport& report);
  void FreeEndedForeignTasks(const WorkerReport& report);
  /// @return workers that were leaving and are not called so any more
  [[nodiscard]] std::vector<WorkerId> NoLongerLeaving(
      const std::vector<WorkerDescription>& workers) const;
  void UpdateDirectory(const std::vector<WorkerDescription>& workers);
  void ApplyStanding(const WorkerId& worker);
  void TrackLeaseActions(std::size_t first_action);

  Parts* parts;
  /// Of all data centres, so that journals that name them can be followed up.
  std::map<WorkerId, WorkerDescription> directory;
  /// Tasks at owned workers that this process did not start, with what runs
  /// them.
  std::map<WorkerId, std::map<TaskId, RequestId>> foreign_tasks;
  /// Workers that the ledger counts.
  std::set<WorkerId> open;
  std::set<WorkerId> ejected;
  /// Workers of which only a share may be used, with when they were seen idle.
  std::map<WorkerId, Instant> capped;
  /// Open workers that take nothing new until they answer again.
  std::set<WorkerId> suspended;
  /// Workers whose release is not answered yet.
  std::set<WorkerId> releasing;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_WORKER_FLOW_H_
