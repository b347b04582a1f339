#ifndef MUSTARDPROXY_SETTINGS_TESTS_FILES_H_
#define MUSTARDPROXY_SETTINGS_TESTS_FILES_H_

#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mustardproxy/settings/load.h"

namespace mustardproxy::testing {

/// @return the content of a file below the source folder
inline std::string ReadSource(const std::string& path) {
  std::ifstream file(MUSTARDPROXY_SOURCE_DIR "/" + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// @return `text` with the first `from` replaced by `to`; empty if it is absent
inline std::string Replaced(std::string text, std::string_view from,
                            std::string_view to) {
  const std::size_t at = text.find(from);
  if (at == std::string::npos) return {};
  return text.replace(at, from.size(), to);
}

/// @return `path: reason` of each problem, empty if the text was taken
template <typename T>
std::vector<std::string> PathsAndReasons(
    const std::variant<T, Problems>& parsed) {
  std::vector<std::string> lines;
  if (std::holds_alternative<T>(parsed)) return lines;
  for (const Problem& problem : std::get<Problems>(parsed)) {
    lines.push_back(problem.path + ": " + problem.reason.message());
  }
  return lines;
}

/// The smallest settings that are valid.
inline constexpr std::string_view kSmallSettings = R"({
  "customer": "dlonie", "process": "waw1-a", "data_center": "waw1",
  "platform_url": "http://127.0.0.1:8500"
})";

/// A small valid configuration.
inline constexpr std::string_view kSmallConfiguration = R"({
  "default_team": "dlonie",
  "profiles": {
    "urgent": {"max_wait_ms": 2000},
    "matching": {"max_wait_ms": 60000, "gang": true}
  },
  "services": {
    "screen": {"profile": "urgent",
               "resources": {"cpu_milli": 1000, "memory_mb": 512}},
    "match": {"profile": "matching", "tasks": 4,
              "resources": {"cpu_milli": 4000, "memory_mb": 1024}}
  },
  "teams": {"dlonie": {}, "addis": {"weight": 0.5, "quota": {"slots": 8}}}
})";

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_SETTINGS_TESTS_FILES_H_
