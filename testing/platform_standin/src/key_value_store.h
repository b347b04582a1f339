#ifndef MUSTARDPROXY_STANDIN_SRC_KEY_VALUE_STORE_H_
#define MUSTARDPROXY_STANDIN_SRC_KEY_VALUE_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardproxy::standin {

/// A key with its value and the number of its last change.
struct StoredValue {
  std::string key;
  std::string value;
  std::uint64_t modify_index = 0;
};

/// Values in memory, with compare-and-swap and waiting reads. Safe from any
/// thread.
class KeyValueStore {
 public:
  [[nodiscard]] std::optional<StoredValue> Get(const std::string& key) const;
  /// Waits until the key has changed since `index`, or its limit. Index 0 does
  /// not wait.
  [[nodiscard]] std::optional<StoredValue> Wait(
      const std::string& key, std::uint64_t index,
      std::chrono::milliseconds limit);
  [[nodiscard]] std::vector<StoredValue> List(std::string_view prefix) const;
  /// @param index what the key's index must be, 0 if absent; empty always
  ///   writes
  /// @return true if it was written
  bool Put(const std::string& key, std::string value,
           std::optional<std::uint64_t> index);
  void Remove(const std::string& key);
  [[nodiscard]] std::uint64_t LastIndex() const;
  /// Ends waiting reads now and in future.
  void Stop();
  /// Ends the reads that wait at this moment.
  void Interrupt();

 private:
  struct Cell {
    std::string value;
    std::uint64_t modify_index = 0;
    bool removed = false;
  };

  [[nodiscard]] std::optional<StoredValue> Find(const std::string& key) const;
  [[nodiscard]] std::uint64_t IndexOf(const std::string& key) const;

  mutable std::mutex mutex;
  std::condition_variable changed;
  /// Removed keys stay as empty cells, so that a waiting read sees the change.
  std::map<std::string, Cell, std::less<>> cells;
  std::uint64_t last_index = 0;
  std::uint64_t interrupts = 0;
  bool stopped = false;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_KEY_VALUE_STORE_H_
