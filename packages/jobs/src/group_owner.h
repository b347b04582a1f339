#ifndef MUSTARDPROXY_JOBS_GROUP_OWNER_H_
#define MUSTARDPROXY_JOBS_GROUP_OWNER_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "callback_guard.h"
#include "cancel_tombstones.h"
#include "dispatcher.h"
#include "ended_jobs.h"
#include "evacuations.h"
#include "gang_reservations.h"
#include "hold_loop.h"
#include "incarnation_tracker.h"
#include "inherited_leases.h"
#include "lease_withholding.h"
#include "load_forecast.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/overload_control.h"
#include "mustardproxy/jobs/platform_schema.h"
#include "owner_choice.h"
#include "owner_context.h"
#include "permission_broker.h"
#include "prefix_mirror.h"
#include "progress_writer.h"
#include "run_control.h"
#include "stored_progress.h"
#include "submission_rates.h"

namespace mustardproxy::jobs {

/// One ownership of a placement group, from the acquisition of its token until
/// a newer owner is detected. Reads the stored state, fences the workers, and
/// then schedules all jobs.
class GroupOwner {
 public:
  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    WorkerDriver* driver = nullptr;
    PlacementAdviser* adviser = nullptr;
    JobPeers* peers = nullptr;
    const PlatformSchema* schema = nullptr;
    EventLog* log = nullptr;
    Metrics* metrics = nullptr;
    ControlLoad* load = nullptr;
    /// See ProgressWriter.
    std::int64_t store_writes_per_second = 0;
    /// See OwnerContext.
    std::int32_t max_lost_workers = 3;
    OverloadControl overload;
    /// See OwnerContext.
    std::function<bool()> authorized;
    std::function<void(std::string_view)> step_down;
    std::function<void(LoadReportPtr)> publish_load;
    /// See LeaseWithholding.
    std::function<bool()> store_answers;
    std::function<Instant(const WithheldLease&, Instant read_at)>
        withheld_lease_seen_at;
    /// See InheritedLeases.
    std::function<FormerOwners()> former_owners;
    std::function<std::vector<std::string>()> witnesses;
    std::function<void(const std::vector<SeenWithheldLease>&)> note_seen;
    std::function<void()> forget_former_owners;
  };

  GroupOwner(const Parts& parts, FencingToken token,
             std::shared_ptr<const DesiredState> desired);

  void Start();
  void SetDesired(std::shared_ptr<const DesiredState> desired);
  void SetClients(const std::vector<AdviceClient>& clients);
  /// @return true once all stored state has been read
  [[nodiscard]] bool Loaded() const { return this->loaded; }
  /// @return how far the takeover has come
  [[nodiscard]] OwnerProgress Progress() const;
  /// @return true if the view of accepted jobs is recent. A former owner that
  ///   is cut off from the store does not learn of new jobs and must not count
  ///   them.
  [[nodiscard]] bool HasFreshJobView() const;

  /// Called when a process has stored this job or is storing it.
  void OnJobAnnounced(const AnnouncedJob& job);
  void OnCancel(const JobId& id);
  /// Called for the cancellation of a job that was not in the store then.
  void OnTombstone(const StoreItem& tombstone);
  /// @return the status reported to callers; nothing for an unknown job
  [[nodiscard]] std::optional<JobStatus> StatusOf(const JobId& id) const;
  [[nodiscard]] std::int64_t PendingIn(const QueueName& queue) const;

 private:
  /// Called for a job that is in the store.
  void OnJob(const JobId& id, std::string_view record);
  /// Called for a job that is being stored.
  void OnProposed(const JobId& id, std::string_view record);
  /// @return null if the record can't be decoded
  JobEntry* AddJob(const JobId& id, std::string_view record);
  /// Counts a new job.
  bool ExceedsShare(const JobEntry& entry);
  void ConfirmStored(JobEntry* entry);
  /// Releases the capacity of a job that was not stored in time.
  void ParkIfNotStored(const JobId& id);
  void OnIntake(const StoreEvent& event);
  void OnWorker(const StoreEvent& event);
  /// @return the session of the worker, or null if its incarnation has ended
  WorkerSession* AddWorker(const WorkerInfo& info);
  /// See OwnerContext.
  bool HasFreshWorkerView();
  /// Applies an evacuation, or the end of one.
  void OnEvacuation(const DataCenterId& data_center);
  /// Stops starts on a worker that no entry names any more.
  void MarkUnlisted(WorkerSession* session, Revision revision);
  /// Applies the progress of a job that former owners have stored, if any.
  void ClaimProgress(JobEntry* entry);
  /// Removes jobs that were proposed and never stored.
  void RemoveExpiredProposals();
  /// Takes over once jobs, progress and workers have all been read.
  void FinishLoading();
  /// Reads the progress of some jobs, and continues in another task.
  void TakeOver();
  /// Starts scheduling.
  void FinishTakeover();
  /// Cancels the jobs whose cancellations were read before them.
  void ApplyEarlyCancellations();
  void InheritRuns(JobEntry* entry);
  void Tick();
  void OpenDueOccurrences();
  void PublishMetrics();

  const PlatformSchema* schema;
  OwnerContext context;
  SubmissionRates rates;
  /// When the fencing token was acquired.
  Instant elected_at;
  /// Jobs that were proposed and not stored in time, oldest first.
  std::deque<std::pair<Instant, JobId>> parked;
  /// Result of the last check of the view of the workers, for the log.
  bool worker_view_fresh = true;
  Instant next_metrics;
  bool loaded = false;
  bool taking_over = false;
  /// Number of active jobs whose progress has been read.
  std::size_t taken_over = 0;
  /// Cancellations that were read before their jobs.
  std::set<JobId> early_cancellations;
  std::unique_ptr<ProgressWriter> writer;
  std::unique_ptr<EndedJobs> ended;
  std::unique_ptr<CancelTombstones> tombstones;
  std::unique_ptr<StoredProgress> stored;
  std::unique_ptr<PermissionBroker> advice;
  std::unique_ptr<RunControl> runs;
  std::unique_ptr<IncarnationTracker> incarnations;
  std::unique_ptr<LeaseWithholding> withholding;
  std::unique_ptr<InheritedLeases> inherited;
  std::unique_ptr<GangReservations> reservations;
  std::unique_ptr<HoldLoop> holds;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<LoadForecast> forecast;
  std::unique_ptr<PrefixMirror> intake;
  std::unique_ptr<PrefixMirror> workers;
  std::unique_ptr<Evacuations> evacuations;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_GROUP_OWNER_H_
