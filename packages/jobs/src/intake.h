#ifndef MUSTARDPROXY_JOBS_INTAKE_H_
#define MUSTARDPROXY_JOBS_INTAKE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/job_service.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/telemetry/event_log.h"
#include "write_gate.h"

namespace mustardproxy::jobs {

/// Stores the jobs and cancellations that callers submit to any process. A job
/// is accepted once its key is created. The same id is one job, no matter how
/// often and to which processes it is submitted, also after it has ended.
/// Concurrent submissions share a transaction.
///
/// Creating a key twice is harmless. So if the store refuses this process or
/// does not answer it, another process is asked to create the key, which also
/// settles a write of this process whose answer is lost.
class Intake {
 public:
  using Done = std::function<void(SubmitResult)>;

  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    JobPeers* peers = nullptr;
    EventLog* log = nullptr;
    /// @return true unless the store refuses this process or has been silent
    ///   for too long
    std::function<bool()> store_answers;
    /// @return when the last other call that the store has answered was sent
    std::function<Instant()> store_alive_at;
    /// @return processes that may create a key instead, in order of preference
    std::function<std::vector<std::string>()> helpers;
    /// A write that creates the key was sent to a store that answers slowly.
    std::function<void(const CreateRequest&)> on_sent;
    /// The key is known to exist, created at that revision.
    std::function<void(const CreateRequest&, Revision)> on_exists;
  };

  explicit Intake(Parts parts);

  /// Creates a key unless it exists.
  void Create(CreateRequest request, Done done);
  /// Creates a key on behalf of a peer, without asking other processes.
  void CreateForPeer(CreateRequest request, Done done);

 private:
  struct Entry {
    CreateRequest request;
    Instant deadline;
    Done done;
    /// Processes that may still be asked.
    std::vector<std::string> helpers;
    /// A write of the key was sent, here or by another process, and is
    /// unanswered.
    bool uncertain = false;
    /// Calls in flight for this entry, here and at other processes.
    std::int32_t in_flight = 0;
    std::int32_t tries = 0;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  /// @param helpers processes that may be asked to create the key instead
  EntryPtr Begin(CreateRequest request, std::vector<std::string> helpers,
                 Done done);
  /// Writes the key, or asks another process while the store is unavailable.
  void TryCreate(const EntryPtr& entry);
  /// @return whether a write is worth sending now
  WriteGate::Answer CheckGate();
  void Flush();
  void ScheduleFlush();
  /// Stops waiting for the store and continues each entry elsewhere.
  void RejectWaiting();
  Transaction TakeBatch(std::vector<EntryPtr>* batch);
  void OnTransactionEnd(const std::vector<EntryPtr>& batch, Instant sent,
                        const CommitResult& result);
  void OnCommitted(const std::vector<EntryPtr>& batch,
                   const CommitResult& result);
  void OnConflict(const std::vector<EntryPtr>& batch,
                  const CommitResult& result);
  /// Asks the next helper, gives up, or retries later.
  void Continue(const EntryPtr& entry);
  bool AskHelper(const EntryPtr& entry);
  std::optional<std::string> NextHelper(const EntryPtr& entry);
  void SuspendHelper(const std::string& helper);
  void CreateAt(const std::string& helper, const EntryPtr& entry);
  void OnHelperAnswer(const EntryPtr& entry, const Result<CreateOutcome>& end);
  void ScheduleHedge(const EntryPtr& entry);
  /// @param revision of the key, if it is known
  void Accept(const EntryPtr& entry, std::string_view how,
              std::optional<Revision> revision);
  /// Refuses an entry whose key exists and is that of another team's job.
  void Deny(const EntryPtr& entry);
  void GiveUp(const EntryPtr& entry, std::error_code reason);
  void Complete(const EntryPtr& entry, const SubmitResult& result);

  Parts parts;
  std::deque<EntryPtr> waiting;
  std::size_t in_flight = 0;
  WriteGate gate;
  /// A check of the gate is scheduled because entries wait for it.
  bool flush_due = false;
  bool holding = false;
  /// Helpers that did not answer, and until when they are not asked.
  std::map<std::string, Instant> unavailable_helpers;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_INTAKE_H_
