#ifndef MUSTARDPROXY_JOBS_JOB_PEERS_H_
#define MUSTARDPROXY_JOBS_JOB_PEERS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/load_report.h"
#include "mustardproxy/jobs/placement_adviser.h"
#include "mustardproxy/jobs/relayed_orders.h"

namespace mustardproxy::jobs {

/// A job with its record as stored, or as about to be stored.
struct AnnouncedJob {
  JobId id;
  std::string record;
  /// Revision of the write that stored it; 0 while that write is in flight and
  /// may still fail.
  Revision revision = 0;
};

/// What the owner of the placement group knows about a job.
struct JobAnswer {
  /// Empty if the job is not known, or not known yet.
  std::optional<JobStatus> status;
};

/// A request to create a key on behalf of a process that can't reach the store.
struct CreateRequest {
  /// `job`, `cancel` or `tombstone`, for the log.
  std::string kind;
  JobId job;
  std::string key;
  std::string value;
  Duration timeout{0};
};

/// Result of a `CreateRequest`.
enum class CreateOutcome {
  /// The key exists now.
  kExists,
  /// It was not created and will not be.
  kNotDone,
  kUncertain,
};

/// A withheld lease of a worker that a process has seen in the store, by the
/// owner that stored it and the number that this owner gave it.
struct SeenWithheldLease {
  WorkerId worker;
  FencingToken token = 0;
  std::int64_t number = 0;
  /// Time since the process saw it first.
  Duration age{0};
};

/// Which process answers at an address, and what it has seen.
struct ProcessState {
  ProcessId process;
  Incarnation incarnation = 0;
  /// Highest token of the ownerships that it has given up; 0 for none. It acts
  /// under none of them, nor under a lower one, any more.
  FencingToken given_up = 0;
  /// Time since it took the address, on its own clock.
  Duration age{0};
  std::vector<SeenWithheldLease> withheld_leases;
};

/// Calls to the other processes of the cell. Each call with a `done` ends with
/// exactly one call of it on the control thread. Errors are `kPeerLost`, and
/// `kStarting` from a process that does not schedule (yet).
class JobPeers {
 public:
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  JobPeers() = default;
  JobPeers(const JobPeers&) = delete;
  JobPeers& operator=(const JobPeers&) = delete;
  virtual ~JobPeers() = default;

  /// Informs the owner about a job. The announcement may be lost: the owner
  /// also finds the job in the store.
  /// @param on_load called on the control thread if the reply carries a report
  virtual void AnnounceJob(const std::string& address, const AnnouncedJob& job,
                           std::function<void(const LoadReport&)> on_load) = 0;
  /// Sets the report that replies of this process to announcements carry; null
  /// for none.
  virtual void PublishLoad(LoadReportPtr report) = 0;
  /// Informs the owner about a cancellation; may be lost in the same way.
  virtual void AnnounceCancel(const std::string& address, const JobId& job) = 0;
  /// Informs the owner about the stored cancellation of a job that was not in
  /// the store; may be lost in the same way.
  virtual void AnnounceTombstone(const std::string& address,
                                 const StoreItem& tombstone) = 0;
  virtual void QueryJob(const std::string& address, const JobId& job,
                        Done<JobAnswer> done) = 0;
  /// Number of accepted jobs in the queue of which no task has started.
  virtual void QueryPending(const std::string& address, const QueueName& queue,
                            Done<std::int64_t> done) = 0;
  /// Lets the peer create a key.
  virtual void Create(const std::string& address, const CreateRequest& request,
                      Done<CreateOutcome> done) = 0;
  /// Lets the peer ask the policy service, which serves one question at a time
  /// per host.
  virtual void Ask(const std::string& address, const AdviceQuestion& question,
                   Done<Advice> done) = 0;
  /// Lets the peer send orders to workers. Without an error the batch has
  /// arrived; the results follow by `ReturnResults`.
  virtual void Relay(const std::string& address, const RelayBatch& batch,
                     Done<RelayAck> done) = 0;
  /// Returns results to the owner that sent the orders; may be lost.
  virtual void ReturnResults(const std::string& address,
                             const RelayedResults& results) = 0;
  /// Asks which process answers at this address.
  virtual void QueryProcess(const std::string& address,
                            Done<ProcessState> done) = 0;
};

/// Handles the calls of peers to this process. Called on the control thread;
/// `done` must be called exactly once, immediately or later.
class JobPeerHandler {
 public:
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  JobPeerHandler() = default;
  JobPeerHandler(const JobPeerHandler&) = delete;
  JobPeerHandler& operator=(const JobPeerHandler&) = delete;
  virtual ~JobPeerHandler() = default;

  virtual void OnJob(AnnouncedJob job) = 0;
  virtual void OnCancel(const JobId& job) = 0;
  virtual void OnTombstone(const StoreItem& tombstone) = 0;
  virtual void OnQueryJob(const JobId& job, Done<JobAnswer> done) = 0;
  virtual void OnQueryPending(const QueueName& queue,
                              Done<std::int64_t> done) = 0;
  virtual void OnCreate(CreateRequest request, Done<CreateOutcome> done) = 0;
  virtual void OnAsk(AdviceQuestion question, Done<Advice> done) = 0;
  virtual void OnRelay(RelayBatch batch, Done<RelayAck> done) = 0;
  virtual void OnResults(RelayedResults results) = 0;
  virtual void OnQueryProcess(Done<ProcessState> done) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_PEERS_H_
