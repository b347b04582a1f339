#ifndef MUSTARDPROXY_JOBS_OWNER_CONTEXT_H_
#define MUSTARDPROXY_JOBS_OWNER_CONTEXT_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "control_load.h"
#include "job_table.h"
#include "mustardproxy/core/worker_health.h"
#include "mustardproxy/jobs/desired_state.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/load_report.h"
#include "mustardproxy/jobs/overload_control.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"
#include "run_times.h"
#include "worker_table.h"

namespace mustardproxy::jobs {

class PermissionBroker;
class Dispatcher;
class EndedJobs;
class Evacuations;
class GangReservations;
class HoldLoop;
class IncarnationTracker;
class LeaseWithholding;
class LoadForecast;
class ProgressWriter;
class RunControl;

/// State shared by the parts of one ownership and destroyed with it.
struct OwnerContext {
  Executor* executor = nullptr;
  KeyValueStore* store = nullptr;
  WorkerDriver* driver = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  ControlLoad* load = nullptr;
  /// Revision of the owner's key, compared by workers and the store.
  FencingToken token = 0;
  /// Number of workers that may be lost while running one task before the task
  /// is given up.
  std::int32_t max_lost_workers = 3;
  OverloadControl overload;
  std::shared_ptr<const DesiredState> desired;
  /// The queues of `desired` by name; there may be thousands.
  std::unordered_map<QueueName, const Queue*> queues;
  /// The teams of `desired` by name.
  std::unordered_map<TeamId, const Team*> teams;

  JobTable jobs;
  WorkerTable workers;
  WorkerHealth health{WorkerHealthOptions{}};
  OutageDetector outages;
  /// Data centres of a large cell most of whose workers that were asked do not
  /// answer. Idle workers there take no tasks.
  std::set<DataCenterId> unreachable;
  RunTimes run_times;

  ProgressWriter* writer = nullptr;
  EndedJobs* ended = nullptr;
  Evacuations* evacuations = nullptr;
  PermissionBroker* advice = nullptr;
  RunControl* runs = nullptr;
  IncarnationTracker* incarnations = nullptr;
  GangReservations* reservations = nullptr;
  HoldLoop* holds = nullptr;
  LeaseWithholding* withholding = nullptr;
  Dispatcher* dispatcher = nullptr;
  /// Null unless jobs are admitted by load.
  LoadForecast* forecast = nullptr;

  /// @return false once the store has been silent for longer than an owner may
  ///   continue to act
  std::function<bool()> authorized;
  /// Checked before a start is sent for the first time.
  /// @return false, and triggers a refresh, if the view of the workers is too
  ///   old
  std::function<bool()> worker_view_fresh;
  /// Hands a load report to the processes that accept jobs.
  std::function<void(LoadReportPtr)> publish_load;
  /// Ends this ownership asynchronously.
  std::function<void(std::string_view reason)> step_down;

  /// Checked before each order to a worker.
  /// @return false, and ends this ownership, if it may not act any more
  [[nodiscard]] bool MayAct() const {
    if (this->authorized()) return true;
    this->step_down("the store has not answered for too long");
    return false;
  }
  void SetDesired(std::shared_ptr<const DesiredState> changed) {
    this->desired = std::move(changed);
    this->queues.clear();
    this->teams.clear();
    if (!this->desired) return;
    for (const Team& team : this->desired->teams) {
      this->teams.emplace(team.id, &team);
    }
    for (const Queue& queue : this->desired->queues) {
      this->queues.emplace(queue.name, &queue);
    }
  }
  /// @return true if the desired state contains the service
  [[nodiscard]] bool HasService(const ServiceId& service) const {
    if (!this->desired) return false;
    const auto& services = this->desired->services;
    return std::any_of(services.begin(), services.end(),
                       [&](const Service& one) { return one.id == service; });
  }
  /// @return the current cap of the job's team, or that at the acceptance of
  ///   the job if the team no longer exists
  [[nodiscard]] const Resources& CapOf(const JobEntry& entry) const {
    const auto found = this->teams.find(entry.job.access.team);
    return found == this->teams.end() ? entry.job.team_cap : found->second->cap;
  }
  /// @return the current settings of the job's queue, or those at its
  ///   acceptance if the queue no longer exists
  [[nodiscard]] const Queue& QueueOf(const JobEntry& entry) const {
    const auto found = this->queues.find(entry.job.queue.name);
    return found == this->queues.end() ? entry.job.queue : *found->second;
  }
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_OWNER_CONTEXT_H_
