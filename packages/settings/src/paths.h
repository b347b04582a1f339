#ifndef MUSTARDPROXY_SETTINGS_PATHS_H_
#define MUSTARDPROXY_SETTINGS_PATHS_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace mustardproxy::settings_detail {

/// @return text from a file as one short line of printable ASCII: long text is
///   cut, other bytes are replaced
[[nodiscard]] std::string OneLine(std::string_view text);

/// @return `parent.name`, or `parent["name"]` for a name that holds more than
///   letters, digits, `-` and `_`
[[nodiscard]] std::string JoinName(std::string_view parent,
                                   std::string_view name);
/// @return `parent[index]`
[[nodiscard]] std::string JoinIndex(std::string_view parent, std::size_t index);

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_PATHS_H_
