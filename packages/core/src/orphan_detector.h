#ifndef MUSTARDPROXY_CORE_SRC_ORPHAN_DETECTOR_H_
#define MUSTARDPROXY_CORE_SRC_ORPHAN_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// How many workers a member should own, and how many its digest shows.
struct OwnerCount {
  ProcessId member;
  std::int32_t expected = 0;
  std::int32_t owned = 0;
};

/// Detects workers that have no owner although their preferred owner is alive:
/// the preferred owner cannot reach them, and no other member attaches because
/// the preferred owner is alive.
///
/// Detection uses the digests. If a member owns fewer workers than it is
/// preferred for, and the members of the data centre together own fewer workers
/// than there are, that member has left some without an owner. After this has
/// lasted for `kDetectionDelay`, which is far longer than any hand-over takes,
/// the other members try to attach to the workers of that member until the
/// attach window closes.
///
/// This is safe because the worker decides whether an attach succeeds. Workers
/// that have an owner refuse it, because an owner that cannot reach one of its
/// workers keeps the leases of its other workers in force for at least as long
/// (`kStayInForceTime`). A wrong view costs refused calls and, at worst, a
/// change of owner, which the epochs make safe. A worker that no member reached
/// during the window waits for its preferred owner, which keeps trying, or for
/// the next change of that member's count.
class OrphanDetector {
 public:
  /// Time for which workers must have been without an owner.
  static constexpr Duration kDetectionDelay = std::chrono::seconds(9);
  /// Time for which the other members then try to attach.
  static constexpr Duration kAttachWindow = std::chrono::seconds(50);
  static constexpr Duration kStayInForceTime = std::chrono::seconds(90);

  /// Updates the counts of all live members except this one.
  /// @param unowned number of workers that no live member owns, according to
  ///   all digests
  void Update(Instant now, std::int32_t unowned,
              const std::vector<OwnerCount>& counts) {
    std::map<ProcessId, Shortage> next;
    for (const OwnerCount& count : counts) {
      const std::int32_t short_by = count.expected - count.owned;
      if (unowned <= 0 || short_by <= 0) continue;
      const auto known = this->shortages.find(count.member);
      const bool same =
          known != this->shortages.end() && known->second.workers >= short_by;
      const Instant since = same ? known->second.since : now;
      next[count.member] = {short_by, since};
    }
    this->shortages = std::move(next);
  }

  /// @return the start of the window in which other members may attach to
  ///   workers that `preferred` should own, if the window is open at `now`
  [[nodiscard]] std::optional<Instant> AttachWindowStart(
      Instant now, const ProcessId& preferred) const {
    const auto found = this->shortages.find(preferred);
    if (found == this->shortages.end()) return std::nullopt;
    const Instant window_start = found->second.since + kDetectionDelay;
    const bool open = now >= window_start && now < window_start + kAttachWindow;
    return open ? std::optional(window_start) : std::nullopt;
  }

  /// @return true if any member owns fewer workers than it should
  [[nodiscard]] bool AnyShortage() const { return !this->shortages.empty(); }

 private:
  struct Shortage {
    std::int32_t workers = 0;
    Instant since;
  };

  std::map<ProcessId, Shortage> shortages;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_ORPHAN_DETECTOR_H_
