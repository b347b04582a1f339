#include "owner_choice.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mustardproxy::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Delay before a process runs for election, per process preferred to it: more
/// than a round trip to the store, so that the preferred one has won and the
/// others have seen it.
constexpr Duration kElectionStagger = milliseconds(60);
constexpr std::size_t kMaxStaggers = 5;
/// Added on a host that is much smaller than one that has not registered again
/// yet: a living process needs a retry of its lease and two answers.
constexpr Duration kSmallHostDelay = milliseconds(300);
/// How long a process whose registration has ended is expected to register
/// again. A living process requests a new lease every 0.1 s.
constexpr Duration kReregistrationTime = seconds(2);
/// A host of this many times the processor time is much larger. A takeover
/// stops placement for a fraction of a second, which a smaller difference does
/// not repay.
constexpr double kMuchLarger = 1.5;
/// A successor may be this much smaller if the owner is behind or stalled.
constexpr double kAboutAsLarge = 0.8;
/// How long a process has been registered before the group is handed to it.
constexpr Duration kSettledTime = milliseconds(300);
/// Minimum ownership before a hand-over because the owner is behind; a takeover
/// and the backlog it leaves are over by then.
constexpr Duration kMinOwnership = seconds(5);
/// Time within which an owner must have read the stored state and reached half
/// of its workers. Shorter than the time for which tasks survive without an
/// owner and a second takeover together.
constexpr Duration kTakeoverTimeout = seconds(4);
/// An owner that reaches less than one in this many workers is cut off from
/// them rather than slow.
constexpr std::size_t kCutOffFactor = 10;
/// How long a process that gave the group up is not considered.
constexpr Duration kGaveUpTime = seconds(30);
/// Number of renewals, 0.3 s apart, by which an owner is judged to be behind,
/// and how many of them must be late by at least `kBehindLateness`. Urgent work
/// is to start within a quarter of a second.
constexpr std::size_t kJudgedRenewals = 7;
constexpr std::ptrdiff_t kLateRenewals = 5;
constexpr Duration kBehindLateness = milliseconds(250);

/// Larger hosts are preferred as owners; ties are broken by name.
bool IsPreferredOwner(const NodeRecord& a, const NodeRecord& b) {
  return std::make_tuple(-a.cpu_milli, -a.memory_mb, a.name) <
         std::make_tuple(-b.cpu_milli, -b.memory_mb, b.name);
}

bool IsMuchLarger(const NodeRecord& a, const NodeRecord& b) {
  return static_cast<double>(a.cpu_milli) >=
         kMuchLarger * static_cast<double>(b.cpu_milli);
}

}  // namespace

std::string_view Name(HandOverReason reason) {
  switch (reason) {
    case HandOverReason::kWeaker:
      return "weaker";
    case HandOverReason::kBehind:
      return "behind";
    case HandOverReason::kTakeoverStalled:
      return "takeover-stalled";
  }
  return "unknown";
}

OwnerChoice::OwnerChoice(NodeRecord self) : self(std::move(self)) {}

void OwnerChoice::NoteJoined(const NodeRecord& node, Instant now) {
  Known& known = this->processes[node.name];
  // A registration that is written again under a new lease is no new process.
  const bool same = known.node.incarnation == node.incarnation && !known.gone;
  if (!same) known.joined = now;
  known.node = node;
  known.gone.reset();
}

void OwnerChoice::NoteGone(const ProcessId& name, Instant now) {
  const auto known = this->processes.find(name);
  if (known != this->processes.end()) known->second.gone = now;
  std::erase_if(this->processes, [&](const auto& one) {
    return one.second.gone && now >= *one.second.gone + kReregistrationTime;
  });
}

std::size_t OwnerChoice::CountPreferred() const {
  return static_cast<std::size_t>(std::count_if(
      this->processes.begin(), this->processes.end(), [&](const auto& one) {
        return one.first != this->self.name && !one.second.gone &&
               IsPreferredOwner(one.second.node, this->self);
      }));
}

void OwnerChoice::NoteOwner(const NodeRecord& next, FencingToken now_valid,
                            Instant now) {
  if (std::exchange(this->token, now_valid) == now_valid) return;
  const bool handed_over = !std::exchange(this->vacant, false);
  if (handed_over && this->owner && this->owner->name != next.name) {
    const auto former = this->processes.find(this->owner->name);
    const bool still_there =
        former != this->processes.end() && !former->second.gone &&
        former->second.node.incarnation == this->owner->incarnation;
    if (still_there && !IsMuchLarger(next, *this->owner)) {
      this->gave_up[this->owner->name] = now;
    }
  }
  this->owner = next;
  this->owned_since = now;
  this->taken_over = false;
  this->lateness.clear();
}

void OwnerChoice::NoteLateness(Duration late) {
  this->lateness.push_back(late);
  if (this->lateness.size() > kJudgedRenewals) this->lateness.pop_front();
}

Duration OwnerChoice::ElectionDelay(Instant now) const {
  const auto returns = [&](const Known& known) {
    return known.gone && now < *known.gone + kReregistrationTime;
  };
  const auto returning =
      std::count_if(this->processes.begin(), this->processes.end(),
                    [&](const auto& one) { return returns(one.second); });
  std::size_t preferred = 0;
  bool awaits_larger = false;
  for (const auto& [name, known] : this->processes) {
    if (name == this->self.name) continue;
    if (known.gone && !returns(known)) continue;
    // An owner that is the only one whose lease has ended has probably died.
    const bool died = known.gone && returning == 1 && this->owner &&
                      this->owner->name == name;
    if (died) continue;
    if (!IsPreferredOwner(known.node, this->self)) continue;
    ++preferred;
    if (known.gone && IsMuchLarger(known.node, this->self))
      awaits_larger = true;
  }
  const Duration stagger =
      kElectionStagger *
      static_cast<std::int64_t>(std::min(preferred, kMaxStaggers));
  return awaits_larger ? stagger + kSmallHostDelay : stagger;
}

bool OwnerChoice::GaveUpRecently(const ProcessId& name, Instant now) const {
  const auto found = this->gave_up.find(name);
  return found != this->gave_up.end() && now < found->second + kGaveUpTime;
}

const NodeRecord* OwnerChoice::FindSuccessor(Instant now, double min_cpu_milli,
                                             Preference preference) const {
  const auto is_better = [&](const NodeRecord& a, const NodeRecord& b) {
    const bool a_elsewhere = a.data_center != this->self.data_center;
    const bool b_elsewhere = b.data_center != this->self.data_center;
    if (preference == Preference::kOtherDataCenter &&
        a_elsewhere != b_elsewhere) {
      return a_elsewhere;
    }
    return IsPreferredOwner(a, b);
  };
  const NodeRecord* best = nullptr;
  for (const auto& [name, known] : this->processes) {
    if (name == this->self.name || known.gone) continue;
    if (now < known.joined + kSettledTime) continue;
    if (static_cast<double>(known.node.cpu_milli) < min_cpu_milli) continue;
    if (this->GaveUpRecently(name, now)) continue;
    if (best == nullptr || is_better(known.node, *best)) {
      best = &known.node;
    }
  }
  return best;
}

bool OwnerChoice::Behind() const {
  if (this->lateness.size() < kJudgedRenewals) return false;
  return std::count_if(this->lateness.begin(), this->lateness.end(),
                       [](Duration late) { return late >= kBehindLateness; }) >=
         kLateRenewals;
}

std::optional<HandOverDecision> OwnerChoice::Consider(
    Instant now, const OwnerProgress& progress) {
  const bool reached_half = 2 * progress.reached >= progress.workers;
  if (progress.loaded && reached_half) this->taken_over = true;
  const auto own = static_cast<double>(this->self.cpu_milli);
  if (const NodeRecord* larger =
          this->FindSuccessor(now, kMuchLarger * own, Preference::kLargest)) {
    return HandOverDecision{HandOverReason::kWeaker, *larger};
  }
  const Duration owned =
      std::chrono::duration_cast<Duration>(now - this->owned_since);
  const bool stalled = owned >= kTakeoverTimeout && !this->taken_over;
  const bool behind = owned >= kMinOwnership && this->Behind();
  if (!stalled && !behind) return std::nullopt;
  // Any host is better than one that reaches hardly any worker. What keeps an
  // owner from its workers is likely to keep its neighbours from them, too.
  const bool cut_off = stalled && progress.loaded &&
                       kCutOffFactor * progress.reached < progress.workers;
  const NodeRecord* other = this->FindSuccessor(
      now, cut_off ? 0.0 : kAboutAsLarge * own,
      stalled ? Preference::kOtherDataCenter : Preference::kLargest);
  if (other == nullptr) return std::nullopt;
  return HandOverDecision{
      stalled ? HandOverReason::kTakeoverStalled : HandOverReason::kBehind,
      *other};
}

}  // namespace mustardproxy::jobs
