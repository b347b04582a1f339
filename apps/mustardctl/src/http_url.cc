#include "http_url.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace mustardproxy::ctl {
namespace {

constexpr std::string_view kScheme = "http://";

}  // namespace

std::optional<std::string> AddressOfUrl(std::string_view url) {
  if (!url.starts_with(kScheme)) return std::nullopt;
  std::string_view rest = url.substr(kScheme.size());
  if (rest.ends_with('/')) rest.remove_suffix(1);
  const bool ip = rest.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
                  std::string_view::npos;
  if (!ip || rest.find(':') == std::string_view::npos) return std::nullopt;
  try {
    const Poco::Net::SocketAddress address{std::string(rest)};
    if (address.port() == 0) return std::nullopt;
    return address.toString();
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace mustardproxy::ctl
