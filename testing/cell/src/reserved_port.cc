#include "cell/reserved_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace mustardproxy::cell {

ReservedPort::ReservedPort()
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  int on = 1;
  setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(this->descriptor, generic, length) != 0 ||
      getsockname(this->descriptor, generic, &length) != 0) {
    throw std::runtime_error("no port can be reserved");
  }
  this->number = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort() {
  if (this->descriptor >= 0) close(this->descriptor);
}

ReservedPort::ReservedPort(ReservedPort&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)), number(other.number) {}

std::string ReservedPort::Address() const {
  return "127.0.0.1:" + std::to_string(this->number);
}

std::string ReservedPort::Url() const { return "http://" + this->Address(); }

}  // namespace mustardproxy::cell
