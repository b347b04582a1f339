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

/// Times of the lease that a worker grants its owner.
struct OwnershipOptions {
  /// Lease length asked for.
  Duration lease = std::chrono::seconds(3);
  /// Lease of each task, which renewals keep in force: a worker that may be
  /// running something is renewed at least three times in it.
  Duration task_lease = std::chrono::seconds(10);
  /// Idle time after which the lease is renewed by a heartbeat.
  Duration renew_interval = std::chrono::milliseconds(700);
  /// First pause after a refusal; doubles with jitter up to the lease length.
  Duration retry_interval = std::chrono::milliseconds(200);
  /// Epochs of this process leave `epoch_remainder` when divided by
  /// `epoch_stride`. A worker that restarts forgets its highest epoch; without
  /// remainders of their own, two processes could then hold the same epoch
  /// there, and the worker would accept the starts of both.
  Epoch epoch_stride = 1;
  Epoch epoch_remainder = 0;
  /// Off for workers that do not compare epochs: then the holder stops by its
  /// own clock at the lapse of the lease. See docs/DESIGN.md for what is lost.
  bool worker_checks_epoch = true;
  /// Time for which another member must have been preferred before this
  /// process releases a worker to it.
  Duration hand_over_delay = std::chrono::seconds(2);
  /// Longest pause between two calls to a worker that does not answer.
  Duration max_unreachable_interval = std::chrono::seconds(10);
  /// Bytes a second that renewals of idle workers may take; with many workers
  /// the interval stretches instead. See src/pacing.h.
  std::int32_t renewal_bytes_per_second = 600;
};

/// A worker of which this process holds the lease.
struct OwnedWorker {
  WorkerDescription description;
  Epoch epoch = 0;
  Incarnation incarnation = 0;
};

/// Leases of the workers of this data centre: whom to attach to, renew, and
/// release. The worker's answer decides; the preferred owner only saves
/// conflicts.
class Ownership {
 public:
  Ownership(OwnershipOptions options, std::uint64_t seed);
  ~Ownership();
  Ownership(Ownership&&) noexcept;
  Ownership& operator=(Ownership&&) noexcept;

  /// Takes over the host list; unknown workers of the own data centre are
  /// added, absent ones stay (the list lags and proves no death).
  /// @return workers that began to leave
  [[nodiscard]] std::vector<WorkerId> OnHostList(
      std::span<const WorkerDescription> workers,
      const DataCenterId& data_center);
  /// Attaches, renews and releases what is due.
  void Tick(Instant now, const Membership& membership, Actions* actions);
  /// Releases everything; nothing is attached any more.
  void ReleaseAll(Instant now, Actions* actions);

  /// @return true if the worker is newly owned or its incarnation changed; the
  ///   caller then rebuilds the ledger from the report
  [[nodiscard]] bool OnAttached(Instant now, const WorkerReport& report);
  void OnRenewed(Instant now, const WorkerReport& report);
  /// @return true if the worker was owned and is now lost
  [[nodiscard]] bool OnRefused(Instant now, const WorkerRefused& refused);
  /// @return true if its lease must have lapsed by now: placement stops
  [[nodiscard]] bool OnUnreachable(Instant now, const WorkerId& worker);
  void OnReleased(Instant now, const WorkerId& worker);
  /// A start is being sent there. From then on the worker is asked for reports
  /// at short intervals, which keep the task's lease in force and bring its
  /// end. A caller that never tells gets short intervals for all workers.
  void OnStartSent(Instant now, const WorkerId& worker);
  /// The worker refused a start for its epoch; the next renewal, due at once,
  /// tells who owns it now.
  void OnStartRefused(Instant now, const WorkerId& worker);
  /// A start was answered, which renewed the lease there.
  void OnStartAnswered(Instant now, const WorkerId& worker);

  /// @return the lease held, if this process may send a start now: not for a
  ///   worker that is leaving, that did not answer twice in a row, or, with
  ///   `worker_checks_epoch` off, whose lease could have lapsed
  [[nodiscard]] std::optional<OwnedWorker> OwnedForStart(
      Instant now, const WorkerId& worker) const;
  /// @return the lease held, also where no start may be sent; for stops
  [[nodiscard]] std::optional<OwnedWorker> HeldLease(
      const WorkerId& worker) const;
  [[nodiscard]] std::optional<WorkerDescription> Describe(
      const WorkerId& worker) const;
  [[nodiscard]] std::size_t OwnedCount() const;
  /// Ended tasks of this worker were seen up to this number.
  [[nodiscard]] std::uint64_t EndedSequence(const WorkerId& worker) const;
  [[nodiscard]] Instant NextWakeup() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_OWNERSHIP_H_
