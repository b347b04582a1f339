#ifndef MUSTARDPROXY_PROCESS_FAULTS_RAW_CALLER_H_
#define MUSTARDPROXY_PROCESS_FAULTS_RAW_CALLER_H_

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <cstddef>
#include <string>

#include "fixture.h"

namespace mustardproxy::process_faults {

/// A caller's connection, open until the object goes.
inline Poco::Net::StreamSocket Connect(const Cell& cell,
                                       const std::string& entry) {
  Poco::URI url(cell.Url(entry));
  Poco::Net::SocketAddress address(url.getHost(), url.getPort());
  return Poco::Net::StreamSocket(address);
}

/// Sends as much as the other end takes.
inline void SendText(Poco::Net::StreamSocket* socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    int part = socket->sendBytes(text.data() + sent,
                                 static_cast<int>(text.size() - sent));
    if (part <= 0) return;
    sent += static_cast<std::size_t>(part);
  }
}

/// @return a request with a long timeout, as text
inline std::string Post(const std::string& body) {
  return "POST /v1/services/screen HTTP/1.1\r\nHost: cell\r\n"
         "Mustardproxy-Timeout-Ms: 60000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace mustardproxy::process_faults

#endif  // MUSTARDPROXY_PROCESS_FAULTS_RAW_CALLER_H_
