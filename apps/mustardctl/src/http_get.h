#ifndef MUSTARDPROXY_MUSTARDCTL_HTTP_GET_H_
#define MUSTARDPROXY_MUSTARDCTL_HTTP_GET_H_

#include <string>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::ctl {

/// One call of an HTTP server.
struct HttpQuery {
  std::string method;
  std::string path;
  std::string body;
};

/// Its answer, whatever the status.
struct HttpText {
  int status = 0;
  std::string body;
};

/// Calls the HTTP server at `address` (`ip:port`).
/// @param timeout for the whole call, however slowly the bytes come
/// @return a `std::errc` of the connection, or `Error::kMalformedReply`
[[nodiscard]] Result<HttpText> HttpCall(const std::string& address,
                                        const HttpQuery& query,
                                        Duration timeout);

/// Reads `path` from the HTTP server at `address` (`ip:port`).
/// @param timeout for the whole call, however slowly the bytes come
/// @return the body of a 200 answer; else a `std::errc` of the connection, or
///   `Error::kMalformedReply`
[[nodiscard]] Result<std::string> HttpGet(const std::string& address,
                                          const std::string& path,
                                          Duration timeout);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_HTTP_GET_H_
