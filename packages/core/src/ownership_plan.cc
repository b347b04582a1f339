#include <algorithm>
#include <set>

#include "ownership_state.h"
#include "pacing.h"
#include "rendezvous_hash.h"

namespace mustardproxy {

using detail::Lease;
using detail::LeasePhase;
using detail::OrphanDetector;
using detail::OwnerCount;
using detail::RackPreference;

namespace {

/// A call without a result is considered lost after this time, so that a
/// missing report cannot block a worker permanently.
constexpr Duration kMaxCallTime = std::chrono::seconds(5);
/// Starts that were in transit when a worker began to leave appear in its
/// reports within this time.
constexpr Duration kDrainGrace = std::chrono::seconds(2);
/// Delay between the attach attempts of two members for the same worker without
/// an owner.
constexpr Duration kAttachStagger = std::chrono::seconds(3);
constexpr Duration kOrphanCheckInterval = std::chrono::seconds(1);
/// Interval of membership checks, so that a caller that ticks only at wake-ups
/// also notices changes of the members within this time.
constexpr Duration kMemberCheckInterval = std::chrono::milliseconds(250);
/// Minimum of the paced renewal interval of idle workers.
constexpr Duration kMinIdleRenewalInterval = std::chrono::seconds(10);

bool Unreachable(const Lease& lease) { return lease.unreachable >= 2; }

}  // namespace

bool Ownership::State::Preferred(const Lease& lease) const {
  const auto rack = this->racks.find(lease.description.rack);
  return rack != this->racks.end() && rack->second.owner == this->self;
}

void Ownership::State::UpdateRackPreferences(Instant now,
                                             const Membership& membership) {
  this->members = membership.LocalMembers();
  for (auto& [id, rack] : this->racks) rack.workers = 0;
  for (const Lease& lease : this->leases) {
    RackPreference& rack = this->racks[lease.description.rack];
    if (!lease.description.leaving) ++rack.workers;
  }
  std::set<RackId> moved;
  for (auto& [id, rack] : this->racks) {
    const ProcessId owner = membership.PreferredOwner(id);
    if (owner == rack.owner) continue;
    rack.owner = owner;
    rack.since = now;
    moved.insert(id);
  }
  for (Lease& lease : this->leases) {
    if (!moved.contains(lease.description.rack)) continue;
    // State that concerns the former preferred owner does not apply to the new
    // one.
    lease.substitute = false;
    lease.hand_back_delay = Duration(0);
    lease.call_not_before = std::min(lease.call_not_before, now);
  }
}

void Ownership::State::RescheduleAll(Instant now,
                                     const Membership& membership) {
  const bool members_changed = this->generation != membership.Generation();
  this->generation = membership.Generation();
  this->reschedule = false;
  this->UpdateRackPreferences(now, membership);
  for (Lease& lease : this->leases) {
    if (members_changed) lease.contested = false;
    if (!lease.description.leaving) {
      lease.leaving_since.reset();
      lease.drained = false;
    } else if (!lease.leaving_since) {
      lease.leaving_since = now;
    }
    this->ScheduleNext(now, lease);
  }
}

std::vector<OwnerCount> Ownership::State::CountOwners(
    const Membership& membership) const {
  std::vector<OwnerCount> counts;
  for (const ProcessId& member : this->members) {
    const std::optional<Digest> digest = membership.LastDigest(member);
    if (!digest) continue;
    OwnerCount count{member, 0, digest->owned_workers};
    for (const auto& [id, rack] : this->racks) {
      if (rack.owner == member) count.expected += rack.workers;
    }
    counts.push_back(count);
  }
  return counts;
}

void Ownership::State::CheckOrphans(Instant now, const Membership& membership) {
  this->next_check = now + kMemberCheckInterval;
  if (now < this->orphans_checked + kOrphanCheckInterval) return;
  this->orphans_checked = now;
  this->UpdateUnreachable(now);
  const std::vector<OwnerCount> counts = this->CountOwners(membership);
  std::int32_t unowned = -static_cast<std::int32_t>(this->owned);
  for (const auto& [id, rack] : this->racks) unowned += rack.workers;
  for (const OwnerCount& count : counts) unowned -= count.owned;
  this->orphan_detector.Update(now, unowned, counts);
  if (!this->orphan_detector.AnyShortage()) return;
  for (const Lease& lease : this->leases) {
    const bool candidate =
        lease.phase == LeasePhase::kNone && !this->Preferred(lease);
    if (candidate) this->ScheduleNext(now, lease);
  }
}

void Ownership::State::UpdateUnreachable(Instant now) {
  const auto lost =
      std::ranges::count_if(this->leases, [this](const Lease& lease) {
        return this->Preferred(lease) && Unreachable(lease);
      });
  const auto count = static_cast<std::int32_t>(lost);
  const bool grown = count > this->unreachable;
  this->unreachable = count;
  if (!grown) return;
  this->stay_in_force_until = now + OrphanDetector::kStayInForceTime;
  for (const Lease& lease : this->leases) this->ScheduleNext(now, lease);
}

void Ownership::State::ScheduleNext(Instant now, const Lease& lease) {
  if (lease.in_flight) {
    return this->SetTimer(lease, lease.sent + kMaxCallTime);
  }
  if (lease.phase != LeasePhase::kOwned) {
    return this->SetTimer(lease, this->AttachDue(now, lease));
  }
  const std::optional<Instant> release = this->ReleaseDue(lease);
  const Instant renewal = this->RenewalDue(now, lease);
  this->SetTimer(lease, release ? std::min(*release, renewal) : renewal);
}

std::optional<Instant> Ownership::State::AttachDue(Instant now,
                                                   const Lease& lease) const {
  if (this->stopped || lease.drained) return std::nullopt;
  if (this->Preferred(lease)) return lease.call_not_before;
  const auto rack = this->racks.find(lease.description.rack);
  if (rack == this->racks.end()) return std::nullopt;
  const std::optional<Instant> window_start =
      this->orphan_detector.AttachWindowStart(now, rack->second.owner);
  if (!window_start) return std::nullopt;
  return this->OrphanAttachDue(lease, *window_start);
}

Instant Ownership::State::OrphanAttachDue(const Lease& lease,
                                          Instant window_start) const {
  // The other members try one after another, so that the first one that reaches
  // the worker owns it before the next one tries.
  const std::string_view worker = lease.description.id.Text();
  const std::uint64_t own = detail::RendezvousWeight(worker, this->self.Text());
  const auto before = std::ranges::count_if(
      this->members, [worker, own](const ProcessId& member) {
        return detail::RendezvousWeight(worker, member.Text()) > own;
      });
  return std::max(lease.call_not_before,
                  window_start + kAttachStagger * before);
}

bool Ownership::State::Drained(const Lease& lease) const {
  if (!lease.leaving_since || lease.active) return false;
  return lease.granted >= *lease.leaving_since + kDrainGrace;
}

std::optional<Instant> Ownership::State::ReleaseDue(const Lease& lease) const {
  if (this->stopped || this->Drained(lease)) return Instant();
  if (lease.substitute) return lease.hand_back_at;
  if (this->Preferred(lease)) return std::nullopt;
  const auto rack = this->racks.find(lease.description.rack);
  if (rack == this->racks.end()) return std::nullopt;
  return rack->second.since + this->options.hand_over_delay;
}

bool Ownership::State::MustStayInForce(Instant now, const Lease& lease) const {
  if (!this->options.worker_checks_epoch || lease.substitute) return true;
  return lease.contested || now < this->stay_in_force_until;
}

Duration Ownership::State::LongestRenewalInterval(Instant now,
                                                  const Lease& lease) const {
  if (this->MustStayInForce(now, lease)) return this->options.lease / 3;
  // A task's lease must not expire, and its end is learned from a report.
  const bool report_needed =
      lease.active || lease.description.leaving || !this->starts_reported;
  if (report_needed) return this->options.task_lease / 3;
  // The lease of an idle worker may expire: the next start is still accepted
  // unless another process has attached, in which case it is refused and not
  // run. A crash therefore frees idle workers immediately, and an idle cell
  // uses few bytes.
  return detail::PacedInterval(
      kMinIdleRenewalInterval, static_cast<std::int64_t>(this->owned),
      detail::kRenewalBytes, this->options.renewal_bytes_per_second);
}

Instant Ownership::State::RenewalDue(Instant now, const Lease& lease) const {
  if (lease.unreachable > 0) return lease.call_not_before;
  const Duration longest = this->LongestRenewalInterval(now, lease);
  const Duration interval = std::min(lease.interval, longest);
  // Answered starts renew the lease, so no heartbeat is needed while they
  // arrive; but only a report delivers the end of detached tasks and renews
  // their leases.
  const bool postponed = this->options.worker_checks_epoch &&
                         !lease.long_tasks && lease.start_answered > lease.sent;
  if (!postponed) return lease.sent + interval;
  return std::min(lease.start_answered + interval, lease.sent + longest);
}

void Ownership::State::RunDueAction(Instant now, Lease* lease,
                                    Actions* actions) {
  if (lease->in_flight && now >= lease->sent + kMaxCallTime) {
    this->AbandonCall(now, lease);
  }
  if (!lease->in_flight && lease->phase == LeasePhase::kOwned) {
    const std::optional<Instant> release = this->ReleaseDue(*lease);
    if (release && *release <= now) {
      this->Release(now, lease, actions);
    } else if (this->RenewalDue(now, *lease) <= now) {
      this->Renew(now, lease, actions);
    }
  } else if (!lease->in_flight) {
    const std::optional<Instant> attach = this->AttachDue(now, *lease);
    if (attach && *attach <= now) this->Attach(now, lease, actions);
  }
  this->ScheduleNext(now, *lease);
}

void Ownership::State::AbandonCall(Instant now, Lease* lease) {
  lease->in_flight = false;
  if (!lease->oldest_unresolved) lease->oldest_unresolved = lease->sent;
  if (lease->phase == LeasePhase::kOwned) return;
  lease->call_not_before = now;
  this->SetPhase(lease, LeasePhase::kNone);
}

Epoch Ownership::State::NextEpoch(Epoch highest) const {
  const Epoch stride = std::max<Epoch>(this->options.epoch_stride, 1);
  const Epoch remainder = this->options.epoch_remainder % stride;
  const Epoch candidate = highest - highest % stride + remainder;
  return candidate > highest ? candidate : candidate + stride;
}

void Ownership::State::Attach(Instant now, Lease* lease, Actions* actions) {
  // An unanswered attach is repeated with the same epoch: if the worker had
  // accepted it, it also accepts the repetition.
  const bool repeat = lease->epoch > lease->highest;
  if (!repeat) {
    lease->epoch = this->NextEpoch(lease->highest);
    lease->oldest_unresolved.reset();
  }
  lease->substitute = !this->Preferred(*lease);
  this->SetPhase(lease, LeasePhase::kAttaching);
  lease->in_flight = true;
  lease->sent = now;
  actions->push_back(AttachWorker{lease->description.id,
                                  lease->description.address, lease->epoch,
                                  this->options.lease});
}

void Ownership::State::Renew(Instant now, Lease* lease, Actions* actions) {
  lease->in_flight = true;
  lease->sent = now;
  actions->push_back(RenewWorker{lease->description.id,
                                 lease->description.address, lease->epoch,
                                 this->options.lease, lease->ended_sequence});
}

void Ownership::State::Release(Instant now, Lease* lease, Actions* actions) {
  if (lease->substitute) {
    lease->call_not_before = now + OrphanDetector::kDetectionDelay;
  }
  lease->drained = this->Drained(*lease);
  this->SetPhase(lease, LeasePhase::kReleasing);
  lease->in_flight = true;
  lease->sent = now;
  actions->push_back(ReleaseWorker{lease->description.id,
                                   lease->description.address, lease->epoch});
}

}  // namespace mustardproxy
