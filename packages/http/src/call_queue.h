#ifndef MUSTARDPROXY_HTTP_CALL_QUEUE_H_
#define MUSTARDPROXY_HTTP_CALL_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardproxy/core/time.h"
#include "pending_call.h"

namespace mustardproxy::http {

/// Bounds the connections that this process holds to each address: calls beyond
/// the bound wait until one before them has ended. Not thread-safe.
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

  /// @param share connections that are held to each address, at least 2
  void SetShare(std::size_t share) { this->share = share; }
  /// Adds a call that is not unlimited.
  /// @return calls to its address that may be made now
  std::vector<PendingCallPtr> Push(const PendingCallPtr& call, Instant now);
  /// @return calls to `address` that may be made now, in their order
  [[nodiscard]] std::vector<PendingCallPtr> TakeAdmitted(
      const std::string& address, Instant now);
  /// @return the same for all addresses
  [[nodiscard]] std::vector<PendingCallPtr> TakeAdmitted(Instant now);
  /// @return calls that have waited too long
  [[nodiscard]] std::vector<PendingCallPtr> TakeExpired(Instant now);
  /// @return all calls that wait
  [[nodiscard]] std::vector<PendingCallPtr> TakeWaiting();
  /// A call that was admitted has ended.
  void NoteEnded(const PendingCall& call);
  /// @return the number of idle connections to keep beside those in use
  [[nodiscard]] std::size_t MaxIdle(const std::string& address) const;
  /// @return calls that wait, or have waited too long
  [[nodiscard]] std::size_t Waiting() const {
    return this->waiting + this->expired.size();
  }
  /// @return calls that have or open a connection
  [[nodiscard]] std::size_t InUse() const { return this->in_use; }

 private:
  using Calls = std::deque<PendingCallPtr>;
  struct Address {
    Calls urgent;
    Calls usual;
    /// When the calls under way that are not reserved were admitted.
    std::multiset<Instant> admitted;
    /// Reserved calls under way.
    std::size_t reserved = 0;
  };

  [[nodiscard]] bool MayAdmit(const Address& entry, Instant now) const;
  void Admit(Address* entry, Instant now, std::vector<PendingCallPtr>* taken);
  PendingCallPtr TakeFirst(Calls* calls);
  /// Failure: this process is frozen, and once it runs again sends what its
  /// caller decided before that. So calls that waited too long are sorted out
  /// before any is admitted.
  void Expire(Calls* calls, Instant now);

  std::size_t share = AsyncClient::kDefaultShare;
  std::map<std::string, Address> addresses;
  std::vector<PendingCallPtr> expired;
  std::size_t waiting = 0;
  std::size_t in_use = 0;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_CALL_QUEUE_H_
