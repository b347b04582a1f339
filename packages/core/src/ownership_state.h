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
  /// Not owned, no call under way.
  kNone,
  kAttaching,
  kOwned,
  kReleasing,
};

/// What one process knows of a worker and its lease.
struct Lease {
  WorkerDescription description;
  LeasePhase phase = LeasePhase::kNone;
  /// Of the lease held, or of the last attach sent.
  Epoch epoch = 0;
  /// Highest one that the worker is known to have seen.
  Epoch highest = 0;
  Incarnation incarnation = 0;
  std::uint64_t ended_sequence = 0;

  /// A call is under way since `sent`.
  bool in_flight = false;
  Instant sent;
  /// When the oldest call was sent that was reported unreachable and may yet
  /// be answered; see `Ownership::State::CompleteCall`.
  std::optional<Instant> oldest_unresolved;
  /// The lease in force was asked for at this moment or later.
  Instant granted;

  /// Calls without an answer in a row, and when the first of them was sent.
  std::int32_t unreachable = 0;
  Instant unreachable_since;
  /// Attaches refused in a row.
  std::int32_t refusals = 0;
  /// No attach before.
  Instant call_not_before;

  /// Interval of renewals; grows while they bring nothing new.
  Duration interval{0};
  Instant start_sent;
  Instant start_answered;
  /// A task may be running there.
  bool active = false;
  /// A task was running there for longer than the shortest interval.
  bool long_tasks = false;

  /// Another process took the worker although this one is preferred: their
  /// views of the members differ. Until this one's view changes the lease is
  /// kept in force, or an idle worker would change hands without end.
  bool contested = false;
  /// Owned though another member is preferred, which could not reach it.
  bool substitute = false;
  /// When a stand-in offers the worker to the preferred owner, and the pause
  /// before the next offer.
  Instant hand_back_at;
  Duration hand_back_delay{0};
  std::optional<Instant> leaving_since;
  /// Left and empty; not attached any more.
  bool drained = false;
};

/// Who should own the workers of a rack, and since when.
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
  /// The host list or the members have changed: all timers are set anew.
  bool reschedule = true;
  bool stopped = false;
  bool discovery_complete = false;
  /// `OnStartSent` is in use.
  bool starts_reported = false;
  std::size_t owned = 0;
  /// Until then leases of idle workers are kept in force; see
  /// `MustStayInForce`.
  Instant stay_in_force_until;
  std::int32_t unreachable = 0;
  Instant next_check;
  Instant orphans_checked;

  [[nodiscard]] detail::Lease* Find(const WorkerId& worker);
  [[nodiscard]] const detail::Lease* Find(const WorkerId& worker) const;
  [[nodiscard]] Duration Jitter(Duration most);
  void SetTimer(const detail::Lease& lease, std::optional<Instant> at);

  // What to do next with a worker (ownership_plan.cc).
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
  /// Keeps other leases in force while one of ours can not be reached.
  void UpdateUnreachable(Instant now);

  // Calls.
  void RunDueAction(Instant now, detail::Lease* lease, Actions* actions);
  void AbandonCall(Instant now, detail::Lease* lease);
  /// @return the lowest epoch above `highest` that is this process's own
  [[nodiscard]] Epoch NextEpoch(Epoch highest) const;
  void Attach(Instant now, detail::Lease* lease, Actions* actions);
  void Renew(Instant now, detail::Lease* lease, Actions* actions);
  void Release(Instant now, detail::Lease* lease, Actions* actions);

  // Their answers.
  /// Ends the call under way and says when it was sent at the earliest.
  [[nodiscard]] Instant CompleteCall(Instant now, detail::Lease* lease);
  void ApplyReport(Instant sent, const WorkerReport& report,
                   detail::Lease* lease);
  void MarkActive(Instant now, detail::Lease* lease);
  void SetPhase(detail::Lease* lease, detail::LeasePhase phase);
  void MarkLost(Instant now, detail::Lease* lease);
  /// @return `first` doubled `times` times up to `most`, then cut at random
  [[nodiscard]] Duration RetryDelay(std::int32_t times, Duration most);
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_SRC_OWNERSHIP_STATE_H_
