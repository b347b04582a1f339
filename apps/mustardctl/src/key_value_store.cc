#include "key_value_store.h"

namespace mustardproxy::ctl {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);

/// The real service.
class PlatformStore final : public KeyValueStore {
 public:
  explicit PlatformStore(std::string_view url) : client(url, kCallTimeout) {}

  Result<std::optional<KeyValue>> Get(std::string_view key) override {
    return this->client.Get(key);
  }
  Result<std::vector<KeyValue>> List(std::string_view prefix) override {
    return this->client.List(prefix);
  }
  Result<std::vector<std::string>> Keys(std::string_view prefix) override {
    return this->client.Keys(prefix);
  }
  SwapEnd Swap(std::string_view key, std::string_view value,
               std::uint64_t index) override {
    return this->client.Swap(key, value, index);
  }
  Result<void> Remove(std::string_view key) override {
    return this->client.Remove(key);
  }

 private:
  KeyValueClient client;
};

}  // namespace

std::unique_ptr<KeyValueStore> MakePlatformStore(std::string_view url) {
  return std::make_unique<PlatformStore>(url);
}

}  // namespace mustardproxy::ctl
