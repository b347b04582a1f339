#ifndef MUSTARDPROXY_HTTP_BOUNDED_SOCKET_H_
#define MUSTARDPROXY_HTTP_BOUNDED_SOCKET_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>

#include <chrono>
#include <cstdint>

namespace mustardproxy::http {

/// Socket of one caller with bounds on time and bytes over several calls. A
/// timeout on each single call would start again with every byte, so a caller
/// that sends one byte at a time could hold a thread for good.
class BoundedSocketImpl final : public Poco::Net::StreamSocketImpl {
 public:
  using Clock = std::chrono::steady_clock;
  /// Why a receive or send was given up.
  enum class Breach { kNone, kTooSlow, kTooLarge, kEnded };

  explicit BoundedSocketImpl(poco_socket_t descriptor);

  /// Begins to count: receives must end before `time` and fetch fewer bytes
  /// than `bytes`.
  void AllowReceive(Clock::duration time, std::int64_t bytes);
  /// Sends must end before `time` from now.
  void AllowSend(Clock::duration time);
  /// @return the first breach since `AllowReceive`
  [[nodiscard]] Breach Breached() const { return this->breach; }

  /// @return false if nothing came within `time`
  bool AwaitInput(const Poco::Timespan& time) const;

  int receiveBytes(void* buffer, int length, int flags = 0) override;
  int sendBytes(const void* buffer, int length, int flags = 0) override;

 private:
  /// Waits until the socket is ready. The library's own poll makes a set of
  /// descriptors for each wait and closes it again: four calls of the operating
  /// system in place of one.
  /// @param events as for ::poll
  /// @return false if the time ran out
  bool WaitReady(short events, const Poco::Timespan& time) const;

  Clock::time_point receive_deadline = Clock::time_point::max();
  Clock::time_point send_deadline = Clock::time_point::max();
  std::int64_t receive_left = 0;
  Breach breach = Breach::kNone;
};

/// Listening socket whose connections are `BoundedSocketImpl`.
class BoundedServerSocket final : public Poco::Net::ServerSocket {
 public:
  BoundedServerSocket();
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_BOUNDED_SOCKET_H_
