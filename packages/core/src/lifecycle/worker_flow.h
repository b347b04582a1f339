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

/// Keeps the ledger, the scheduler and the worker health consistent with the
/// leases that this process holds.
class WorkerFlow {
 public:
  explicit WorkerFlow(Parts* parts) : parts(parts) {}

  /// Adds the workers named in the settings.
  void Boot();
  void On(const HostListArrived& event);
  void On(const WorkerAttached& event);
  void On(const WorkerRefused& event);
  void On(const WorkerRenewed& event);
  void On(const WorkerUnreachable& event);
  void On(const WorkerReleased& event);
  /// Attaches, renews and releases workers that are due, and applies changes in
  /// their health.
  void Tick();
  /// Releases all leases.
  void ReleaseAll();
  /// @return true if every release was answered
  [[nodiscard]] bool AllReleased() const { return this->releasing.empty(); }

  /// Sends a renewal immediately.
  void RenewNow(const WorkerId& worker, const OwnedWorker& owned);
  /// @return `ip:port`, empty if the worker is unknown
  [[nodiscard]] std::string AddressOf(const WorkerId& worker) const;

  /// @return true if an owned worker runs a task of the request that another
  ///   process started
  [[nodiscard]] bool RunsOrphanOf(const RequestId& request) const;
  /// Stops tasks of the request at owned workers that other processes started.
  void StopOrphansOf(const RequestId& request);
  /// Excludes a worker from placement if its lease may have been lost.
  void Suspend(const WorkerId& worker);
  /// Closes workers whose lease expired without a confirmed release.
  void CloseLost();
  /// Lifts the load limit of idle workers, so that their health can be tested.
  void ProbeIdle();
  [[nodiscard]] std::size_t KnownCount() const {
    return this->directory.size();
  }

 private:
  void Open(const OwnedWorker& owned, const WorkerReport& report);
  void Close(const WorkerId& worker);
  void TrackForeignTasks(const WorkerReport& report);
  void FreeEndedForeignTasks(const WorkerReport& report);
  /// @return workers that were leaving according to the previous host list and
  ///   no longer are
  [[nodiscard]] std::vector<WorkerId> NoLongerLeaving(
      const std::vector<WorkerDescription>& workers) const;
  void UpdateDirectory(const std::vector<WorkerDescription>& workers);
  void ApplyStanding(const WorkerId& worker);
  void TrackLeaseActions(std::size_t first_action);

  Parts* parts;
  /// Workers of all data centres, since journals may refer to any of them.
  std::map<WorkerId, WorkerDescription> directory;
  /// Tasks at owned workers that this process did not start, with their
  /// requests.
  std::map<WorkerId, std::map<TaskId, RequestId>> foreign_tasks;
  /// Workers that are open in the ledger.
  std::set<WorkerId> open;
  std::set<WorkerId> ejected;
  /// Workers limited to a share of their capacity, with the time since which
  /// they are idle.
  std::map<WorkerId, Instant> capped;
  /// Open workers excluded from placement until they are reachable again.
  std::set<WorkerId> suspended;
  /// Workers whose release is not confirmed yet.
  std::set<WorkerId> releasing;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_WORKER_FLOW_H_
