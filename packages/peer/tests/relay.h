#ifndef MUSTARDPROXY_PEER_TESTS_RELAY_H_
#define MUSTARDPROXY_PEER_TESTS_RELAY_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace mustardproxy::testing {

/// Passes bytes on to a port, and can break its connections.
class Relay {
 public:
  explicit Relay(std::uint16_t target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] std::uint16_t Port() const;
  /// Closes the open connections and takes no more.
  void Cut();
  /// Drops all bytes of the connections open now, which stay open; new ones
  /// work.
  void SilenceOpen();
  [[nodiscard]] int Accepted() const { return this->accepted; }
  /// @return bytes passed on, both ways
  [[nodiscard]] std::int64_t Bytes() const { return this->bytes; }

 private:
  struct Connection {
    Poco::Net::StreamSocket from;
    Poco::Net::StreamSocket to;
    std::atomic<bool> silent = false;
  };

  void Accept();
  void Open(const Poco::Net::StreamSocket& from);
  void Pump(Connection* connection, Poco::Net::StreamSocket in,
            Poco::Net::StreamSocket out);

  std::uint16_t target;
  Poco::Net::ServerSocket server;
  std::atomic<bool> closed = false;
  std::atomic<int> accepted = 0;
  std::atomic<std::int64_t> bytes = 0;
  std::mutex mutex;
  std::vector<std::unique_ptr<Connection>> connections;
  std::vector<std::thread> pumps;
  std::thread acceptor;
};

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_PEER_TESTS_RELAY_H_
