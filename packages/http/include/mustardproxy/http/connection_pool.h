#ifndef MUSTARDPROXY_HTTP_CONNECTION_POOL_H_
#define MUSTARDPROXY_HTTP_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/http/client_connection.h"

namespace mustardproxy::http {

/// Idle connections to each worker. Safe from any thread.
class ConnectionPool {
 public:
  /// Well below the time after which HTTP servers close idle connections, so
  /// that a request seldom meets the close on its way.
  static constexpr Duration kDefaultIdle = std::chrono::seconds(5);

  /// Idle connections that are kept to one address unless told otherwise.
  static constexpr std::size_t kMaxIdle = 64;

  explicit ConnectionPool(Duration max_idle = kDefaultIdle)
      : max_idle(max_idle) {}

  /// @return an idle connection, or a new one
  Result<std::unique_ptr<ClientConnection>> Acquire(const std::string& address,
                                                    Duration timeout);
  /// @return an idle connection that is still open, or null
  std::unique_ptr<ClientConnection> TakeOpen(const std::string& address);
  /// Keeps a connection for reuse, unless it is condemned, retired or one too
  /// many; then it is closed.
  /// @param most idle connections to keep to its address
  void Put(std::unique_ptr<ClientConnection> connection,
           std::size_t most = kMaxIdle);
  /// Closes the connections that have been idle for too long.
  void CloseExpired();
  /// Closes idle connections until no more than `most` to each address are
  /// left.
  void Trim(std::size_t most);
  /// Closes all idle connections; those in use are closed when they are put
  /// back.
  void RetireAll();
  /// Closes the idle connections to `address` that were opened before `moment`;
  /// those in use are closed when they are put back.
  void RetireOlder(const std::string& address, Instant moment);
  [[nodiscard]] std::size_t IdleCount(const std::string& address) const;
  /// @return the same for all addresses
  [[nodiscard]] std::size_t IdleCount() const;

 private:
  using Connections = std::vector<std::unique_ptr<ClientConnection>>;
  struct Entry {
    /// Last used last.
    Connections idle;
    Instant retired_before;
  };

  std::unique_ptr<ClientConnection> TakeIdle(const std::string& address);
  void Sweep(Instant now, Connections* dropped);

  const Duration max_idle;
  mutable std::mutex mutex;
  std::map<std::string, Entry> entries;
  Instant swept;
  Instant all_retired_before;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_CONNECTION_POOL_H_
