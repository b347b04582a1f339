#ifndef MUSTARDPROXY_WORKER_CONNECTION_POOL_H_
#define MUSTARDPROXY_WORKER_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "connection.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::worker_detail {

/// Idle connections to each worker. Safe from any thread.
class ConnectionPool {
 public:
  /// @return an idle connection, or a new one
  Result<std::unique_ptr<Connection>> Acquire(const std::string& address,
                                              Duration timeout);
  /// Keeps a connection for reuse, unless it is condemned, retired or one too
  /// many; then it is closed.
  void Put(std::unique_ptr<Connection> connection);
  /// Closes the idle connections to `address` that were opened before `moment`;
  /// those in use are closed when they are put back.
  void RetireOlder(const std::string& address, Instant moment);
  [[nodiscard]] std::size_t IdleCount(const std::string& address) const;

 private:
  using Connections = std::vector<std::unique_ptr<Connection>>;
  struct Entry {
    /// Last used last.
    Connections idle;
    Instant retired_before;
  };

  std::unique_ptr<Connection> TakeIdle(const std::string& address);
  void Sweep(Instant now, Connections* dropped);

  mutable std::mutex mutex;
  std::map<std::string, Entry> entries;
  Instant swept;
};

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_CONNECTION_POOL_H_
