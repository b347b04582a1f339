#ifndef MUSTARDPROXY_HTTP_LISTENER_H_
#define MUSTARDPROXY_HTTP_LISTENER_H_

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <memory>
#include <string>

#include "mustardproxy/core/result.h"
#include "mustardproxy/http/connection_limits.h"
#include "mustardproxy/http/connection_table.h"
#include "mustardproxy/http/message.h"

namespace mustardproxy::http {

/// One listening socket and the threads of its connections.
class Listener {
 public:
  /// @param max_connections connections served at once; some more get a refusal
  Listener(const std::string& name, ConnectionLimits limits,
           std::int32_t max_connections, Surface* surface);
  ~Listener();

  /// @return the port in use, or the system's error
  [[nodiscard]] Result<std::uint16_t> Start(const std::string& host,
                                            std::uint16_t port);
  /// Takes no new connections, lets requests in progress finish, joins all
  /// threads.
  void Stop();
  /// Ends threads that have been idle for some seconds. POCO does that only
  /// when the next connection comes, which after a burst may be long.
  void CollectIdleThreads() { this->threads.collect(); }
  [[nodiscard]] std::int32_t Connections() const {
    return this->table.Served();
  }

 private:
  ConnectionLimits limits;
  Surface* surface;
  std::int32_t max_connections;
  ConnectionTable table;
  Poco::ThreadPool threads;
  std::unique_ptr<Poco::Net::TCPServer> server;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_LISTENER_H_
