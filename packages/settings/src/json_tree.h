#ifndef MUSTARDPROXY_SETTINGS_JSON_TREE_H_
#define MUSTARDPROXY_SETTINGS_JSON_TREE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mustardproxy/settings/load.h"

namespace mustardproxy::settings_detail {

struct JsonMember;

/// A JSON value that keeps the order of its fields.
struct JsonNode {
  enum class Kind { kNull, kBool, kInteger, kNumber, kText, kObject, kArray };

  Kind kind = Kind::kNull;
  bool flag = false;
  std::int64_t integer = 0;
  double number = 0;
  std::string text;
  std::vector<JsonMember> members;
  std::vector<JsonNode> items;

  [[nodiscard]] static JsonNode Bool(bool flag);
  [[nodiscard]] static JsonNode Integer(std::int64_t integer);
  [[nodiscard]] static JsonNode Number(double number);
  [[nodiscard]] static JsonNode Text(std::string text);
  [[nodiscard]] static JsonNode Object();
  [[nodiscard]] static JsonNode Array();
};

/// A field of an object.
struct JsonMember {
  std::string name;
  JsonNode value;
};

/// What a text may cost before it is refused.
struct JsonLimits {
  std::size_t max_bytes = 0;
  std::size_t max_depth = 0;
  std::size_t max_values = 0;
};

/// A parsed text and what was found wrong on the way.
struct ParsedJson {
  JsonNode root;
  /// Either one problem of syntax or size, and `root` is null; or all duplicate
  /// fields, of which `root` holds the first.
  Problems problems;
};

/// Parses JSON with `//` and block comments. Never throws.
[[nodiscard]] ParsedJson ParseJson(std::string_view text,
                                   const JsonLimits& limits);

/// @return the node as indented JSON with a final line break
[[nodiscard]] std::string PrintJson(const JsonNode& node);
/// @return the node as JSON on one line
[[nodiscard]] std::string PrintCompactJson(const JsonNode& node);

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_JSON_TREE_H_
