#ifndef MUSTARDPROXY_GATEWAY_HEADER_CHECK_H_
#define MUSTARDPROXY_GATEWAY_HEADER_CHECK_H_

#include <Poco/Net/HTTPRequest.h>

#include <string>
#include <string_view>

#include "mustardproxy/core/time.h"

namespace mustardproxy::gateway_detail {

inline constexpr std::size_t kMaxKeyLength = 128;
inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxRequestIdLength = 160;

/// @return true for 1 to `max_length` letters, digits and characters of `marks`
[[nodiscard]] bool IsName(std::string_view text, std::size_t max_length,
                          std::string_view marks);
/// @return true for what can be a service's or team's name
[[nodiscard]] bool IsServiceName(std::string_view text);
[[nodiscard]] bool IsRequestId(std::string_view text);

/// What a caller said about its request besides the body.
struct CallerHeaders {
  std::string key;
  std::string team;
  Duration timeout{0};
};

/// Checks the headers that later reach logs, keys of the platform and peers.
/// @param max_timeout largest timeout a caller may give
/// @return a sentence that names the first header at fault; empty if none is
[[nodiscard]] std::string CheckHeaders(const Poco::Net::HTTPRequest& header,
                                       Duration max_timeout,
                                       CallerHeaders* headers);

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_HEADER_CHECK_H_
