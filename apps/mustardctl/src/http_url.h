#ifndef MUSTARDPROXY_MUSTARDCTL_HTTP_URL_H_
#define MUSTARDPROXY_MUSTARDCTL_HTTP_URL_H_

#include <optional>
#include <string>
#include <string_view>

namespace mustardproxy::ctl {

/// @return `ip:port` of `http://ip:port` with or without a `/` at its end;
///   nothing for any other text
[[nodiscard]] std::optional<std::string> AddressOfUrl(std::string_view url);

}  // namespace mustardproxy::ctl

#endif  // MUSTARDPROXY_MUSTARDCTL_HTTP_URL_H_
