#ifndef MUSTARDPROXY_STANDIN_SRC_REPLY_H_
#define MUSTARDPROXY_STANDIN_SRC_REPLY_H_

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <string>

namespace mustardproxy::standin {

/// A reply that is ready to be sent.
struct Reply {
  Poco::Net::HTTPResponse::HTTPStatus status = Poco::Net::HTTPResponse::HTTP_OK;
  std::string body;
  /// Sent as `X-Consul-Index` unless 0.
  std::uint64_t index = 0;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_REPLY_H_
