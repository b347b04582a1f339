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
  const char* next = static_cast<const char*>(buffer);
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
  return length;
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
