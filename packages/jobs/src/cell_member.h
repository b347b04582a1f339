#ifndef MUSTARDPROXY_JOBS_CELL_MEMBER_H_
#define MUSTARDPROXY_JOBS_CELL_MEMBER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"
#include "owner_choice.h"
#include "prefix_mirror.h"
#include "recent_owners.h"
#include "record_codec.h"
#include "withheld_lease_view.h"

namespace mustardproxy::jobs {

/// The owner of the placement group.
struct Ownership {
  NodeRecord owner;
  FencingToken token = 0;

  friend bool operator==(const Ownership&, const Ownership&) = default;
};

/// A process of the cell as registered in the store.
struct Registration {
  NodeRecord node;
  /// Lease to which its key is attached.
  StoreLeaseId lease = 0;
  /// Revision of its key; later registrations have higher revisions.
  Revision revision = 0;
};

/// Membership of this process in the cell: keeps its lease at the store, tracks
/// the other processes, and takes part in the election of the placement group's
/// owner.
///
/// In a large cell only the processes preferred as owners track all others. The
/// rest track the owner's key and know a sample of the processes, and run for
/// election later than those.
///
/// The owner is the process that created the owner's key, attached to its
/// lease. The revision of that write is the fencing token: unique and
/// increasing.
class CellMember {
 public:
  struct Handlers {
    /// This process has become the owner of the group.
    std::function<void(FencingToken)> on_elected;
    /// It is no longer the owner, or can't be sure to be.
    std::function<void(std::string_view reason)> on_deposed;
    /// The owner or the set of processes has changed.
    std::function<void()> on_change;
    /// @return how far the takeover of this process has come; called while it
    ///   owns the group
    std::function<OwnerProgress()> progress;
    /// @return what occupied the control thread since the last call, for the
    ///   log
    std::function<std::string()> take_load;
  };

  /// @param metrics may be null
  CellMember(Executor* executor, KeyValueStore* store, EventLog* log,
             Metrics* metrics, NodeRecord self, Handlers handlers);

  void Start();
  /// Gives up the ownership, if held, so that another process or a new
  /// ownership of this process can follow.
  void Resign(std::string_view reason);
  /// Leaves the cell and hands the ownership to another process, if there is
  /// one, so that no process has to wait for the lease to expire.
  void Leave();

  /// @return all registered processes, or a sample of them, see `TracksAll`
  [[nodiscard]] const std::map<ProcessId, Registration>& Nodes() const {
    return this->nodes;
  }
  [[nodiscard]] const std::optional<Ownership>& Owner() const {
    return this->owner;
  }
  [[nodiscard]] bool Owns() const { return this->token != 0; }
  /// @return false if the cell is large and this process tracks the owner alone
  [[nodiscard]] bool TracksAll() const {
    return this->tracking == Tracking::kAll;
  }
  /// @return when the last renewal that the store has confirmed was sent
  [[nodiscard]] Instant RenewedAt() const { return this->renewed_at; }
  /// @return the owners before this one whose leases may still be in force
  [[nodiscard]] FormerOwners FindFormerOwners() const;
  /// Removes them from the store. Called again and again once none matters.
  void ForgetFormerOwners();
  /// See WithheldLeaseView.
  [[nodiscard]] Instant WithheldLeaseSeenAt(const WithheldLease& lease,
                                            Instant read_at) const {
    return this->withheld.SeenAt(lease, read_at);
  }
  [[nodiscard]] std::vector<SeenWithheldLease> SeenWithheldLeases() const {
    return this->withheld.Seen(this->executor->Now());
  }
  /// Records what another process has seen.
  void NoteSeen(const std::vector<SeenWithheldLease>& leases);
  /// @return addresses of other processes that have been registered for longest
  [[nodiscard]] std::vector<std::string> FindWitnesses() const;
  /// @return the highest token of the ownerships that this process has given
  ///   up; 0 if none
  [[nodiscard]] FencingToken GivenUp() const { return this->given_up; }
  /// @return when the last call that the store has answered was sent
  [[nodiscard]] Instant StoreAliveAt() const;
  /// @return true if the store has answered recently enough for a write to be
  ///   worth sending
  [[nodiscard]] bool StoreAnswers() const;

 private:
  enum class Tracking {
    kAll,
    /// The owner alone.
    kOwner,
  };

  void AcquireLease();
  void OnLease(Instant sent_at, const Result<StoreLease>& lease);
  void Register();
  void ScheduleRenewal();
  void LogIfLate(Instant due);
  void Renew();
  void OnRenewed(StoreLeaseId renewed, Instant sent_at,
                 const Result<StoreLease>& lease);
  void LoseLease(std::string_view reason);
  void OnCellEvent(const StoreEvent& event);
  void OnNodeKey(const StoreEvent& event);
  void OnOwnerKey(const StoreEvent& event);
  void OnRecentOwners(const StoreEvent& event);
  void OnWithheldLeases(const StoreEvent& event);
  /// Processes the result of a write of the record of recent owners.
  void NoteRecentOwners(const std::string& written, const CommitResult& result);
  /// Takes part in an election if the listing has shown that there is no owner.
  void OnListed();
  /// Changes what is tracked if the size of the cell calls for it.
  void ConsiderTracking();
  void Track(Tracking wanted);
  /// Reads some of the processes of a cell of which this one tracks the owner
  /// alone.
  void ReadSample(const std::string& after);
  void OnSample(const std::string& after, const Result<StorePage>& page);
  void LogMembership(std::string_view event, const ProcessId& process,
                     std::string_view address);
  void LogMembershipChanges();
  void LogMalformed(const StoreEvent& event);
  /// @return true if the owner's process has restarted, so that the incarnation
  ///   that owns the key has certainly ended
  [[nodiscard]] bool OwnerRestarted() const;
  void ConsiderElection();
  void RunForElection();
  /// Adds the record of recent owners to a write that makes `next` the owner.
  /// @return the record
  std::string AddRecentOwners(const NodeRecord& next,
                              Transaction* transaction) const;
  /// @param used lease of the owner's key
  /// @param recent the written record of recent owners
  void OnElectionResult(StoreLeaseId used, const std::string& recent,
                        const CommitResult& result);
  void VerifyElection();
  void BecomeOwner(Revision revision);
  void Depose(std::string_view reason);
  /// @return the process that should own the group next; null if this process
  ///   is alone
  [[nodiscard]] const Registration* Successor() const;
  /// Writes the successor's name into the owner's key, under its lease.
  /// @param done called with the result of the write
  void NameSuccessor(const Registration& successor, std::string_view reason,
                     std::function<void(const CommitResult&)> done);
  /// Hands the group over and leaves the cell.
  void HandOverAndLeave(const Registration& successor);
  /// Hands the group over if another process should own it, and stays in the
  /// cell.
  void ConsiderHandOver();
  void OnHandedOver(const CommitResult& result);
  void EndMembership();

  Executor* executor;
  KeyValueStore* store;
  EventLog* log;
  Metrics* metrics;
  NodeRecord self;
  OwnerChoice choice;
  Handlers handlers;
  Tracking tracking = Tracking::kAll;
  std::unique_ptr<PrefixMirror> mirror;
  StoreLeaseId lease = 0;
  Instant renewed_at;
  bool renewing = false;
  std::map<ProcessId, Registration> nodes;
  std::optional<Ownership> owner;
  /// Nonzero while this process owns the group.
  FencingToken token = 0;
  /// Highest token that this process has given up.
  FencingToken given_up = 0;
  RecentOwners recent_owners;
  /// The record of recent owners is being written.
  bool forgetting = false;
  WithheldLeaseView withheld;
  bool electing = false;
  /// A hand-over is being written.
  bool handing_over = false;
  /// The last renewal was refused.
  bool refused = false;
  /// The last request for a lease has failed.
  bool grant_failing = false;
  bool leaving = false;
  /// A change of `tracking` has been posted.
  bool changing_tracking = false;
  /// Processes that came and went since the last log line on them.
  std::size_t unlogged_joined = 0;
  std::size_t unlogged_gone = 0;
  bool membership_log_due = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_CELL_MEMBER_H_
