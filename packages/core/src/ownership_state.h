#ifndef MUSTARDPROXY_CORE_SRC_OWNERSHIP_STATE_H_
#define MUSTARDPROXY_CORE_SRC_OWNERSHIP_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lease_timers.h"
#include "mustardproxy/core/ownership.h"
#include "orphan_detector.h"

namespace mustardproxy::detail {

enum class LeasePhase {
  /// Not owned, no call in progress.
  kNone,
  kAttaching,
  kOwned,
  kReleasing,
};

/// State that this process keeps about a worker and its lease.
struct Lease {
  WorkerDescription description;
  LeasePhase phase = LeasePhase::kNone;
  /// Epoch of the lease held, or of the last attach sent.
  Epoch epoch = 0;
  /// Highest epoch that the worker is known to have seen.
  Epoch highest = 0;
  Incarnation incarnation = 0;
  std::uint64_t ended_sequence = 0;

  /// A call has been in progress since `sent`.
  bool in_flight = false;
  Instant sent;
  /// Time at which the oldest call was sent that was reported as unreachable
  /// but may still be answered; see `Ownership::State::CompleteCall`.
  std::optional<Instant> oldest_unresolved;
  /// The current lease was requested at this time or later.
  Instant granted;

  /// Number of consecutive calls without an answer, and the time at which the
  /// first of them was sent.
  std::int32_t unreachable = 0;
  Instant unreachable_since;
  /// Number of consecutive refused attaches.
  std::int32_t refusals = 0;
  /// Earliest time of the next attach, or of the next renewal while calls are
  /// unanswered.
  Instant call_not_before;

  /// Interval of renewals; grows while they report no activity.
  Duration interval{0};
  Instant start_sent;
  Instant start_answered;
  /// A task may be running on the worker.
  bool active = false;
  /// A task had been running for longer than the shortest interval.
  bool long_tasks = false;

  /// Another process took the worker although this one is preferred, because
  /// their views of the members differ. The lease is kept in force until the
  /// view of this process changes; otherwise an idle worker would change owners
  /// endlessly.
  bool contested = false;
  /// Owned although another member is preferred, because that member could not
  /// reach the worker.
  bool substitute = false;
  /// Time at which a substitute owner hands the worker back to the preferred
  /// owner, and the delay before the next hand-back.
  Instant hand_back_at;
  Duration hand_back_delay{0};
  std::optional<Instant> leaving_since;
  /// Leaving and empty; the worker is not attached again.
  bool drained = false;
};

/// Preferred owner of the workers of a rack, and the time since which it is
/// preferred.
struct RackPreference {
  ProcessId owner;
  Instant since;
  std::int32_t workers = 0;
};

}  // namespace mustardproxy::detail

namespace mustardproxy {

struct Ownership::State {
  OwnershipOptions options;
  std::uint64_t random = 0;
  std::vector<detail::Lease> leases;
  std::unordered_map<WorkerId, std::size_t> index;
  std::map<RackId, detail::RackPreference> racks;
  std::vector<ProcessId> members;
  detail::LeaseTimers timers;
  detail::OrphanDetector orphan_detector;
  ProcessId self;
  std::uint64_t generation = 0;
  /// The host list or the members have changed: all timers must be recomputed.
  bool reschedule = true;
  bool stopped = false;
  bool discovery_complete = false;
  /// The caller reports starts with `OnStartSent`.
  bool starts_reported = false;
  std::size_t owned = 0;
  /// Leases of idle workers are kept in force until this time; see
  /// `MustStayInForce`.
  Instant stay_in_force_until;
  std::int32_t unreachable = 0;
  Instant next_check;
  Instant orphans_checked;

  [[nodiscard]] detail::Lease* Find(const WorkerId& worker);
  [[nodiscard]] const detail::Lease* Find(const WorkerId& worker) const;
  [[nodiscard]] Duration Jitter(Duration max_delay);
  void SetTimer(const detail::Lease& lease, std::optional<Instant> at);

  // Scheduling of the next call to each worker (ownership_plan.cc).
  void RescheduleAll(Instant now, const Membership& membership);
  void UpdateRackPreferences(Instant now, const Membership& membership);
  void CheckOrphans(Instant now, const Membership& membership);
  void ScheduleNext(Instant now, const detail::Lease& lease);
  [[nodiscard]] std::optional<Instant> AttachDue(
      Instant now, const detail::Lease& lease) const;
  [[nodiscard]] Instant OrphanAttachDue(const detail::Lease& lease,
                                        Instant window_start) const;
  [[nodiscard]] std::optional<Instant> ReleaseDue(
      const detail::Lease& lease) const;
  [[nodiscard]] bool Drained(const detail::Lease& lease) const;
  [[nodiscard]] Instant RenewalDue(Instant now,
                                   const detail::Lease& lease) const;
  [[nodiscard]] bool MustStayInForce(Instant now,
                                     const detail::Lease& lease) const;
  [[nodiscard]] Duration LongestRenewalInterval(
      Instant now, const detail::Lease& lease) const;
  [[nodiscard]] bool Preferred(const detail::Lease& lease) const;

  [[nodiscard]] std::vector<detail::OwnerCount> CountOwners(
      const Membership& membership) const;
  /// Keeps the leases of the other workers in force while one worker of this
  /// process cannot be reached.
  void UpdateUnreachable(Instant now);

  // Calls to workers.
  void RunDueAction(Instant now, detail::Lease* lease, Actions* actions);
  void AbandonCall(Instant now, detail::Lease* lease);
  /// @return the lowest epoch above `highest` that belongs to this process
  [[nodiscard]] Epoch NextEpoch(Epoch highest) const;
  void Attach(Instant now, detail::Lease* lease, Actions* actions);
  void Renew(Instant now, detail::Lease* lease, Actions* actions);
  void Release(Instant now, detail::Lease* lease, Actions* actions);

  // Answers of workers.
  /// Ends the call in progress.
  /// @return the earliest time at which the answered call can have been sent
  [[nodiscard]] Instant CompleteCall(Instant now, detail::Lease* lease);
  void ApplyReport(Instant sent, const WorkerReport& report,
                   detail::Lease* lease);
  void MarkActive(Instant now, detail::Lease* lease);
  void SetPhase(detail::Lease* lease, detail::LeasePhase phase);
  void MarkLost(Instant now, detail::Lease* lease);
  /// @return the retry interval doubled `times` times up to `max_delay`, with
  ///   jitter over its upper half
  [[nodiscard]] Duration RetryDelay(std::int32_t times, Duration max_delay);
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_SRC_OWNERSHIP_STATE_H_
