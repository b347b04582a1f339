#include "mustardproxy/http/listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <sys/socket.h>

#include <cerrno>
#include <string_view>
#include <system_error>
#include <utility>

#include "bounded_socket.h"
#include "server_connection.h"

namespace mustardproxy::http {
namespace {

/// Threads kept for refusals when all others serve.
constexpr std::int32_t kRefusalThreads = 4;
/// Connections that wait for a refusal thread.
constexpr std::int32_t kMaxQueued = 64;
constexpr std::int32_t kBacklog = 512;
/// A thread of a caller needs little; an idle one goes away soon.
constexpr std::int32_t kStackBytes = 262'144;
constexpr std::int32_t kThreadIdleSeconds = 5;

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory {
 public:
  ConnectionFactory(ConnectionLimits limits,
                    Poco::Net::HTTPServerParams::Ptr params, Surface* surface,
                    ConnectionTable* table)
      : limits(limits),
        params(std::move(params)),
        surface(surface),
        table(table) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new ServerConnection(socket, this->limits, this->params,
                                this->surface, this->table);
  }

 private:
  ConnectionLimits limits;
  Poco::Net::HTTPServerParams::Ptr params;
  Surface* surface;
  ConnectionTable* table;
};

/// Answers connections that find no refusal thread either. POCO would close
/// them without a word. The answer can be lost, since the request is not read.
class OverflowFilter final : public Poco::Net::TCPServerConnectionFilter {
 public:
  explicit OverflowFilter(const Poco::Net::TCPServer* server)
      : server(server) {}

  bool accept(const Poco::Net::StreamSocket& socket) override;

 private:
  const Poco::Net::TCPServer* server;
};

bool OverflowFilter::accept(const Poco::Net::StreamSocket& socket) {
  if (this->server->queuedConnections() < kMaxQueued) return true;
  constexpr std::string_view kRefusal =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
      "Mustardproxy-Outcome: not-run\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n";
  int descriptor = socket.impl()->sockfd();
  send(descriptor, kRefusal.data(), kRefusal.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(descriptor, SHUT_WR);
  return false;
}

Poco::Net::HTTPServerParams::Ptr MakeParams(std::int32_t threads) {
  Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
  params->setMaxThreads(threads);
  params->setMaxQueued(kMaxQueued);
  params->setThreadIdleTime(Poco::Timespan(kThreadIdleSeconds, 0));
  return params;
}

}  // namespace

Listener::Listener(const std::string& name, ConnectionLimits limits,
                   std::int32_t max_connections, Surface* surface)
    : limits(limits),
      surface(surface),
      max_connections(max_connections),
      table(max_connections),
      threads(name, 1, max_connections + kRefusalThreads, kThreadIdleSeconds,
              kStackBytes) {}

Listener::~Listener() { this->Stop(); }

Result<std::uint16_t> Listener::Start(const std::string& host,
                                      std::uint16_t port) {
  try {
    BoundedServerSocket socket;
    // Not the two-argument form: it lets two processes share the port, and each
    // would get part of the other one's callers.
    socket.bind(Poco::Net::SocketAddress(host, port), true, false);
    socket.listen(kBacklog);
    auto params = MakeParams(this->max_connections + kRefusalThreads);
    Poco::Net::TCPServerConnectionFactory::Ptr factory(new ConnectionFactory(
        this->limits, params, this->surface, &this->table));
    this->server = std::make_unique<Poco::Net::TCPServer>(
        factory, this->threads, socket, params);
    this->server->setConnectionFilter(new OverflowFilter(this->server.get()));
    this->server->start();
    return this->server->port();
  } catch (const Poco::Exception& failure) {
    int code = failure.code() != 0 ? failure.code() : EADDRNOTAVAIL;
    return std::error_code(code, std::generic_category());
  }
}

void Listener::Stop() {
  if (!this->server) return;
  this->server->stop();
  this->table.EndAll();
  this->threads.joinAll();
  this->server.reset();
}

}  // namespace mustardproxy::http
