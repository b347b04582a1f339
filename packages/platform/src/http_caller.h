#ifndef MUSTARDPROXY_PLATFORM_SRC_HTTP_CALLER_H_
#define MUSTARDPROXY_PLATFORM_SRC_HTTP_CALLER_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mustardproxy/core/time.h"
#include "mustardproxy/platform/call_observer.h"

namespace mustardproxy::platform_detail {

/// One HTTP call.
struct HttpCall {
  std::string method = "GET";
  /// Path and query, already percent-encoded.
  std::string target;
  std::string_view body;
  /// Time for which the server may hold the reply back on purpose.
  Duration wait{0};
};

/// A whole reply.
struct HttpReply {
  int status = 0;
  std::string body;
};

/// Blocking HTTP/1.1 client with one kept-open connection. All that blocks is
/// waited for in short slices, so that `Abort` ends a call soon without a
/// second thread touching the socket.
class HttpCaller {
 public:
  HttpCaller(std::string_view url, Duration timeout);

  /// @return the reply, or nothing; `LastEnd` then says how far it came
  [[nodiscard]] std::optional<HttpReply> Do(const HttpCall& call);
  [[nodiscard]] CallEnd LastEnd() const;
  /// Safe from any thread.
  void Abort();
  [[nodiscard]] bool Aborted() const;

 private:
  [[nodiscard]] bool Connect();
  void DropStaleConnection();
  [[nodiscard]] HttpReply Exchange(const HttpCall& call);
  [[nodiscard]] bool WaitFor(Poco::Net::Socket* socket, int mode,
                             Duration limit) const;

  std::optional<Poco::Net::SocketAddress> address;
  Duration timeout;
  std::unique_ptr<Poco::Net::HTTPClientSession> session;
  CallEnd last_end = CallEnd::kNotSent;
  std::atomic<bool> aborted = false;
};

}  // namespace mustardproxy::platform_detail

#endif  // MUSTARDPROXY_PLATFORM_SRC_HTTP_CALLER_H_
