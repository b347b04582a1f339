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

/// Stores what callers hand in, whichever process they reach: a job is accepted
/// once its key is created, and the same id is one job however often and
/// wherever it comes, also after it has ended. Callers that come together share
/// a transaction.
///
/// Creating a key twice does no harm. So where the store refuses this process
/// or is silent towards it, another process is asked to create the key, which
/// also settles a write of ours whose answer is lost.
class Intake {
 public:
  using Done = std::function<void(SubmitResult)>;

  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    JobPeers* peers = nullptr;
    EventLog* log = nullptr;
    /// @return true unless the store turns this process away or has been silent
    ///   for long
    std::function<bool()> store_answers;
    /// @return when the last other call was sent that the store has answered
    std::function<Instant()> store_alive_at;
    /// @return processes that may create a key instead, the best first
    std::function<std::vector<std::string>()> helpers;
    /// A write that creates the key was sent to a store that answers slowly.
    std::function<void(const CreateRequest&)> on_sent;
    /// A key is known to exist, created by that revision.
    std::function<void(const CreateRequest&, Revision)> on_exists;
  };

  explicit Intake(Parts parts);

  /// Creates a key unless it exists.
  void Create(CreateRequest request, Done done);
  /// The same on behalf of a peer: nobody else is asked.
  void CreateForPeer(CreateRequest request, Done done);

 private:
  struct Entry {
    CreateRequest request;
    Instant deadline;
    Done done;
    /// Processes that may still be asked.
    std::vector<std::string> helpers;
    /// A write of it was sent and not answered, here or by another process.
    bool uncertain = false;
    /// Calls about it that are on their way, here and at other processes.
    std::int32_t in_flight = 0;
    std::int32_t tries = 0;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  /// @param helpers processes that may be asked to create the key instead
  EntryPtr Begin(CreateRequest request, std::vector<std::string> helpers,
                 Done done);
  /// Has the key written here, or elsewhere while the store is away.
  void TryCreate(const EntryPtr& entry);
  /// @return whether a write is worth sending now
  WriteGate::Answer CheckGate();
  void Flush();
  void ScheduleFlush();
  /// Nothing has come of waiting for the store.
  void RejectWaiting();
  Transaction TakeBatch(std::vector<EntryPtr>* batch);
  void OnTransactionEnd(const std::vector<EntryPtr>& batch, Instant sent,
                        const CommitResult& result);
  void OnCommitted(const std::vector<EntryPtr>& batch,
                   const CommitResult& result);
  void OnConflict(const std::vector<EntryPtr>& batch,
                  const CommitResult& result);
  /// Asks the next helper, or gives up, or tries again later.
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
  void GiveUp(const EntryPtr& entry, std::error_code reason);
  void Complete(const EntryPtr& entry, const SubmitResult& result);

  Parts parts;
  std::deque<EntryPtr> waiting;
  std::size_t in_flight = 0;
  WriteGate gate;
  /// A look at the gate is due soon, as entries wait behind it.
  bool flush_due = false;
  bool holding = false;
  /// Until when helpers are left out that did not answer.
  std::map<std::string, Instant> unavailable_helpers;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_INTAKE_H_
