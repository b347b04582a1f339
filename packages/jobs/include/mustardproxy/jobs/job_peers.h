#ifndef MUSTARDPROXY_JOBS_JOB_PEERS_H_
#define MUSTARDPROXY_JOBS_JOB_PEERS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/placement_adviser.h"

namespace mustardproxy::jobs {

/// A job as its record stands in the store, or will stand there.
struct AnnouncedJob {
  JobId id;
  std::string record;
  /// Of the write that stored it; 0 while that write is on its way, and may
  /// still fail.
  Revision revision = 0;
};

/// What the scheduling process knows of a job.
struct JobAnswer {
  /// Nothing: it does not know the job (yet).
  std::optional<JobStatus> status;
};

/// A key that is to be created on behalf of a process that can't reach the
/// store.
struct CreateRequest {
  /// `job` or `cancel`, for the log.
  std::string kind;
  JobId job;
  std::string key;
  std::string value;
  Duration timeout{0};
};

/// How that ended.
enum class CreateOutcome {
  /// The key exists now.
  kExists,
  /// It was not created, and will not be.
  kNotDone,
  kUncertain,
};

/// Calls to the other processes of the cell. Each ends by one call of `done`
/// on the control thread; errors are `kPeerLost`, and `kStarting` from a
/// process that does not schedule, or not yet.
class JobPeers {
 public:
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  JobPeers() = default;
  JobPeers(const JobPeers&) = delete;
  JobPeers& operator=(const JobPeers&) = delete;
  virtual ~JobPeers() = default;

  /// Tells the scheduling process of a job; lost without harm, since that
  /// process also finds it in the store.
  virtual void AnnounceJob(const std::string& address,
                           const AnnouncedJob& job) = 0;
  /// The same for a cancellation.
  virtual void AnnounceCancel(const std::string& address, const JobId& job) = 0;
  virtual void QueryJob(const std::string& address, const JobId& job,
                        Done<JobAnswer> done) = 0;
  /// How many accepted jobs of the queue have started nothing.
  virtual void QueryPending(const std::string& address, const QueueName& queue,
                            Done<std::int64_t> done) = 0;
  /// Has that process create a key.
  virtual void Create(const std::string& address, const CreateRequest& request,
                      Done<CreateOutcome> done) = 0;
  /// Lets that process ask the policy service, which serves each host in turn.
  virtual void Ask(const std::string& address, const AdviceQuestion& question,
                   Done<Advice> done) = 0;
};

/// The other end: what peers ask of this process. Called on the control thread;
/// `done` is to be called once, at once or later.
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
  virtual void OnQueryJob(const JobId& job, Done<JobAnswer> done) = 0;
  virtual void OnQueryPending(const QueueName& queue,
                              Done<std::int64_t> done) = 0;
  virtual void OnCreate(CreateRequest request, Done<CreateOutcome> done) = 0;
  virtual void OnAsk(AdviceQuestion question, Done<Advice> done) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_PEERS_H_
