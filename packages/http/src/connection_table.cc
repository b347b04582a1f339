#include "mustardproxy/http/connection_table.h"

#include <Poco/Exception.h>

namespace mustardproxy::http {
namespace {

/// What has already arrived can still be read afterwards, so a request that
/// crossed with the end is answered.
void EndReceiving(Poco::Net::StreamSocket* socket) {
  try {
    socket->shutdownReceive();
  } catch (const Poco::Exception&) {
    // The peer closed it first.
  }
}

}  // namespace

ConnectionTable::Admission ConnectionTable::Enter(
    const Poco::Net::StreamSocket& socket) {
  std::lock_guard lock(this->mutex);
  if (this->served >= this->max_served) return Admission::kRefused;
  ++this->served;
  this->entries.insert_or_assign(socket.impl()->sockfd(), Entry{socket, false});
  return Admission::kServed;
}

void ConnectionTable::Leave(const Poco::Net::StreamSocket& socket,
                            Admission admission) {
  if (admission == Admission::kRefused) return;
  std::lock_guard lock(this->mutex);
  --this->served;
  this->entries.erase(socket.impl()->sockfd());
}

bool ConnectionTable::SetIdle(const Poco::Net::StreamSocket& socket,
                              bool idle) {
  std::lock_guard lock(this->mutex);
  auto found = this->entries.find(socket.impl()->sockfd());
  if (found != this->entries.end()) found->second.idle = idle;
  return !this->ending;
}

void ConnectionTable::EndAll() {
  std::lock_guard lock(this->mutex);
  this->ending = true;
  for (auto& item : this->entries) {
    if (item.second.idle) EndReceiving(&item.second.socket);
  }
}

std::int32_t ConnectionTable::Served() const {
  std::lock_guard lock(this->mutex);
  return this->served;
}

}  // namespace mustardproxy::http
