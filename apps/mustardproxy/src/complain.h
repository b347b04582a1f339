#ifndef MUSTARDPROXY_APP_COMPLAIN_H_
#define MUSTARDPROXY_APP_COMPLAIN_H_

#include <optional>
#include <ostream>
#include <string_view>
#include <utility>
#include <variant>

#include "mustardproxy/settings/load.h"

namespace mustardproxy {

/// @param prefix stands before each line of complaint
/// @return the settings; nothing after a complaint of each problem
template <typename Loaded>
[[nodiscard]] std::optional<Loaded> TakeOrComplain(
    std::variant<Loaded, Problems> loaded, std::string_view prefix,
    std::ostream& errors) {
  if (auto* settings = std::get_if<Loaded>(&loaded)) {
    return std::move(*settings);
  }
  for (const Problem& problem : std::get<Problems>(loaded)) {
    errors << prefix << FormatProblem(problem) << '\n';
  }
  return std::nullopt;
}

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_COMPLAIN_H_
