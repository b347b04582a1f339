#ifndef MUSTARDPROXY_HTTP_CALL_QUEUE_H_
#define MUSTARDPROXY_HTTP_CALL_QUEUE_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/time.h"
#include "pending_call.h"

namespace mustardproxy::http {

/// Calls to one address that are not unlimited.
struct AddressCalls {
  std::deque<PendingCallPtr> urgent;
  std::deque<PendingCallPtr> usual;
  /// When the calls under way that are not reserved were admitted.
  std::vector<Instant> admitted;
  /// Reserved calls under way.
  std::size_t reserved = 0;

  [[nodiscard]] bool HasWaiting() const {
    return !this->urgent.empty() || !this->usual.empty();
  }
  [[nodiscard]] std::size_t InUse() const {
    return this->admitted.size() + this->reserved;
  }
};

/// Bounds the connections that this process holds to each address: calls beyond
/// the bound wait until one before them has ended. Safe from any thread, and
/// never blocks for longer than its own bookkeeping takes.
///
/// Failure: a server takes a bounded number of connections. A client that opens
/// one for each call of a burst and is then frozen or cut off keeps them open,
/// and after a few such clients the server takes no call of the next one.
class CallQueue {
 public:
  /// Longest wait for a connection. A call that has waited longer was not sent;
  /// its caller decides anew.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(180);
  /// A call without a reply for this long no longer keeps others from
  /// connecting: its connection may be silent while new ones work.
  static constexpr Duration kOverdue = std::chrono::milliseconds(30);

  using Calls = std::vector<PendingCallPtr>;

  /// What follows from the end of a call.
  struct Succession {
    /// Calls to its address that may be made now, in their order.
    Calls admitted;
    /// Idle connections to keep there until they are made.
    std::size_t max_idle = 0;
  };
  struct Counts {
    /// Calls that have or open a connection.
    std::size_t in_use = 0;
    std::size_t waiting = 0;
    /// Since the start: calls that had to wait, and those of them that were not
    /// sent.
    std::int64_t waited = 0;
    std::int64_t not_sent = 0;
  };

  /// @param share connections that are held to each address, at least 2
  void SetShare(std::size_t share);
  /// Adds a call that is not unlimited.
  /// @return true if it may be made now, false if it waits
  [[nodiscard]] bool Push(const PendingCallPtr& call, Instant now);
  /// A call that was admitted has ended.
  [[nodiscard]] Succession End(const PendingCall& call, Instant now);
  /// @return calls to all addresses that may be made now
  [[nodiscard]] Calls TakeAdmitted(Instant now);
  /// @return calls that are not to be sent: those that had waited too long when
  ///   calls were last admitted, and those that were cancelled
  [[nodiscard]] Calls TakeUnsent();
  /// Cancels all calls that wait.
  void CancelWaiting();
  /// Forgets the addresses without calls.
  void RemoveUnused();
  /// @return true if calls wait, or are not to be sent
  [[nodiscard]] bool HasWaiting() const { return this->pending > 0; }
  [[nodiscard]] Counts GetCounts() const;

 private:
  using Waiting = std::deque<PendingCallPtr>;

  [[nodiscard]] bool MayAdmit(const AddressCalls& entry, Instant now) const;
  void Admit(AddressCalls* entry, Instant now, Calls* taken);
  void MoveFirstToUnsent(Waiting* calls);
  /// Failure: this process is frozen, and once it runs again sends what its
  /// caller decided before that. So calls that waited too long are sorted out
  /// before any is admitted.
  void Expire(Waiting* calls, Instant now);

  mutable std::mutex mutex;
  std::size_t share = AsyncClient::kDefaultShare;
  /// Pending calls point to its values.
  std::unordered_map<std::string, AddressCalls> addresses;
  /// Addresses with calls that wait, and maybe some without.
  std::vector<AddressCalls*> waited_for;
  Calls unsent;
  /// Calls that wait or are in `unsent`.
  std::atomic<std::size_t> pending = 0;
  std::size_t in_use = 0;
  std::int64_t waited = 0;
  std::int64_t not_sent = 0;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_CALL_QUEUE_H_
