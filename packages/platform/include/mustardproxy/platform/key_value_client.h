#ifndef MUSTARDPROXY_PLATFORM_KEY_VALUE_CLIENT_H_
#define MUSTARDPROXY_PLATFORM_KEY_VALUE_CLIENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/core/worker.h"
#include "mustardproxy/platform/call_observer.h"

namespace mustardproxy {

/// A value with the number of its last change.
struct KeyValue {
  std::string key;
  std::string value;
  std::uint64_t modify_index = 0;
};

/// End of a compare-and-swap.
enum class SwapEnd {
  kSwapped,
  /// Somebody else changed it first; nothing was written.
  kConflict,
  /// No reply: the write may have taken effect.
  kUncertain,
};

/// Blocking client of the platform's key-value service. It speaks the published
/// HTTP interface of Consul's KV store: `GET /v1/kv/<key>` with `index` and
/// `wait` for a waiting call, `recurse` and `keys` for prefixes, and
/// `PUT /v1/kv/<key>?cas=<index>` with 0 for create-if-absent. One object per
/// thread.
class KeyValueClient {
 public:
  /// @param url `http://ip:port`
  /// @param timeout to connect, and longest silence within a reply
  KeyValueClient(std::string_view url, Duration timeout);
  ~KeyValueClient();
  KeyValueClient(const KeyValueClient&) = delete;
  KeyValueClient& operator=(const KeyValueClient&) = delete;

  /// @return nothing if the key is absent
  [[nodiscard]] Result<std::optional<KeyValue>> Get(std::string_view key);
  /// Returns once the value's index is above `index`, or after `wait`. For an
  /// absent key it may return at once.
  [[nodiscard]] Result<std::optional<KeyValue>> Watch(std::string_view key,
                                                      std::uint64_t index,
                                                      Duration wait);
  [[nodiscard]] Result<std::vector<KeyValue>> List(std::string_view prefix);
  [[nodiscard]] Result<std::vector<std::string>> Keys(std::string_view prefix);
  /// Writes if the key's index is still `index`; 0 creates it.
  [[nodiscard]] SwapEnd Swap(std::string_view key, std::string_view value,
                             std::uint64_t index);
  [[nodiscard]] Result<void> Remove(std::string_view key);
  /// Removes the key if its index is still `index`.
  /// @return `kSwapped` if it is absent now
  [[nodiscard]] SwapEnd RemoveIf(std::string_view key, std::uint64_t index);
  /// The platform's list of hosts that run tasks (`GET /v1/hosts`).
  [[nodiscard]] Result<std::vector<WorkerDescription>> Hosts();
  /// How far the last call came. After a `Swap` that ended uncertain,
  /// `kNotSent` and `kRefused` say that nothing was written.
  [[nodiscard]] CallEnd LastEnd() const;
  /// Tells `observer` of each call from now on; null stops that.
  void Observe(CallObserver* observer);
  /// Ends a call in progress from another thread; later calls fail at once.
  void Abort();

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Largest value that the platform takes.
inline constexpr std::size_t kMaxValueBytes = 1'048'576;
/// Key of the configuration document in force.
inline constexpr std::string_view kConfigurationKey = "config/current";
/// Prefix of past documents, by version in 20 digits.
inline constexpr std::string_view kHistoryPrefix = "config/history/";
/// Prefix of journals: `journal/<journal>/<sequence in 20 digits>`.
inline constexpr std::string_view kJournalPrefix = "journal/";
/// Prefix of claims on idempotency keys: `claim/<team>/<hash of the key>`.
inline constexpr std::string_view kClaimPrefix = "claim/";
/// Prefix of entry processes, written once at each start:
/// `member/<process>` = `{"operators": "ip:port", "data_center": …}`.
inline constexpr std::string_view kMemberPrefix = "member/";

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_PLATFORM_KEY_VALUE_CLIENT_H_
