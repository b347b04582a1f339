#ifndef MUSTARDPROXY_JOBS_JOB_NODE_H_
#define MUSTARDPROXY_JOBS_JOB_NODE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/job_service.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/overload_control.h"
#include "mustardproxy/jobs/placement_adviser.h"
#include "mustardproxy/jobs/platform_schema.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy::jobs {

/// The job scheduling part of one process: accepts jobs, answers queries about
/// them, asks the policy service on behalf of other processes, and, as the
/// owner of the placement group, schedules all jobs. Everything runs on the
/// executor's thread; nothing here does I/O.
class JobNode final : public JobService, public JobPeerHandler {
 public:
  class Builder;
  ~JobNode() override;

  /// Peers must reach this process at its address from now on, and no other.
  void Start();
  /// Gives up ownership and membership. Calls of callers are still answered.
  void Leave();
  /// @return true if callers may be sent to this process
  [[nodiscard]] bool Ready() const;
  /// @return true while this process schedules for the placement group
  [[nodiscard]] bool Owns() const;

  [[nodiscard]] std::shared_ptr<const DesiredState> Desired() const override;
  [[nodiscard]] Result<Admission> AdmitCall(
      const QueueChooser& choose, const Credentials& credentials) override;
  void Submit(const Admission& admission, JobId id, JobSpec spec,
              Duration timeout,
              std::function<void(SubmitResult)> done) override;
  void Cancel(const Admission& admission, const JobId& id, Duration timeout,
              std::function<void(SubmitResult)> done) override;
  void State(const Admission& admission, const JobId& id, Duration timeout,
             std::function<void(Result<JobStatus>)> done) override;
  void Pending(const QueueName& queue, Duration timeout,
               std::function<void(Result<std::int64_t>)> done) override;

  void OnJob(AnnouncedJob job) override;
  void OnCancel(const JobId& job) override;
  void OnTombstone(const StoreItem& tombstone) override;
  void OnQueryJob(const JobId& job,
                  JobPeerHandler::Done<JobAnswer> done) override;
  void OnQueryPending(const QueueName& queue,
                      JobPeerHandler::Done<std::int64_t> done) override;
  void OnCreate(CreateRequest request,
                JobPeerHandler::Done<CreateOutcome> done) override;
  void OnAsk(AdviceQuestion question,
             JobPeerHandler::Done<Advice> done) override;
  void OnRelay(RelayBatch batch, JobPeerHandler::Done<RelayAck> done) override;
  void OnResults(RelayedResults results) override;
  void OnQueryProcess(JobPeerHandler::Done<ProcessState> done) override;

 private:
  struct Internals;
  explicit JobNode(std::unique_ptr<Internals> state);
  std::unique_ptr<Internals> state;
};

/// Least time within which operators may want a change of the desired state in
/// force.
inline constexpr Duration kMinConfigurationBound =
    std::chrono::milliseconds(2000);

/// Builds a `JobNode`. Everything but the metrics is required. The objects
/// passed by pointer must outlive the node.
class JobNode::Builder {
 public:
  Builder& Self(ProcessId process, DataCenterId data_center,
                Incarnation incarnation);
  /// `ip:port` under which peers reach this process.
  Builder& PeerAddress(std::string address);
  /// Resources available to this process; larger hosts are preferred as owners.
  Builder& Strength(std::int64_t cpu_milli, std::int64_t memory_mb);
  /// Writes per second that the store accepts from all processes together. The
  /// default suits a store that takes several hundred.
  Builder& StoreWrites(std::int64_t per_second);
  /// Number of workers that may be lost while running one task before the task
  /// is given up.
  Builder& MaxLostWorkers(std::int32_t count);
  /// Everything off by default.
  Builder& Overload(OverloadControl control);
  /// Time within which a change of the desired state must be in force; 2 s by
  /// default and at least. In a large cell the store is asked less often if the
  /// bound is longer.
  Builder& ConfigurationBound(Duration bound);
  /// Maximum number of processes that send orders to workers on the owner's
  /// word, in a cell that is larger than one host carries. The default, 0, has
  /// the owner send all orders itself.
  Builder& OrderRelays(std::int32_t count);
  Builder& On(Executor* executor);
  Builder& Store(KeyValueStore* store);
  Builder& Workers(WorkerDriver* driver);
  Builder& Adviser(PlacementAdviser* adviser);
  Builder& Peers(JobPeers* peers);
  Builder& Schema(const PlatformSchema* schema);
  Builder& Log(EventLog* log);
  Builder& Measure(Metrics* metrics);
  [[nodiscard]] std::unique_ptr<JobNode> Build();

 private:
  friend class JobNode;
  ProcessId process;
  DataCenterId data_center;
  Incarnation incarnation = 0;
  std::string peer_address;
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t store_writes_per_second = 400;
  std::int32_t max_lost_workers = 3;
  OverloadControl overload;
  Duration configuration_bound = kMinConfigurationBound;
  std::int32_t order_relays = 0;
  Executor* executor = nullptr;
  KeyValueStore* store = nullptr;
  WorkerDriver* driver = nullptr;
  PlacementAdviser* adviser = nullptr;
  JobPeers* peers = nullptr;
  const PlatformSchema* schema = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_NODE_H_
