#ifndef MUSTARDPROXY_SETTINGS_VALUES_H_
#define MUSTARDPROXY_SETTINGS_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "json_tree.h"
#include "text_rule.h"

namespace mustardproxy::settings_detail {

/// Both ends are allowed.
struct IntegerRange {
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
};

/// Both ends are allowed.
struct NumberRange {
  double lowest = 0;
  double highest = 0;
};

[[nodiscard]] std::string Describe(const IntegerRange& range);
[[nodiscard]] std::string Describe(const NumberRange& range);

/// Each reader returns nothing, and adds a problem, if the node does not hold
/// what is asked for.
[[nodiscard]] std::optional<std::int64_t> ReadInteger(const JsonNode& node,
                                                      std::string_view path,
                                                      IntegerRange range,
                                                      Problems* problems);
[[nodiscard]] std::optional<double> ReadNumber(const JsonNode& node,
                                               std::string_view path,
                                               NumberRange range,
                                               Problems* problems);
[[nodiscard]] std::optional<bool> ReadBool(const JsonNode& node,
                                           std::string_view path,
                                           Problems* problems);
[[nodiscard]] std::optional<std::string_view> ReadText(const JsonNode& node,
                                                       std::string_view path,
                                                       const TextRule& rule,
                                                       Problems* problems);

/// @return true if the node is of that kind; else a problem is added
bool CheckKind(const JsonNode& node, JsonNode::Kind kind, std::string_view path,
               std::string_view wanted, Problems* problems);
/// @return true if there are no more than `most` entries; else a problem is
///   added
bool CheckCount(std::size_t count, std::size_t most, std::string_view path,
                Problems* problems);

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_VALUES_H_
