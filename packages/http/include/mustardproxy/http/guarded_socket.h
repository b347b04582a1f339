#ifndef MUSTARDPROXY_HTTP_GUARDED_SOCKET_H_
#define MUSTARDPROXY_HTTP_GUARDED_SOCKET_H_

#include <Poco/Net/StreamSocketImpl.h>

#include <cstdint>
#include <string>

#include "mustardproxy/core/time.h"

namespace mustardproxy::http {

/// A socket that knows how many bytes the operating system has taken, keeps
/// deadlines, and never sends again after a failure.
///
/// Failure guarded against: `HTTPClientSession` answers a failed first write on
/// a kept-open connection by connecting anew and sending again, also when part
/// of the bytes had left; the request could run twice. It does so only for
/// `NetException`, so this socket reports failures as `IOException` and refuses
/// all later writes.
class GuardedSocketImpl : public Poco::Net::StreamSocketImpl {
 public:
  using Poco::Net::SocketImpl::receiveBytes;
  using Poco::Net::SocketImpl::sendBytes;

  int sendBytes(const void* buffer, int length, int flags) override;
  int receiveBytes(void* buffer, int length, int flags) override;

  /// Begins a request: counts from zero and sends until `end` at most.
  void BeginSend(Instant end);
  /// Has what is written from now on wait for `FlushSend`, so that header and
  /// body leave in one call of the operating system and one packet.
  void KeepWrites();
  /// Sends what was kept. Throws Poco's exceptions.
  void FlushSend();
  /// Begins an answer: `longest_silence` without a byte ends it, and so does a
  /// byte that comes after `end`. Throws Poco's exceptions.
  void BeginReceive(Duration longest_silence, Instant end);
  /// @return true if there is something to read, be it only the end
  [[nodiscard]] bool HasInput() const;
  /// @return bytes of this request that the operating system has taken
  [[nodiscard]] std::int64_t BytesSent() const { return this->bytes_sent; }
  [[nodiscard]] std::int64_t BytesReceived() const {
    return this->bytes_received;
  }

 private:
  int SendSome(const char* buffer, int length, int flags);
  void SendAll(const char* buffer, int length, int flags);

  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
  Instant until;
  Duration silence{0};
  bool failed = false;
  bool keeping = false;
  std::string kept;
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_GUARDED_SOCKET_H_
