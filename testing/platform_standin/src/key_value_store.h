#ifndef MUSTARDPROXY_STANDIN_SRC_KEY_VALUE_STORE_H_
#define MUSTARDPROXY_STANDIN_SRC_KEY_VALUE_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "session_table.h"

namespace mustardproxy::standin {

/// A key with its value and the number of its last change.
struct StoredValue {
  std::string key;
  std::string value;
  std::uint64_t modify_index = 0;
  /// Who holds the key, else empty.
  std::string session;
};

/// What became of a write that wants to hold its key.
enum class AcquireEnd {
  kAcquired,
  kHeldByAnother,
  kNoSuchSession,
};

/// Values in memory, with compare-and-swap, waiting reads, and keys that go
/// when the session that holds them lapses or is destroyed. Safe from any
/// thread.
class KeyValueStore {
 public:
  using Clock = std::function<SessionTable::Instant()>;

  /// @param clock tells when sessions lapse
  explicit KeyValueStore(Clock clock = std::chrono::steady_clock::now);

  [[nodiscard]] std::optional<StoredValue> Get(const std::string& key);
  /// Waits until the key has changed since `index`, or its limit. Index 0 does
  /// not wait.
  [[nodiscard]] std::optional<StoredValue> Wait(
      const std::string& key, std::uint64_t index,
      std::chrono::milliseconds limit);
  [[nodiscard]] std::vector<StoredValue> List(std::string_view prefix);
  /// @param index what the key's index must be, 0 if absent; empty always
  ///   writes
  /// @return true if it was written
  bool Put(const std::string& key, std::string value,
           std::optional<std::uint64_t> index);
  /// Writes and takes hold of a key that nobody or the same session holds.
  AcquireEnd Acquire(const std::string& key, std::string value,
                     const std::string& session);
  /// @param index what the key's index must be; empty always removes
  /// @return true if it is absent now
  bool Remove(const std::string& key,
              std::optional<std::uint64_t> index = std::nullopt);
  /// @return the id of a session that lapses unless it is renewed in time
  std::string CreateSession(std::chrono::milliseconds ttl);
  /// @return its time to live, or nothing if there is no such session
  std::optional<std::chrono::milliseconds> RenewSession(const std::string& id);
  /// Ends a session and removes the keys that it holds.
  void DestroySession(const std::string& id);
  [[nodiscard]] std::uint64_t LastIndex();
  /// Ends waiting reads now and in future.
  void Stop();
  /// Ends the reads that wait at this moment.
  void Interrupt();

 private:
  struct Cell {
    std::string value;
    std::uint64_t modify_index = 0;
    bool removed = false;
    std::string session;
  };

  // The functions below are for the holder of the mutex.

  /// Failure: a holder that is paused past its time to live reads its key and
  /// still finds itself in it. So sessions lapse before each call looks.
  void RemoveLapsed();
  void RemoveHeldBy(const std::string& session);
  void MarkRemoved(Cell* cell);
  void Write(const std::string& key, std::string value);

  [[nodiscard]] std::optional<StoredValue> Find(const std::string& key) const;
  [[nodiscard]] std::uint64_t IndexOf(const std::string& key) const;

  Clock clock;
  std::mutex mutex;
  SessionTable sessions;
  std::condition_variable changed;
  /// Removed keys stay as empty cells, so that a waiting read sees the change.
  std::map<std::string, Cell, std::less<>> cells;
  std::uint64_t last_index = 0;
  std::uint64_t interrupts = 0;
  bool stopped = false;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_KEY_VALUE_STORE_H_
