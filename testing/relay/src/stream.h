#ifndef MUSTARDPROXY_STANDIN_STREAM_H_
#define MUSTARDPROXY_STANDIN_STREAM_H_

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <deque>
#include <string>

namespace mustardproxy::standin {

using RelayClock = std::chrono::steady_clock;

/// The bytes on their way in one direction of a connection.
class Stream {
 public:
  Stream(const Poco::Net::StreamSocket& from,
         const Poco::Net::StreamSocket& to);

  /// @return true if there is room for more bytes and more may come
  [[nodiscard]] bool WantsRead() const;
  [[nodiscard]] bool WantsWrite(RelayClock::time_point now) const;
  /// @return when the next bytes are to be passed on
  [[nodiscard]] RelayClock::time_point NextDue() const;
  /// Takes bytes in; they are due after `delay`. Throws Poco's exceptions.
  void Read(RelayClock::time_point now, RelayClock::duration delay);
  /// Passes on what is due. Throws Poco's exceptions.
  void Write(RelayClock::time_point now);
  /// Reads and forgets. Throws Poco's exceptions.
  void Drop();
  /// @return true if the sender has ended and all of it was passed on
  [[nodiscard]] bool Finished() const;
  [[nodiscard]] bool Ended() const { return this->ended; }
  [[nodiscard]] const Poco::Net::StreamSocket& From() const {
    return this->from;
  }
  [[nodiscard]] const Poco::Net::StreamSocket& To() const { return this->to; }

 private:
  struct Chunk {
    RelayClock::time_point due;
    std::string bytes;
  };

  Poco::Net::StreamSocket from;
  Poco::Net::StreamSocket to;
  std::deque<Chunk> chunks;
  std::size_t pending = 0;
  bool ended = false;
  bool shut = false;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_STREAM_H_
