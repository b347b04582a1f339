#include "connections.h"

#include <Poco/Exception.h>

namespace mustardproxy::standin {

void Connections::Add(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(this->mutex);
  this->open[socket.peerAddress().toString()] =
      std::make_shared<Connection>(socket);
}

void Connections::Remove(const std::string& peer) {
  const std::lock_guard lock(this->mutex);
  this->open.erase(peer);
}

std::shared_ptr<Connection> Connections::Find(const std::string& peer) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->open.find(peer);
  return found == this->open.end() ? nullptr : found->second;
}

void Connections::SilenceAll() {
  const std::lock_guard lock(this->mutex);
  for (auto& [peer, connection] : this->open) connection->silent = true;
}

void Connections::CloseAll() {
  const std::lock_guard lock(this->mutex);
  for (auto& [peer, connection] : this->open) {
    try {
      connection->socket.shutdown();
    } catch (const Poco::Exception&) {
      continue;  // The peer was faster.
    }
  }
}

}  // namespace mustardproxy::standin
