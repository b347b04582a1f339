#ifndef MUSTARDPROXY_CORE_LIFECYCLE_PARTS_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_PARTS_H_

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

#include "lifecycle/adoption.h"
#include "lifecycle/configuration_flow.h"
#include "lifecycle/core_context.h"
#include "lifecycle/deferred_flow.h"
#include "lifecycle/forwarding.h"
#include "lifecycle/journals.h"
#include "lifecycle/key_claims.h"
#include "lifecycle/orphan_gangs.h"
#include "lifecycle/peer_consent.h"
#include "lifecycle/placing.h"
#include "lifecycle/query_flow.h"
#include "lifecycle/request_answers.h"
#include "lifecycle/request_flow.h"
#include "lifecycle/request_table.h"
#include "lifecycle/shutdown_flow.h"
#include "lifecycle/task_tracker.h"
#include "lifecycle/worker_flow.h"
#include "mustardproxy/core/deferred_store.h"
#include "mustardproxy/core/ledger.h"
#include "mustardproxy/core/membership.h"
#include "mustardproxy/core/ownership.h"
#include "mustardproxy/core/retry_budget.h"
#include "mustardproxy/core/scheduler.h"
#include "mustardproxy/core/worker_health.h"

namespace mustardproxy::detail {

/// Part of the digest whose changes are sent to peers immediately instead of
/// with the next heartbeat.
struct AnnouncedState {
  ConfigurationVersion configuration = 0;
  bool stopping = false;
  bool platform_reachable = true;
  std::uint64_t journals = 0;

  friend bool operator==(const AnnouncedState&,
                         const AnnouncedState&) = default;
};

/// Owns all parts of one core and gives each part access to the others. Task
/// updates are dispatched by `Advance`, so that no part is called back while it
/// is executing.
struct Parts {
  explicit Parts(CoreOptions options);
  Parts(const Parts&) = delete;
  Parts& operator=(const Parts&) = delete;

  CoreContext context;
  Ledger ledger;
  Scheduler scheduler;
  Membership membership;
  Ownership ownership;
  WorkerHealth health;
  RetryBudget retry_budget;
  DeferredStore store;

  RequestTable table;
  TaskTracker tasks;
  WorkerFlow workers;
  Placing placing;
  RequestFlow requests;
  RequestAnswers answers;
  KeyClaims claims;
  Forwarding forwarding;
  Journals journals;
  DeferredFlow deferred;
  Adoption adoption;
  QueryFlow queries;
  OrphanGangs orphan_gangs;
  PeerConsent consent;
  ConfigurationFlow configuration;
  ShutdownFlow shutdown;

  std::vector<ProcessId> local_peers;
  std::vector<ProcessId> remote_peers;

  /// Opens the journal and adds the workers from the settings. Called once,
  /// before the first event.
  void Boot();
  /// Dispatches task updates and runs everything that is due after an event.
  void Advance();
  [[nodiscard]] Instant NextWakeup() const;
  [[nodiscard]] Digest OwnDigest() const;

  void OnDurable(const JournalId& journal, const JournalRecord& record);
  void OnFenced(const JournalId& journal);
  /// Hands a journal and its work over for adoption by any peer.
  void HandOver(const JournalId& journal);

  /// @return true if the process belongs to this data centre
  [[nodiscard]] bool IsLocal(const ProcessId& process) const;
  [[nodiscard]] bool IsPeer(const ProcessId& process) const;
  /// @return a small number that is unique among the processes of the cell
  [[nodiscard]] std::int32_t ProcessNumber() const {
    return this->process_number;
  }
  [[nodiscard]] std::uint64_t NewQuery() { return ++this->last_query; }
  /// @return the longest result retention of all profiles
  [[nodiscard]] Duration LongestRetention() const;
  [[nodiscard]] TeamId TeamOf(const RequestId& request);

  /// Handles an update of a task whose request is no longer in progress.
  void SettleLateAnswer(const TaskUpdate& update);
  /// Asks the peers of this data centre to stop tasks of a request at their
  /// workers.
  void StopAtPeers(const RequestId& request);
  /// Replaces a record too large for the journal by a failure without a body.
  [[nodiscard]] FinishedRecord TruncateToFit(FinishedRecord record) const;

 private:
  void DispatchTaskUpdates();
  void TickMembership();
  void RunMaintenance();
  void HandOverStranded();

  std::int32_t process_number = 0;
  std::uint64_t last_query = 0;
  AnnouncedState announced_state;
  Instant next_maintenance;
  Instant stranded_since = Instant::max();
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_PARTS_H_
