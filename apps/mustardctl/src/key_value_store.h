#ifndef MUSTARDPROXY_MUSTARDCTL_KEY_VALUE_STORE_H_
#define MUSTARDPROXY_MUSTARDCTL_KEY_VALUE_STORE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardproxy/core/result.h"
#include "mustardproxy/platform/key_value_client.h"

namespace mustardproxy::ctl {

/// What the commands need of the platform's key-value service. Tests put
/// another operator or a lost reply between a command and the service.
class KeyValueStore {
 public:
  KeyValueStore() = default;
  KeyValueStore(const KeyValueStore&) = delete;
  KeyValueStore& operator=(const KeyValueStore&) = delete;
  virtual ~KeyValueStore() = default;

  /// @return nothing if the key is absent
  [[nodiscard]] virtual Result<std::optional<KeyValue>> Get(
      std::string_view key) = 0;
  [[nodiscard]] virtual Result<std::vector<KeyValue>> List(
      std::string_view prefix) = 0;
  [[nodiscard]] virtual Result<std::vector<std::string>> Keys(
      std::string_view prefix) = 0;
  /// Writes if the key's index is still `index`; 0 creates it.
  [[nodiscard]] virtual SwapEnd Swap(std::string_view key,
                                     std::string_view value,
                                     std::uint64_t index) = 0;
  [[nodiscard]] virtual Result<void> Remove(std::string_view key) = 0;
};

/// @return the service at `url`
[[nodiscard]] std::unique_ptr<KeyValueStore> MakePlatformStore(
    std::string_view url);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_KEY_VALUE_STORE_H_
