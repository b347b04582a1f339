#include "mustardproxy/http/guarded_socket.h"

#include <Poco/Exception.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy::http {
namespace {

Poco::Timespan Until(Instant until) {
  return Poco::Timespan(
      std::max(Duration::zero(), until - SteadyNow()).count());
}

}  // namespace

void GuardedSocketImpl::BeginSend(Instant end) {
  this->bytes_sent = 0;
  this->bytes_received = 0;
  this->until = end;
  this->keeping = false;
}

void GuardedSocketImpl::KeepWrites() {
  this->keeping = true;
  this->kept.clear();
}

void GuardedSocketImpl::FlushSend() {
  this->keeping = false;
  this->SendAll(this->kept.data(), static_cast<int>(this->kept.size()), 0);
}

void GuardedSocketImpl::BeginReceive(Duration longest_silence, Instant end) {
  this->until = end;
  if (longest_silence == this->silence) return;
  this->silence = longest_silence;
  this->setReceiveTimeout(Poco::Timespan(longest_silence.count()));
}

int GuardedSocketImpl::SendSome(const char* buffer, int length, int flags) {
  while (true) {
    try {
      // Not the parent's, which hides how much went out before a failure.
      return SocketImpl::sendBytes(  // NOLINT(bugprone-parent-virtual-call)
          buffer, length, flags | MSG_DONTWAIT | MSG_NOSIGNAL);
    } catch (const Poco::TimeoutException&) {
      // The peer does not read; wait until it does.
      if (!this->poll(Until(this->until), SELECT_WRITE)) throw;
    }
  }
}

int GuardedSocketImpl::sendBytes(const void* buffer, int length, int flags) {
  if (this->failed) throw Poco::IOException("the connection has failed");
  if (this->keeping) {
    this->kept.append(static_cast<const char*>(buffer),
                      static_cast<std::size_t>(length));
  } else {
    this->SendAll(static_cast<const char*>(buffer), length, flags);
  }
  return length;
}

void GuardedSocketImpl::SendAll(const char* buffer, int length, int flags) {
  const char* next = buffer;
  int left = length;
  try {
    while (left > 0) {
      const int sent = this->SendSome(next, left, flags);
      this->bytes_sent += sent;
      next += sent;
      left -= sent;
    }
  } catch (const Poco::Exception& problem) {
    this->failed = true;
    throw Poco::IOException(problem.displayText());
  }
}

int GuardedSocketImpl::receiveBytes(void* buffer, int length, int flags) {
  if (SteadyNow() >= this->until) {
    throw Poco::TimeoutException("the answer took too long");
  }
  const int count = SocketImpl::receiveBytes(buffer, length, flags);
  if (count > 0) this->bytes_received += count;
  return count;
}

bool GuardedSocketImpl::HasInput() const {
  char byte = 0;
  const auto count =
      ::recv(this->sockfd(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace mustardproxy::http
