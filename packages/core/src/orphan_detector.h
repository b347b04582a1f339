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

/// Tells when workers evidently have no owner although their preferred owner is
/// alive: it can not reach them, and nobody else attaches because of it.
///
/// How it shows: the digests. A member that owns fewer workers than those it is
/// preferred for, while the members of the data centre together own fewer than
/// there are, has left some without an owner. After `kDetectionDelay` of that,
/// far longer than any hand-over takes, the others try the workers of that
/// member, for as long as the window is open.
///
/// Why this is sound: a try is an attach, so the worker decides; workers that
/// do have an owner refuse it, because an owner which can't reach one of its
/// workers keeps the leases of its others in force for at least as long
/// (`kStayInForceTime`). A view that is wrong costs refused calls and, at
/// worst, a change of owner, which the epochs make safe. A worker that nobody
/// reached while the window was open waits for its preferred owner, which goes
/// on trying, or for the next change of that member's count.
class OrphanDetector {
 public:
  /// Time for which workers must have been missing.
  static constexpr Duration kDetectionDelay = std::chrono::seconds(9);
  /// Time for which they are then tried.
  static constexpr Duration kAttachWindow = std::chrono::seconds(50);
  static constexpr Duration kStayInForceTime = std::chrono::seconds(90);

  /// Takes the counts of all live members but the own one.
  /// @param missing workers that no live member owns, by all digests
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

  /// @return since when workers that `preferred` should own are to be tried,
  ///   if they are at `now`
  [[nodiscard]] std::optional<Instant> AttachWindowStart(
      Instant now, const ProcessId& preferred) const {
    const auto found = this->shortages.find(preferred);
    if (found == this->shortages.end()) return std::nullopt;
    const Instant window_start = found->second.since + kDetectionDelay;
    const bool open = now >= window_start && now < window_start + kAttachWindow;
    return open ? std::optional(window_start) : std::nullopt;
  }

  /// @return true if any workers may have to be tried
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
