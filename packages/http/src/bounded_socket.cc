#include "bounded_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <algorithm>
#include <cerrno>
#include <thread>

namespace mustardproxy::http {
namespace {

constexpr std::chrono::milliseconds kPauseWithoutDescriptors(50);

Poco::Timespan Left(BoundedSocketImpl::Clock::time_point deadline) {
  auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      deadline - BoundedSocketImpl::Clock::now());
  return Poco::Timespan(std::max<std::int64_t>(left.count(), 0));
}

class BoundedServerSocketImpl final : public Poco::Net::ServerSocketImpl {
 public:
  Poco::Net::SocketImpl* acceptConnection(
      Poco::Net::SocketAddress& client) override;
};

Poco::Net::SocketImpl* BoundedServerSocketImpl::acceptConnection(
    Poco::Net::SocketAddress& client) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  auto* address = reinterpret_cast<sockaddr*>(&storage);
  int descriptor = -1;
  do {
    descriptor = accept4(this->sockfd(), address, &length, SOCK_CLOEXEC);
  } while (descriptor < 0 && errno == EINTR);
  if (descriptor < 0) {
    // Out of file descriptors the connection stays in the backlog, so the
    // listener would be ready again at once and spin. The pause bounds that.
    if (errno == EMFILE || errno == ENFILE) {
      std::this_thread::sleep_for(kPauseWithoutDescriptors);
    }
    error();
  }
  client = Poco::Net::SocketAddress(address, length);
  return new BoundedSocketImpl(descriptor);
}

}  // namespace

BoundedSocketImpl::BoundedSocketImpl(poco_socket_t descriptor)
    : StreamSocketImpl(descriptor) {}

void BoundedSocketImpl::AllowReceive(Clock::duration time, std::int64_t bytes) {
  this->receive_deadline = Clock::now() + time;
  this->receive_left = bytes;
  this->breach = Breach::kNone;
}

bool BoundedSocketImpl::AwaitInput(const Poco::Timespan& time) const {
  return this->WaitReady(POLLIN, time);
}

bool BoundedSocketImpl::WaitReady(short events,
                                  const Poco::Timespan& time) const {
  pollfd entry{.fd = this->sockfd(), .events = events, .revents = 0};
  const auto limit =
      Clock::now() + std::chrono::microseconds(time.totalMicroseconds());
  while (true) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(limit - Clock::now(), Clock::duration::zero()));
    const int ready = ::poll(&entry, 1, static_cast<int>(left.count()));
    if (ready > 0) return true;
    if (ready == 0) return false;
    if (errno != EINTR) error();
  }
}

void BoundedSocketImpl::AllowSend(Clock::duration time) {
  this->send_deadline = Clock::now() + time;
}

int BoundedSocketImpl::receiveBytes(void* buffer, int length, int flags) {
  if (this->receive_left <= 0) {
    this->breach = Breach::kTooLarge;
    throw Poco::Net::NetException("too many bytes");
  }
  if (!this->AwaitInput(Left(this->receive_deadline))) {
    this->breach = Breach::kTooSlow;
    throw Poco::TimeoutException();
  }
  int received = SocketImpl::receiveBytes(buffer, length, flags);
  if (received <= 0) this->breach = Breach::kEnded;
  this->receive_left -= received;
  return received;
}

int BoundedSocketImpl::sendBytes(const void* buffer, int length, int flags) {
  const char* next = static_cast<const char*>(buffer);
  int left = length;
  while (left > 0) {
    ssize_t sent = send(this->sockfd(), next, static_cast<std::size_t>(left),
                        flags | MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) error();
    if (sent < 0) {
      if (!this->WaitReady(POLLOUT, Left(this->send_deadline))) {
        throw Poco::TimeoutException();
      }
      continue;
    }
    next += sent;
    left -= static_cast<int>(sent);
  }
  return length;
}

BoundedServerSocket::BoundedServerSocket()
    : ServerSocket(new BoundedServerSocketImpl, true) {}

}  // namespace mustardproxy::http
