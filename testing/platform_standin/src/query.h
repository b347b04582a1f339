#ifndef MUSTARDPROXY_STANDIN_SRC_QUERY_H_
#define MUSTARDPROXY_STANDIN_SRC_QUERY_H_

#include <Poco/URI.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardproxy::standin {

/// How long a waiting call waits if it does not say.
inline constexpr std::chrono::milliseconds kDefaultWait =
    std::chrono::minutes(5);

/// The parameters of a key-value call.
struct Query {
  bool recurse = false;
  bool keys = false;
  std::optional<std::uint64_t> index;
  std::optional<std::uint64_t> cas;
  /// The session that the key is to be held by.
  std::optional<std::string> acquire;
  std::chrono::milliseconds wait = kDefaultWait;
};

/// Throws Poco::DataFormatException if a parameter can not be read.
[[nodiscard]] Query ParseQuery(const Poco::URI& uri);

/// Reads `10s` or `250ms`. Throws Poco::DataFormatException.
[[nodiscard]] std::chrono::milliseconds ParseDuration(std::string_view text);

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_QUERY_H_
