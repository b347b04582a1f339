#ifndef MUSTARDPROXY_GATEWAY_WAITING_H_
#define MUSTARDPROXY_GATEWAY_WAITING_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::gateway_detail {

/// Deferred work was accepted.
struct Accepted {};
/// The gateway stops before the answer came.
struct Stopped {};
/// State of deferred work, empty if the cell does not know it.
struct QueryReply {
  std::optional<DeferredStatus> status;
};

/// What ends a wait.
using Settlement = std::variant<Answer, Accepted, QueryReply, Stopped>;

/// Meeting point of one waiting thread and the thread that brings the answer.
/// Each request has its own, so a late answer can not reach the next request of
/// the same connection.
class Waiter {
 public:
  enum class End { kSettled, kCallerGone, kTimedOut };

  Waiter();
  ~Waiter();
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;

  /// @return false if the process had no file descriptor left for it
  [[nodiscard]] bool Usable() const { return this->descriptor >= 0; }
  /// Only the first settlement counts.
  void Settle(Settlement settlement);
  /// Waits for the settlement, the end of the caller's connection, or the
  /// timeout. A caller that closes only its sending direction counts as gone.
  /// @param descriptor the caller's socket
  [[nodiscard]] End Wait(int descriptor, Duration timeout);
  /// @return the settlement, after `Wait` gave `kSettled`
  [[nodiscard]] Settlement Take();

 private:
  std::mutex mutex;
  std::optional<Settlement> settlement;
  /// An eventfd, so that one call waits for it and for the caller's socket.
  int descriptor;
};

/// Waits in progress, by request id or query number. Safe from any thread.
template <typename Key>
class WaitingTable {
 public:
  /// @return nothing once `StopAll` was called, or without file descriptors
  [[nodiscard]] std::shared_ptr<Waiter> Begin(const Key& key) {
    auto waiter = std::make_shared<Waiter>();
    std::lock_guard lock(this->mutex);
    if (this->stopped || !waiter->Usable()) return nullptr;
    this->waiters.emplace(key, waiter);
    return waiter;
  }
  void End(const Key& key) {
    std::lock_guard lock(this->mutex);
    this->waiters.erase(key);
  }
  /// Ignores a key that nobody waits for.
  void Settle(const Key& key, Settlement settlement) {
    std::shared_ptr<Waiter> waiter = this->Find(key);
    if (waiter) waiter->Settle(std::move(settlement));
  }
  /// Ends every wait that has no answer yet, and refuses new ones.
  void StopAll() {
    std::lock_guard lock(this->mutex);
    this->stopped = true;
    for (auto& entry : this->waiters) entry.second->Settle(Stopped{});
  }

 private:
  std::shared_ptr<Waiter> Find(const Key& key) {
    std::lock_guard lock(this->mutex);
    auto found = this->waiters.find(key);
    return found == this->waiters.end() ? nullptr : found->second;
  }

  std::mutex mutex;
  std::unordered_map<Key, std::shared_ptr<Waiter>> waiters;
  bool stopped = false;
};

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_WAITING_H_
