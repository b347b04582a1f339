#ifndef MUSTARDPROXY_JOBS_CELL_MEMBER_H_
#define MUSTARDPROXY_JOBS_CELL_MEMBER_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "callback_guard.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"
#include "prefix_mirror.h"
#include "record_codec.h"

namespace mustardproxy::jobs {

/// Who owns the placement group.
struct Ownership {
  NodeRecord owner;
  FencingToken token = 0;

  friend bool operator==(const Ownership&, const Ownership&) = default;
};

/// A process of the cell as its key in the store shows it.
struct Registration {
  NodeRecord node;
  /// Its key goes with this lease.
  StoreLeaseId lease = 0;
  /// Of its key: the higher, the later the process has come.
  Revision revision = 0;
};

/// This process among those of the cell: keeps its lease at the store, knows
/// the others, and takes part in choosing the owner of the placement group.
///
/// The owner is whoever created the owner's key, under its lease. The revision
/// of that write is the fencing token: unique and rising.
class CellMember {
 public:
  struct Handlers {
    /// This process owns the group now.
    std::function<void(FencingToken)> on_elected;
    /// It does not any more, or can't be sure.
    std::function<void(std::string_view reason)> on_deposed;
    /// Owner or processes have changed.
    std::function<void()> on_change;
  };

  CellMember(Executor* executor, KeyValueStore* store, EventLog* log,
             NodeRecord self, Handlers handlers);

  void Start();
  /// Gives the ownership up, if it has it, for another process or a fresh start
  /// of its own.
  void Resign(std::string_view reason);
  /// Gives all up, so that another process takes over without waiting for the
  /// lease: hands the ownership to another process, if there is one.
  void Leave();

  [[nodiscard]] const std::map<ProcessId, Registration>& Nodes() const {
    return this->nodes;
  }
  [[nodiscard]] const std::optional<Ownership>& Owner() const {
    return this->owner;
  }
  [[nodiscard]] bool Owns() const { return this->token != 0; }
  /// @return when the last renewal was sent that the store has confirmed
  [[nodiscard]] Instant RenewedAt() const { return this->renewed_at; }
  /// @return when the last call was sent that the store has answered
  [[nodiscard]] Instant StoreAliveAt() const;
  /// @return true if the store has answered so lately that a write to it is
  ///   worth sending
  [[nodiscard]] bool StoreAnswers() const;

 private:
  void Acquire();
  void OnLease(Instant asked, const Result<StoreLease>& lease);
  void Register();
  void RenewLater();
  void Renew();
  void OnRenewed(StoreLeaseId renewed, Instant asked,
                 const Result<StoreLease>& lease);
  void LoseLease(std::string_view reason);
  void OnCell(const StoreEvent& event);
  void OnOwnerKey(const StoreEvent& event);
  void LogMalformed(const StoreEvent& event);
  /// @return true if the owner's process has been started anew, so that its
  ///   former run, which owns the key, is over for certain
  [[nodiscard]] bool OwnerRestarted() const;
  void ConsiderElection();
  Duration ElectionDelay() const;
  void RunForElection();
  void OnElectionResult(const CommitResult& result);
  void VerifyElection();
  void BecomeOwner(Revision revision);
  void Depose(std::string_view reason);
  /// @return who should own the group after this process; null if it is alone
  [[nodiscard]] const Registration* Successor() const;
  void HandOver(const Registration& successor);
  void EndMembership();

  Executor* executor;
  KeyValueStore* store;
  EventLog* log;
  NodeRecord self;
  Handlers handlers;
  PrefixMirror mirror;
  StoreLeaseId lease = 0;
  Instant renewed_at;
  bool renewing = false;
  std::map<ProcessId, Registration> nodes;
  std::optional<Ownership> owner;
  /// Not zero while this process owns the group.
  FencingToken token = 0;
  bool electing = false;
  /// The last renewal was refused.
  bool refused = false;
  /// The store has not granted a lease since this process has none.
  bool grant_failing = false;
  bool leaving = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_CELL_MEMBER_H_
