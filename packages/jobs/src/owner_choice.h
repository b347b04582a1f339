#ifndef MUSTARDPROXY_JOBS_OWNER_CHOICE_H_
#define MUSTARDPROXY_JOBS_OWNER_CHOICE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string_view>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "record_codec.h"

namespace mustardproxy::jobs {

/// How far the owner has come with its takeover.
struct OwnerProgress {
  /// All stored state has been read.
  bool loaded = false;
  /// Workers with an entry in the store that this owner has asked.
  std::size_t workers = 0;
  /// Those that have answered this owner.
  std::size_t reached = 0;
};

/// Why an owner hands the group over to another process that is well.
enum class HandOverReason {
  /// The other host is much larger.
  kWeaker,
  /// The control thread has been late for a while.
  kBehind,
  /// The takeover has not succeeded within a bounded time.
  kTakeoverStalled,
};

/// @return `weaker`, `behind` or `takeover-stalled`
[[nodiscard]] std::string_view Name(HandOverReason reason);

struct HandOverDecision {
  HandOverReason reason = HandOverReason::kWeaker;
  NodeRecord successor;
};

/// Decides which process should own the placement group: how long a candidate
/// waits before it runs for election, and when an owner hands over. Has no
/// clock and no connections.
///
/// Answers the load of a cell whose hosts differ in size: a host of a tenth of
/// a core can't decide for hundreds of workers, and the smallest that may own
/// the group in an emergency must not keep it.
///
/// Failure guarded against: the leases of all processes end together, nobody is
/// registered when the store is back, and the first process to reach the store
/// becomes the owner, however small its host is.
///
/// Failure guarded against: two processes hand the group to each other. A
/// larger host never hands over to a much smaller one because of size, an owner
/// that is merely behind keeps the group for a minimum time, and a process that
/// gave the group up is not considered for a while.
class OwnerChoice {
 public:
  explicit OwnerChoice(NodeRecord self);

  void NoteJoined(const NodeRecord& node, Instant now);
  void NoteGone(const ProcessId& name, Instant now);
  /// Forgets a process that this one no longer tracks.
  void Forget(const ProcessId& name) { this->processes.erase(name); }
  /// @return how many registered processes are preferred to this one
  [[nodiscard]] std::size_t CountPreferred() const;
  /// Records the owner that the store names.
  void NoteOwner(const NodeRecord& next, FencingToken token, Instant now);
  /// Records that the store names no owner any more.
  void NoteVacant() { this->vacant = true; }
  /// Records how late the renewal of the lease at the store was, which is how
  /// far the control thread is behind. Called while this process owns the
  /// group.
  void NoteLateness(Duration late);

  /// @return how long to wait before running for election: longer the more
  ///   preferred processes are registered or were until a moment ago
  [[nodiscard]] Duration ElectionDelay(Instant now) const;
  /// Called regularly while this process owns the group.
  /// @return what to do; nothing to keep the group
  [[nodiscard]] std::optional<HandOverDecision> Consider(
      Instant now, const OwnerProgress& progress);

 private:
  struct Known {
    NodeRecord node;
    /// When it registered.
    Instant joined;
    /// When its registration was found to be gone.
    std::optional<Instant> gone;
  };

  /// Which processes precede others as successors.
  enum class Preference { kLargest, kOtherDataCenter };

  /// @return the best registered process to hand over to, of at least this
  ///   size; null if there is none
  [[nodiscard]] const NodeRecord* FindSuccessor(Instant now,
                                                double min_cpu_milli,
                                                Preference preference) const;
  [[nodiscard]] bool GaveUpRecently(const ProcessId& name, Instant now) const;
  [[nodiscard]] bool Behind() const;

  NodeRecord self;
  std::map<ProcessId, Known> processes;
  std::optional<NodeRecord> owner;
  FencingToken token = 0;
  /// The key of `owner` was deleted.
  bool vacant = false;
  /// This owner has read the stored state and has reached half of its workers.
  bool taken_over = false;
  /// When `owner` became the owner.
  Instant owned_since;
  /// Processes that handed over although their hosts were large enough.
  std::map<ProcessId, Instant> gave_up;
  /// Lateness of the latest renewals, oldest first.
  std::deque<Duration> lateness;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_OWNER_CHOICE_H_
