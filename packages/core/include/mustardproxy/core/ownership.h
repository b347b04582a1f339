#ifndef MUSTARDPROXY_CORE_OWNERSHIP_H_
#define MUSTARDPROXY_CORE_OWNERSHIP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/membership.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/core/worker.h"

namespace mustardproxy {

/// Timing of the leases that workers grant to their owner.
struct OwnershipOptions {
  /// Requested length of a lease.
  Duration lease = std::chrono::seconds(3);
  /// Length of each task's own lease, which renewals extend. A worker that may
  /// be running a task is renewed at least three times within it.
  Duration task_lease = std::chrono::seconds(10);
  /// Time without traffic after which the lease is renewed by a heartbeat.
  Duration renew_interval = std::chrono::milliseconds(700);
  /// First delay after a refusal; doubles, with jitter, up to the lease length.
  Duration retry_interval = std::chrono::milliseconds(200);
  /// Epochs of this process have the remainder `epoch_remainder` when divided
  /// by `epoch_stride`. A worker that restarts forgets its highest epoch.
  /// Without distinct remainders, two processes could then hold the same epoch
  /// on that worker, and it would accept starts from both.
  Epoch epoch_stride = 1;
  Epoch epoch_remainder = 0;
  /// False for workers that do not compare epochs. The holder then stops by its
  /// own clock when the lease expires. docs/DESIGN.md describes which
  /// guarantees are lost.
  bool worker_checks_epoch = true;
  /// Time for which another member must have been preferred before this process
  /// releases a worker to that member.
  Duration hand_over_delay = std::chrono::seconds(2);
  /// Maximum delay between two calls to a worker that does not answer.
  Duration max_unreachable_interval = std::chrono::seconds(10);
  /// Bytes per second that renewals of idle workers may use; with many workers
  /// the interval is lengthened instead. See src/pacing.h.
  std::int32_t renewal_bytes_per_second = 600;
};

/// A worker whose lease this process holds.
struct OwnedWorker {
  WorkerDescription description;
  Epoch epoch = 0;
  Incarnation incarnation = 0;
};

/// Manages the leases of the workers in this data centre: decides which workers
/// to attach to, renew and release. The worker's answer is authoritative;
/// preferred owners only reduce conflicts.
class Ownership {
 public:
  Ownership(OwnershipOptions options, std::uint64_t seed);
  ~Ownership();
  Ownership(Ownership&&) noexcept;
  Ownership& operator=(Ownership&&) noexcept;

  /// Applies a new host list. Unknown workers of this data centre are added;
  /// workers missing from the list are kept, because the list lags and does not
  /// prove that a worker is gone.
  /// @return workers that have begun to leave
  [[nodiscard]] std::vector<WorkerId> OnHostList(
      std::span<const WorkerDescription> workers,
      const DataCenterId& data_center);
  /// Sends the attach, renewal and release calls that are due.
  void Tick(Instant now, const Membership& membership, Actions* actions);
  /// Releases all workers; no worker is attached afterwards.
  void ReleaseAll(Instant now, Actions* actions);

  /// @return true if the worker is newly owned or its incarnation changed; the
  ///   caller then rebuilds the ledger from the report
  [[nodiscard]] bool OnAttached(Instant now, const WorkerReport& report);
  void OnRenewed(Instant now, const WorkerReport& report);
  /// @return true if the worker was owned and is now lost
  [[nodiscard]] bool OnRefused(Instant now, const WorkerRefused& refused);
  /// @return true if the lease must have expired by now, so that no more tasks
  ///   may be placed
  [[nodiscard]] bool OnUnreachable(Instant now, const WorkerId& worker);
  void OnReleased(Instant now, const WorkerId& worker);
  /// A start is being sent to the worker. Reports are then requested at short
  /// intervals; they extend the task's lease and deliver its end. If the caller
  /// never calls this function, all workers are renewed at short intervals.
  void OnStartSent(Instant now, const WorkerId& worker);
  /// The worker refused a start because of its epoch. A renewal becomes due
  /// immediately; its answer shows who owns the worker now.
  void OnStartRefused(Instant now, const WorkerId& worker);
  /// The worker answered a start, which also renewed the lease.
  void OnStartAnswered(Instant now, const WorkerId& worker);

  /// @return the lease, if this process may send a start now; empty for a
  ///   worker that is leaving, that failed to answer twice in a row or, with
  ///   `worker_checks_epoch` off, whose lease could have expired
  [[nodiscard]] std::optional<OwnedWorker> OwnedForStart(
      Instant now, const WorkerId& worker) const;
  /// @return the lease held, even if no start may be sent; used for stops
  [[nodiscard]] std::optional<OwnedWorker> HeldLease(
      const WorkerId& worker) const;
  [[nodiscard]] std::optional<WorkerDescription> Describe(
      const WorkerId& worker) const;
  [[nodiscard]] std::size_t OwnedCount() const;
  /// @return the sequence number up to which the worker's ended tasks have been
  ///   received
  [[nodiscard]] std::uint64_t EndedSequence(const WorkerId& worker) const;
  [[nodiscard]] Instant NextWakeup() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_OWNERSHIP_H_
