#ifndef MUSTARDPROXY_STANDIN_CONNECTIONS_H_
#define MUSTARDPROXY_STANDIN_CONNECTIONS_H_

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mustardproxy::standin {

/// One open connection.
struct Connection {
  explicit Connection(const Poco::Net::StreamSocket& socket) : socket(socket) {}

  Poco::Net::StreamSocket socket;
  /// Nothing that comes in is read, nothing is answered, and it stays open.
  std::atomic<bool> silent = false;
};

/// The open connections of a server, so that a fault switch can name those
/// "open at this moment". Safe from any thread.
class Connections {
 public:
  void Add(const Poco::Net::StreamSocket& socket);
  void Remove(const std::string& peer);
  /// @return the connection from that peer address; null if it has gone
  [[nodiscard]] std::shared_ptr<Connection> Find(const std::string& peer) const;
  void SilenceAll();
  void CloseAll();

 private:
  mutable std::mutex mutex;
  std::map<std::string, std::shared_ptr<Connection>> open;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_CONNECTIONS_H_
