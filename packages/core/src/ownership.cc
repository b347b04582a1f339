#include "mustardproxy/core/ownership.h"

#include <algorithm>
#include <utility>

#include "ownership_state.h"
#include "rendezvous_hash.h"

namespace mustardproxy {

using detail::Lease;
using detail::LeasePhase;
using detail::OrphanDetector;

namespace {

/// First and longest delay before a substitute owner hands a worker back.
constexpr Duration kFirstHandBackDelay = std::chrono::minutes(2);
constexpr Duration kMaxHandBackDelay = std::chrono::minutes(10);
/// Maximum interval between renewals of an idle worker.
constexpr Duration kMaxRenewalInterval = std::chrono::minutes(5);
/// Number of consecutive unanswered calls after which no start is sent.
constexpr std::int32_t kUnreachableCallsToSuspend = 2;
/// Number of doublings after which a delay has always reached its limit.
constexpr std::int32_t kMaxDoublings = 16;
/// Interval at which a starting process checks whether the discovery of its
/// members is complete.
constexpr Duration kDiscoveryCheckInterval = std::chrono::milliseconds(100);
/// Time for which a call that was reported as unreachable may still be
/// answered.
constexpr Duration kLateAnswerWindow = std::chrono::seconds(5);
/// Maximum delay of an attach after a refusal; equal to the default lease, so
/// that it causes no additional calls with that lease.
constexpr Duration kEarlyReleaseInterval = std::chrono::seconds(3);

}  // namespace

Lease* Ownership::State::Find(const WorkerId& worker) {
  const auto found = this->index.find(worker);
  return found == this->index.end() ? nullptr : &this->leases[found->second];
}

const Lease* Ownership::State::Find(const WorkerId& worker) const {
  const auto found = this->index.find(worker);
  return found == this->index.end() ? nullptr : &this->leases[found->second];
}

Duration Ownership::State::Jitter(Duration max_delay) {
  this->random += 0x9e3779b97f4a7c15ULL;
  const std::uint64_t drawn = detail::MixBits(this->random);
  const auto range = static_cast<std::uint64_t>(max_delay.count()) + 1;
  return Duration(static_cast<std::int64_t>(drawn % range));
}

Duration Ownership::State::RetryDelay(std::int32_t times, Duration max_delay) {
  Duration pause = this->options.retry_interval;
  const std::int32_t doublings = std::clamp(times, 0, kMaxDoublings);
  for (std::int32_t i = 0; i < doublings && pause < max_delay; ++i) pause *= 2;
  pause = std::min(pause, max_delay);
  return pause / 2 + this->Jitter(pause / 2);
}

void Ownership::State::SetTimer(const Lease& lease, std::optional<Instant> at) {
  const auto position = &lease - this->leases.data();
  this->timers.Set(static_cast<std::size_t>(position), at);
}

void Ownership::State::SetPhase(Lease* lease, LeasePhase phase) {
  if (lease->phase == LeasePhase::kOwned) --this->owned;
  if (phase == LeasePhase::kOwned) ++this->owned;
  lease->phase = phase;
}

Instant Ownership::State::CompleteCall(Instant now, Lease* lease) {
  // Failure: a call is reported as unreachable, the next one is sent, and then
  // the answer to the first call arrives. If it were matched to the second
  // call, the lease would appear longer than it is. Answers do not identify
  // their call, so each one is matched to the oldest call that may still be
  // answered.
  Instant sent = lease->sent;
  const bool has_unresolved =
      lease->oldest_unresolved &&
      now - *lease->oldest_unresolved < kLateAnswerWindow;
  if (has_unresolved) sent = std::min(sent, *lease->oldest_unresolved);
  const bool other_open = has_unresolved && lease->in_flight;
  lease->oldest_unresolved.reset();
  if (other_open) lease->oldest_unresolved = lease->sent;
  lease->in_flight = false;
  return sent;
}

void Ownership::State::ApplyReport(Instant sent, const WorkerReport& report,
                                   Lease* lease) {
  // Failure: the reports of a busy worker list running tasks but no ended ones,
  // because those answers arrived with their starts. The interval would grow as
  // for long tasks, and the end of a short detached task would be learned
  // seconds late.
  const bool started = lease->start_sent >= lease->granted;
  lease->granted = sent;
  lease->unreachable = 0;
  lease->refusals = 0;
  lease->incarnation = report.incarnation;
  lease->ended_sequence = report.ended_sequence;
  const bool was_active = lease->active;
  // A start sent after the call may be missing from its report.
  lease->active = !report.running.empty() || lease->start_sent >= sent;
  lease->long_tasks =
      std::ranges::any_of(report.running, [this](const RunningTask& task) {
        return task.running_for >= this->options.renew_interval;
      });
  const bool new_activity =
      started || !report.ended.empty() || (lease->active && !was_active);
  // Slow growth keeps the delay in learning the end of a task proportional to
  // its run time.
  lease->interval =
      new_activity ? this->options.renew_interval : lease->interval * 3 / 2;
  lease->interval = std::clamp(lease->interval, this->options.renew_interval,
                               kMaxRenewalInterval);
}

void Ownership::State::MarkLost(Instant now, Lease* lease) {
  lease->call_not_before = std::max(lease->call_not_before, now);
  lease->active = false;
  this->SetPhase(lease, LeasePhase::kNone);
}

void Ownership::State::MarkActive(Instant now, Lease* lease) {
  if (lease->phase != LeasePhase::kOwned || lease->active) return;
  lease->active = true;
  lease->interval = this->options.renew_interval;
  this->ScheduleNext(now, *lease);
}

Ownership::Ownership(OwnershipOptions options, std::uint64_t seed)
    : state(std::make_unique<State>()) {
  this->state->options = options;
  this->state->random = seed;
}

Ownership::~Ownership() = default;
Ownership::Ownership(Ownership&&) noexcept = default;
Ownership& Ownership::operator=(Ownership&&) noexcept = default;

std::vector<WorkerId> Ownership::OnHostList(
    std::span<const WorkerDescription> workers,
    const DataCenterId& data_center) {
  State& state = *this->state;
  std::vector<WorkerId> leaving;
  for (const WorkerDescription& worker : workers) {
    if (worker.data_center != data_center) continue;
    Lease* known = state.Find(worker.id);
    if (known != nullptr && known->description == worker) continue;
    const bool was_leaving = known != nullptr && known->description.leaving;
    if (worker.leaving && !was_leaving) leaving.push_back(worker.id);
    if (known == nullptr) {
      state.index.emplace(worker.id, state.leases.size());
      known = &state.leases.emplace_back();
    }
    known->description = worker;
    state.reschedule = true;
  }
  return leaving;
}

void Ownership::Tick(Instant now, const Membership& membership,
                     Actions* actions) {
  State& state = *this->state;
  state.self = membership.Self();
  state.discovery_complete =
      state.discovery_complete || membership.DiscoveryComplete(now);
  if (!state.discovery_complete) {
    state.next_check = now + kDiscoveryCheckInterval;
    return;
  }
  if (state.reschedule || state.generation != membership.Generation()) {
    state.RescheduleAll(now, membership);
  }
  if (now >= state.next_check) state.CheckOrphans(now, membership);
  while (const std::optional<std::size_t> due = state.timers.TakeDue(now)) {
    state.RunDueAction(now, &state.leases[*due], actions);
  }
}

void Ownership::ReleaseAll(Instant now, Actions* actions) {
  State& state = *this->state;
  state.stopped = true;
  for (Lease& lease : state.leases) {
    if (lease.phase == LeasePhase::kOwned) state.Release(now, &lease, actions);
    state.ScheduleNext(now, lease);
  }
}

bool Ownership::OnAttached(Instant now, const WorkerReport& report) {
  State& state = *this->state;
  Lease* lease = state.Find(report.worker);
  if (lease == nullptr || report.epoch != lease->epoch) return false;
  if (lease->phase == LeasePhase::kOwned) {
    return report.incarnation != lease->incarnation;
  }
  // An answer that arrives after its call was abandoned is discarded; the next
  // attach repeats the epoch and is accepted again.
  if (lease->phase != LeasePhase::kAttaching) return false;
  const Instant sent = state.CompleteCall(now, lease);
  state.SetPhase(lease, LeasePhase::kOwned);
  lease->highest = lease->epoch;
  lease->sent = sent;
  state.ApplyReport(sent, report, lease);
  lease->interval = state.options.renew_interval;
  if (lease->substitute) {
    lease->hand_back_delay = std::clamp(lease->hand_back_delay * 2,
                                        kFirstHandBackDelay, kMaxHandBackDelay);
    lease->hand_back_at = now + lease->hand_back_delay;
  }
  state.ScheduleNext(now, *lease);
  return !state.stopped;
}

void Ownership::OnRenewed(Instant now, const WorkerReport& report) {
  State& state = *this->state;
  Lease* lease = state.Find(report.worker);
  if (lease == nullptr || report.epoch != lease->epoch) return;
  if (lease->phase != LeasePhase::kOwned) return;
  const Instant sent = state.CompleteCall(now, lease);
  state.ApplyReport(sent, report, lease);
  state.ScheduleNext(now, *lease);
}

bool Ownership::OnRefused(Instant now, const WorkerRefused& refused) {
  State& state = *this->state;
  Lease* lease = state.Find(refused.worker);
  if (lease == nullptr || refused.epoch != lease->epoch) return false;
  if (lease->phase == LeasePhase::kNone) return false;
  const bool had_lease = lease->phase != LeasePhase::kAttaching;
  const bool is_own_lease =
      refused.holder == state.self && refused.highest == lease->epoch;
  // A worker refuses to stop a task that is gone, although the lease is valid.
  if (lease->phase == LeasePhase::kOwned && is_own_lease) return false;
  lease->in_flight = false;
  lease->unreachable = 0;
  // A restarted worker has forgotten its epochs. The epochs of this process
  // keep growing; otherwise a start from before the restart could match the new
  // lease.
  lease->highest = std::max(lease->highest, refused.highest);
  const bool taken_by_other = lease->phase == LeasePhase::kOwned &&
                              state.Preferred(*lease) &&
                              refused.highest > lease->epoch;
  lease->contested = lease->contested || taken_by_other;
  // The first refusal only reveals the epoch, so the next attach may follow
  // immediately; after that, two processes may be competing for the worker.
  const bool free = refused.lease_left <= Duration(0);
  const bool first = lease->refusals++ == 0;
  const Duration pause =
      state.RetryDelay(lease->refusals - 1, state.options.lease);
  // Failure: a process that shuts down gracefully releases its workers long
  // before their leases end. Its successor, refused once before the release,
  // would leave them idle for the rest of the lease. A worker with a long
  // remaining lease is therefore asked again earlier.
  const Duration wait = std::min(refused.lease_left, kEarlyReleaseInterval);
  lease->call_not_before = now + wait + (free && first ? Duration(0) : pause);
  // The worker turned out to have an owner, so this process does not compete
  // for it.
  if (!free && !state.Preferred(*lease)) {
    lease->call_not_before = now + OrphanDetector::kAttachWindow;
  }
  if (had_lease) {
    state.MarkLost(now, lease);
  } else {
    state.SetPhase(lease, LeasePhase::kNone);
  }
  state.ScheduleNext(now, *lease);
  return had_lease;
}

bool Ownership::OnUnreachable(Instant now, const WorkerId& worker) {
  State& state = *this->state;
  Lease* lease = state.Find(worker);
  if (lease == nullptr || lease->phase == LeasePhase::kNone) return false;
  if (lease->in_flight && !lease->oldest_unresolved) {
    lease->oldest_unresolved = lease->sent;
  }
  if (lease->unreachable == 0) {
    lease->unreachable_since = lease->in_flight ? lease->sent : now;
  }
  lease->in_flight = false;
  ++lease->unreachable;
  const Duration max_delay = state.options.max_unreachable_interval;
  const Duration pause = state.RetryDelay(lease->unreachable - 1, max_delay);
  lease->call_not_before = std::max(lease->call_not_before, now + pause);
  // No call that reached the worker before it stopped answering can have
  // extended its lease beyond this time. A single lost call does not count as a
  // loss: starts renew the lease too, and the lease of an idle worker may have
  // expired long ago without harm.
  const bool lapsed = now >= lease->unreachable_since + state.options.lease;
  const bool releasing = lease->phase == LeasePhase::kReleasing;
  const bool lost = releasing || (lease->phase == LeasePhase::kOwned && lapsed);
  if (lost) {
    state.MarkLost(now, lease);
  } else if (lease->phase == LeasePhase::kAttaching) {
    state.SetPhase(lease, LeasePhase::kNone);
  }
  state.ScheduleNext(now, *lease);
  return lost;
}

void Ownership::OnReleased(Instant now, const WorkerId& worker) {
  State& state = *this->state;
  Lease* lease = state.Find(worker);
  if (lease == nullptr || lease->phase != LeasePhase::kReleasing) return;
  lease->in_flight = false;
  state.MarkLost(now, lease);
  state.ScheduleNext(now, *lease);
}

void Ownership::OnStartSent(Instant now, const WorkerId& worker) {
  this->state->starts_reported = true;
  Lease* lease = this->state->Find(worker);
  if (lease == nullptr) return;
  lease->start_sent = now;
  this->state->MarkActive(now, lease);
}

void Ownership::OnStartRefused(Instant now, const WorkerId& worker) {
  Lease* lease = this->state->Find(worker);
  if (lease == nullptr || lease->phase != LeasePhase::kOwned) return;
  lease->interval = Duration(0);
  this->state->ScheduleNext(now, *lease);
}

void Ownership::OnStartAnswered(Instant now, const WorkerId& worker) {
  Lease* lease = this->state->Find(worker);
  if (lease == nullptr) return;
  lease->start_answered = now;
  // The timer is not reset here, because this runs for every answer; when it
  // expires, the renewal is found not to be due yet.
  this->state->MarkActive(now, lease);
}

std::optional<OwnedWorker> Ownership::HeldLease(const WorkerId& worker) const {
  const Lease* lease = this->state->Find(worker);
  if (lease == nullptr || lease->phase != LeasePhase::kOwned) {
    return std::nullopt;
  }
  return OwnedWorker{lease->description, lease->epoch, lease->incarnation};
}

std::optional<OwnedWorker> Ownership::OwnedForStart(
    Instant now, const WorkerId& worker) const {
  const Lease* lease = this->state->Find(worker);
  if (lease == nullptr || lease->description.leaving) return std::nullopt;
  if (lease->unreachable >= kUnreachableCallsToSuspend) return std::nullopt;
  // Failure: this process was suspended beyond the end of its lease, and
  // another one has attached since. The worker refuses the old epoch. For
  // workers that do not check it, the lease is counted from before its request
  // was sent, so it ends here before it ends at the worker. Only the worker
  // could guard the time between this check and the send.
  const bool in_force = now < lease->granted + this->state->options.lease;
  if (!this->state->options.worker_checks_epoch && !in_force) {
    return std::nullopt;
  }
  return this->HeldLease(worker);
}

std::optional<WorkerDescription> Ownership::Describe(
    const WorkerId& worker) const {
  const Lease* lease = this->state->Find(worker);
  if (lease == nullptr) return std::nullopt;
  return lease->description;
}

std::size_t Ownership::OwnedCount() const { return this->state->owned; }

std::uint64_t Ownership::EndedSequence(const WorkerId& worker) const {
  const Lease* lease = this->state->Find(worker);
  return lease == nullptr ? 0 : lease->ended_sequence;
}

Instant Ownership::NextWakeup() const {
  if (this->state->reschedule && this->state->discovery_complete) {
    return Instant();
  }
  return std::min(this->state->timers.Next(), this->state->next_check);
}

}  // namespace mustardproxy
