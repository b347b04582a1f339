#include <algorithm>
#include <set>

#include "ownership_state.h"
#include "pacing.h"
#include "rendezvous_hash.h"

namespace mustardproxy {

using detail::Lease;
using detail::LeasePhase;
using detail::OrphanWatch;
using detail::OwnerCount;
using detail::RackPreference;

namespace {

/// A call that has had no result for so long is taken for lost, so that one
/// report that never comes can not block a worker for good.
constexpr Duration kCallLimit = std::chrono::seconds(5);
/// Starts that were on their way when a worker began to leave show in reports
/// after this time.
constexpr Duration kDrainGrace = std::chrono::seconds(2);
/// Between the tries of two members for the same ownerless worker.
constexpr Duration kRankPause = std::chrono::seconds(3);
constexpr Duration kCheckInterval = std::chrono::seconds(1);
/// Changes of the members are seen within this time also by a caller that ticks
/// only at wake-ups.
constexpr Duration kMembersInterval = std::chrono::milliseconds(250);
/// Shortest interval to which renewals of an idle worker stretch.
constexpr Duration kIdleInterval = std::chrono::seconds(10);

bool Unreachable(const Lease& lease) { return lease.unreachable >= 2; }

}  // namespace

bool Ownership::State::Preferred(const Lease& lease) const {
  const auto rack = this->racks.find(lease.description.rack);
  return rack != this->racks.end() && rack->second.owner == this->self;
}

void Ownership::State::RefreshRacks(Instant now, const Membership& membership) {
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
    // What was learnt of the former preferred owner does not hold for this one.
    lease.stand_in = false;
    lease.offer_pause = Duration(0);
    lease.not_before = std::min(lease.not_before, now);
  }
}

void Ownership::State::Replan(Instant now, const Membership& membership) {
  const bool members_changed = this->generation != membership.Generation();
  this->generation = membership.Generation();
  this->replan = false;
  this->RefreshRacks(now, membership);
  for (Lease& lease : this->leases) {
    if (members_changed) lease.contested = false;
    if (!lease.description.leaving) {
      lease.leaving_since.reset();
      lease.drained = false;
    } else if (!lease.leaving_since) {
      lease.leaving_since = now;
    }
    this->Plan(now, lease);
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
  this->next_check = now + kMembersInterval;
  if (now < this->orphans_checked + kCheckInterval) return;
  this->orphans_checked = now;
  this->WatchUnreachable(now);
  const std::vector<OwnerCount> counts = this->CountOwners(membership);
  std::int32_t missing = -static_cast<std::int32_t>(this->owned);
  for (const auto& [id, rack] : this->racks) missing += rack.workers;
  for (const OwnerCount& count : counts) missing -= count.owned;
  this->orphans.Update(now, missing, counts);
  if (!this->orphans.Any()) return;
  for (const Lease& lease : this->leases) {
    const bool candidate =
        lease.phase == LeasePhase::kNone && !this->Preferred(lease);
    if (candidate) this->Plan(now, lease);
  }
}

void Ownership::State::WatchUnreachable(Instant now) {
  const auto lost =
      std::ranges::count_if(this->leases, [this](const Lease& lease) {
        return this->Preferred(lease) && Unreachable(lease);
      });
  const auto count = static_cast<std::int32_t>(lost);
  const bool grown = count > this->unreachable;
  this->unreachable = count;
  if (!grown) return;
  this->keep_in_force_until = now + OrphanWatch::kKeepInForce;
  for (const Lease& lease : this->leases) this->Plan(now, lease);
}

void Ownership::State::Plan(Instant now, const Lease& lease) {
  if (lease.in_flight) {
    return this->SetTimer(lease, lease.sent + kCallLimit);
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
  if (this->Preferred(lease)) return lease.not_before;
  const auto rack = this->racks.find(lease.description.rack);
  if (rack == this->racks.end()) return std::nullopt;
  const std::optional<Instant> opened =
      this->orphans.OpenSince(now, rack->second.owner);
  if (!opened) return std::nullopt;
  return this->OrphanAttachDue(lease, *opened);
}

Instant Ownership::State::OrphanAttachDue(const Lease& lease,
                                          Instant opened) const {
  // The others try one after the other, so that the first one that reaches the
  // worker has it before the next one asks.
  const std::string_view worker = lease.description.id.Text();
  const std::uint64_t own = detail::RendezvousWeight(worker, this->self.Text());
  const auto before = std::ranges::count_if(
      this->members, [worker, own](const ProcessId& member) {
        return detail::RendezvousWeight(worker, member.Text()) > own;
      });
  return std::max(lease.not_before, opened + kRankPause * before);
}

bool Ownership::State::Drained(const Lease& lease) const {
  if (!lease.leaving_since || lease.active) return false;
  return lease.granted >= *lease.leaving_since + kDrainGrace;
}

std::optional<Instant> Ownership::State::ReleaseDue(const Lease& lease) const {
  if (this->stopped || this->Drained(lease)) return Instant();
  if (lease.stand_in) return lease.offer_at;
  if (this->Preferred(lease)) return std::nullopt;
  const auto rack = this->racks.find(lease.description.rack);
  if (rack == this->racks.end()) return std::nullopt;
  return rack->second.since + this->options.hand_over_delay;
}

bool Ownership::State::KeepsInForce(Instant now, const Lease& lease) const {
  if (!this->options.worker_checks_epoch || lease.stand_in) return true;
  return lease.contested || now < this->keep_in_force_until;
}

Duration Ownership::State::LongestInterval(Instant now,
                                           const Lease& lease) const {
  if (this->KeepsInForce(now, lease)) return this->options.lease / 3;
  // A task's lease must not lapse, and its end is learnt from a report.
  const bool awaited =
      lease.active || lease.description.leaving || !this->starts_told;
  if (awaited) return this->options.task_lease / 3;
  // An idle worker's lease may lapse: the next start is accepted all the same
  // unless somebody else has attached, and then it is refused, not run. So a
  // crash frees the idle workers at once, and quiet costs few bytes.
  return detail::PacedInterval(
      kIdleInterval, static_cast<std::int64_t>(this->owned),
      detail::kRenewalBytes, this->options.renewal_bytes_per_second);
}

Instant Ownership::State::RenewalDue(Instant now, const Lease& lease) const {
  if (lease.unreachable > 0) return lease.not_before;
  const Duration longest = this->LongestInterval(now, lease);
  const Duration interval = std::min(lease.interval, longest);
  // Answered starts renew the lease, so no heartbeat is needed while they come;
  // but only a report tells the end of detached tasks and renews their leases.
  const bool postponed = this->options.worker_checks_epoch &&
                         !lease.long_tasks && lease.traffic > lease.sent;
  if (!postponed) return lease.sent + interval;
  return std::min(lease.traffic + interval, lease.sent + longest);
}

void Ownership::State::Act(Instant now, Lease* lease, Actions* actions) {
  if (lease->in_flight && now >= lease->sent + kCallLimit) {
    this->GiveUpCall(now, lease);
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
  this->Plan(now, *lease);
}

void Ownership::State::GiveUpCall(Instant now, Lease* lease) {
  lease->in_flight = false;
  if (!lease->doubted) lease->doubted = lease->sent;
  if (lease->phase == LeasePhase::kOwned) return;
  lease->not_before = now;
  this->SetPhase(lease, LeasePhase::kNone);
}

Epoch Ownership::State::NextEpoch(Epoch highest) const {
  const Epoch stride = std::max<Epoch>(this->options.epoch_stride, 1);
  const Epoch remainder = this->options.epoch_remainder % stride;
  const Epoch candidate = highest - highest % stride + remainder;
  return candidate > highest ? candidate : candidate + stride;
}

void Ownership::State::Attach(Instant now, Lease* lease, Actions* actions) {
  // An attach that was not answered is repeated with its epoch: if the worker
  // had accepted it, it accepts the repeat.
  const bool repeat = lease->epoch > lease->highest;
  if (!repeat) {
    lease->epoch = this->NextEpoch(lease->highest);
    lease->doubted.reset();
  }
  lease->stand_in = !this->Preferred(*lease);
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
  if (lease->stand_in) {
    lease->not_before = now + OrphanWatch::kPause;
  }
  lease->drained = this->Drained(*lease);
  this->SetPhase(lease, LeasePhase::kReleasing);
  lease->in_flight = true;
  lease->sent = now;
  actions->push_back(ReleaseWorker{lease->description.id,
                                   lease->description.address, lease->epoch});
}

}  // namespace mustardproxy
