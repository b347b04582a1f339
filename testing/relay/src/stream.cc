#include "stream.h"

#include <utility>

namespace mustardproxy::standin {
namespace {

constexpr std::size_t kMaxPending = 1U << 20U;
constexpr std::size_t kReadSize = 64U << 10U;

/// @return bytes read, none at the end of the stream or if nothing was there
std::string ReceiveFrom(Poco::Net::StreamSocket* socket, bool* ended) {
  std::string bytes(kReadSize, '\0');
  const int count =
      socket->receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
  *ended = count == 0;
  bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
  return bytes;
}

}  // namespace

Stream::Stream(const Poco::Net::StreamSocket& from,
               const Poco::Net::StreamSocket& to)
    : from(from), to(to) {}

bool Stream::WantsRead() const {
  return !this->ended && this->pending < kMaxPending;
}

bool Stream::WantsWrite(RelayClock::time_point now) const {
  return !this->chunks.empty() && this->chunks.front().due <= now;
}

RelayClock::time_point Stream::NextDue() const {
  if (this->chunks.empty()) return RelayClock::time_point::max();
  return this->chunks.front().due;
}

void Stream::Read(RelayClock::time_point now, RelayClock::duration delay) {
  Chunk chunk;
  chunk.due = now + delay;
  chunk.bytes = ReceiveFrom(&this->from, &this->ended);
  if (chunk.bytes.empty()) return;
  this->pending += chunk.bytes.size();
  this->chunks.push_back(std::move(chunk));
}

void Stream::Write(RelayClock::time_point now) {
  while (this->WantsWrite(now)) {
    std::string& bytes = this->chunks.front().bytes;
    const int sent =
        this->to.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (sent <= 0) return;
    this->pending -= static_cast<std::size_t>(sent);
    bytes.erase(0, static_cast<std::size_t>(sent));
    if (!bytes.empty()) return;
    this->chunks.pop_front();
  }
  if (!this->Finished() || this->shut) return;
  this->shut = true;
  this->to.shutdownSend();
}

void Stream::Drop() {
  const std::string dropped = ReceiveFrom(&this->from, &this->ended);
}

bool Stream::Finished() const { return this->ended && this->chunks.empty(); }

}  // namespace mustardproxy::standin
