#ifndef MUSTARDPROXY_MUSTARDCTL_CONFIGURATION_STORE_H_
#define MUSTARDPROXY_MUSTARDCTL_CONFIGURATION_STORE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "key_value_store.h"
#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/settings/load.h"

namespace mustardproxy::ctl {

/// The document at one moment.
struct StoredConfiguration {
  /// Empty if the key is absent or its value has problems.
  std::optional<Configuration> configuration;
  Problems problems;
  /// Number of the key's last change; 0 if it is absent.
  std::uint64_t index = 0;
};

/// Past versions that are kept; whoever writes a newer one removes those that
/// have become older. A document of 350 teams is some 50 KB.
inline constexpr ConfigurationVersion kPastVersionsKept = 2000;

/// How a write ended.
enum class WriteEnd {
  kWritten,
  /// Another operator's version took its place; nothing was written.
  kConflict,
  /// The platform did not answer before anything was sent.
  kNotWritten,
  /// It is not known whether the version was written. Applying the same file
  /// again finds out.
  kUncertain,
};

/// Reads and writes the configuration document and its history.
///
/// Version N is copied to `config/history/N` before N+1 is written over it, by
/// whoever writes N+1. So no past version can be missing, wherever an
/// operator's program dies: `config/current` holds the newest, and all before
/// it were copied first. No copy can be wrong either: a version becomes current
/// by one successful compare-and-swap, so all who copy N copy the same text.
class ConfigurationStore {
 public:
  explicit ConfigurationStore(KeyValueStore* store) : store(store) {}

  [[nodiscard]] Result<StoredConfiguration> Current();
  /// @return the versions below `config/history/`, in order
  [[nodiscard]] Result<std::vector<ConfigurationVersion>> PastVersions();
  /// @return nothing if there is no such version
  [[nodiscard]] Result<std::optional<Configuration>> Past(
      ConfigurationVersion version);

  /// Writes `next` if `base` is still what the platform holds. A lost reply is
  /// settled by reading, for at most `patience`.
  [[nodiscard]] WriteEnd Replace(const StoredConfiguration& base,
                                 const Configuration& next, Duration patience);

 private:
  /// Creates the history key of a version unless it is there.
  /// @return true once it is known to be there
  bool Record(const Configuration& configuration, Instant deadline);
  /// Removes what has become too old with `newest`.
  void Trim(ConfigurationVersion newest);
  WriteEnd SwapUntilKnown(std::uint64_t index, const Configuration& next,
                          Instant deadline);
  /// After a swap that failed or got no reply: has `next` been written?
  /// @return nothing if the swap may be tried again
  std::optional<WriteEnd> Settle(std::uint64_t index,
                                 const Configuration& next);

  KeyValueStore* store;
};

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_CONFIGURATION_STORE_H_
