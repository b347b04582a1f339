#include "relay.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace mustardproxy::testing {
namespace {

constexpr auto kPollMicros = 20'000;
constexpr std::size_t kBufferBytes = 16384;

void SendAll(Poco::Net::StreamSocket* out, const char* data, int size) {
  while (size > 0) {
    const int sent = out->sendBytes(data, size);
    data += sent;
    size -= sent;
  }
}

}  // namespace

Relay::Relay(std::uint16_t target)
    : target(target), server(Poco::Net::SocketAddress("127.0.0.1", 0)) {
  this->acceptor = std::thread([this] { this->Accept(); });
}

Relay::~Relay() {
  this->Cut();
  this->acceptor.join();
  for (std::thread& pump : this->pumps) pump.join();
}

std::uint16_t Relay::Port() const { return this->server.address().port(); }

void Relay::Accept() {
  while (!this->closed) {
    if (!this->server.poll(kPollMicros, Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    try {
      this->Open(this->server.acceptConnection());
    } catch (const Poco::Exception&) {
      // The target is away: the connection closes at once.
    }
  }
  this->server.close();
}

void Relay::Open(const Poco::Net::StreamSocket& from) {
  auto connection = std::make_unique<Connection>();
  connection->from = from;
  connection->to.connect(Poco::Net::SocketAddress("127.0.0.1", this->target));
  Connection* const open = connection.get();
  const std::lock_guard lock(this->mutex);
  if (this->closed) return;
  ++this->accepted;
  this->connections.push_back(std::move(connection));
  this->pumps.emplace_back(
      [this, open] { this->Pump(open, open->from, open->to); });
  this->pumps.emplace_back(
      [this, open] { this->Pump(open, open->to, open->from); });
}

void Relay::Pump(Connection* connection, Poco::Net::StreamSocket in,
                 Poco::Net::StreamSocket out) {
  std::array<char, kBufferBytes> buffer;
  try {
    for (;;) {
      const int received = in.receiveBytes(buffer.data(), buffer.size());
      if (received <= 0) break;
      if (connection->silent) continue;
      SendAll(&out, buffer.data(), received);
      this->bytes += received;
    }
    if (!connection->silent) out.shutdown();
  } catch (const Poco::Exception&) {
    // Cut, or closed by an end.
  }
}

void Relay::Cut() {
  const std::lock_guard lock(this->mutex);
  this->closed = true;
  for (const auto& connection : this->connections) {
    try {
      connection->from.shutdown();
      connection->to.shutdown();
    } catch (const Poco::Exception&) {
      // Closed already.
    }
  }
}

void Relay::SilenceOpen() {
  const std::lock_guard lock(this->mutex);
  for (const auto& connection : this->connections) connection->silent = true;
}

}  // namespace mustardproxy::testing
