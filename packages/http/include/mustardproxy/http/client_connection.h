#ifndef MUSTARDPROXY_HTTP_CLIENT_CONNECTION_H_
#define MUSTARDPROXY_HTTP_CLIENT_CONNECTION_H_

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/http/guarded_socket.h"
#include "mustardproxy/http/header.h"

namespace mustardproxy::http {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string content_type;
  std::vector<HttpHeader> headers;
  std::string_view body;
};

/// An answer whose body came whole.
struct HttpReply {
  Poco::Net::HTTPResponse header;
  std::string body;

  [[nodiscard]] int Status() const { return this->header.getStatus(); }
};

/// One connection to a worker, with one request in flight at most. What it
/// sends it sends once.
class ClientConnection {
 public:
  /// @param address `ip:port`
  static Result<std::unique_ptr<ClientConnection>> Open(
      const std::string& address, Duration timeout);

  /// Begins to connect, without waiting; the socket becomes writable once that
  /// has ended, well or not.
  static Result<std::unique_ptr<ClientConnection>> Begin(
      const std::string& address);
  /// @return no error if a connection that was begun is there, otherwise the
  ///   system's
  std::error_code FinishConnect();

  /// @return an error if not all of the request was written; `Touched` then
  ///   tells whether any of it was
  std::error_code Send(const HttpRequest& request, Instant until);
  /// @return true if at least one byte of the last request was written
  [[nodiscard]] bool Touched() const;
  /// Reads the answer to the last request.
  /// @param silence longest time without a byte
  /// @return kWorkerLost if the connection ended before the first byte,
  ///   kAnswerIncomplete if it ended, fell silent or broke a bound later
  Result<HttpReply> Receive(Duration silence, Instant until);
  /// @return true if there is something to read, be it only the end
  [[nodiscard]] bool HasInput() const;

  /// @return true if the last exchange ended so that another may follow
  [[nodiscard]] bool Reusable() const { return this->reusable; }
  /// @return true if a request was sent on it
  [[nodiscard]] bool Exchanged() const { return this->exchanged; }
  [[nodiscard]] const std::string& Address() const { return this->address; }
  [[nodiscard]] Instant OpenedAt() const { return this->opened_at; }
  [[nodiscard]] Instant LastUsed() const { return this->last_used; }
  [[nodiscard]] const Poco::Net::StreamSocket& Socket() const {
    return this->socket;
  }
  /// @return bytes of the last exchange, both ways
  [[nodiscard]] std::int64_t ExchangedBytes() const;

 private:
  /// A session that is never told where to connect, so that it can't.
  class Session : public Poco::Net::HTTPClientSession {
   public:
    using HTTPClientSession::HTTPClientSession;

   protected:
    [[nodiscard]] bool mustReconnect() const override { return false; }
  };

  ClientConnection(std::string address, const Poco::Net::StreamSocket& socket,
                   GuardedSocketImpl* guard);
  HttpReply ReadAnswer(bool* whole);

  std::string address;
  Poco::Net::StreamSocket socket;
  GuardedSocketImpl* guard;
  Session session;
  Instant opened_at;
  Instant last_used;
  bool exchanged = false;
  bool reusable = false;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_CLIENT_CONNECTION_H_
