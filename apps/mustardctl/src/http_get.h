#ifndef MUSTARDPROXY_MUSTARDCTL_HTTP_GET_H_
#define MUSTARDPROXY_MUSTARDCTL_HTTP_GET_H_

#include <string>

#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::ctl {

/// Reads `path` from the HTTP server at `address` (`ip:port`).
/// @param timeout for the whole call, however slowly the bytes come
/// @return the body of a 200 answer; else a `std::errc` of the connection, or
///   `Error::kMalformedReply`
[[nodiscard]] Result<std::string> HttpGet(const std::string& address,
                                          const std::string& path,
                                          Duration timeout);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_HTTP_GET_H_
