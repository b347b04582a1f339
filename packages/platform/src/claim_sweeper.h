#ifndef MUSTARDPROXY_PLATFORM_SRC_CLAIM_SWEEPER_H_
#define MUSTARDPROXY_PLATFORM_SRC_CLAIM_SWEEPER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/platform/key_value_client.h"

namespace mustardproxy::platform_detail {

/// Removes claims on idempotency keys that nobody has changed for a stated
/// time, so that what the platform keeps doesn't grow for ever.
///
/// Age is what this object has seen itself by its own monotonic clock: no time
/// of another host is read, and a new process begins to count anew. Two objects
/// in two processes don't disturb each other. A claim goes by compare-and-swap
/// on the index that was seen at the beginning of its time, so one that was
/// answered or taken again meanwhile stays.
class ClaimSweeper {
 public:
  /// Begins a round, or goes on with it: one call to the platform.
  /// @param now monotonic time
  /// @return pause until the next step; nothing when the round is over, or the
  ///   platform is away
  std::optional<Duration> Step(KeyValueClient* client, Instant now,
                               Duration retention);

  /// @return claims that are being watched
  [[nodiscard]] std::size_t Watched() const { return this->seen.size(); }

 private:
  /// A claim as it was when its time began.
  struct Seen {
    std::uint64_t index = 0;
    Instant since;
  };

  std::optional<Duration> Begin(KeyValueClient* client, Instant now,
                                Duration retention);
  /// @return false if the platform is away
  bool Look(KeyValueClient* client, const std::string& key, Instant now);
  bool Remove(KeyValueClient* client, const std::string& key, Instant now);
  [[nodiscard]] bool IsDue(const std::string& key, Instant now,
                           Duration retention) const;

  std::map<std::string, Seen> seen;
  /// Claims still to be looked at or removed in this round.
  std::vector<std::string> round;
};

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_CLAIM_SWEEPER_H_
