#ifndef MUSTARDPROXY_HTTP_CONNECTION_TABLE_H_
#define MUSTARDPROXY_HTTP_CONNECTION_TABLE_H_

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <map>
#include <mutex>

namespace mustardproxy::http {

/// The connections of one listener, to bound their number and to end the idle
/// ones. Safe from any thread.
class ConnectionTable {
 public:
  enum class Admission {
    kServed,
    /// Over the limit: it gets a refusal and is closed.
    kRefused,
  };

  explicit ConnectionTable(std::int32_t max_served) : max_served(max_served) {}

  [[nodiscard]] Admission Enter(const Poco::Net::StreamSocket& socket);
  void Leave(const Poco::Net::StreamSocket& socket, Admission admission);
  /// The connection waits for its next request, or has begun to read one.
  /// @return false once the connections are being ended
  bool SetIdle(const Poco::Net::StreamSocket& socket, bool idle);
  /// Ends idle connections now and the others after their request.
  void EndAll();
  [[nodiscard]] std::int32_t Served() const;

 private:
  struct Entry {
    Poco::Net::StreamSocket socket;
    bool idle = false;
  };

  const std::int32_t max_served;
  mutable std::mutex mutex;
  std::int32_t served = 0;
  bool ending = false;
  std::map<poco_socket_t, Entry> entries;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_CONNECTION_TABLE_H_
