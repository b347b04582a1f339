#include "values.h"

#include "mustardproxy/core/error.h"
#include "paths.h"

namespace mustardproxy::settings_detail {
namespace {

std::string_view KindName(JsonNode::Kind kind) {
  switch (kind) {
    case JsonNode::Kind::kNull:
      return "null";
    case JsonNode::Kind::kBool:
      return "true or false";
    case JsonNode::Kind::kInteger:
      return "an integer";
    case JsonNode::Kind::kNumber:
      return "a number with a fraction or exponent";
    case JsonNode::Kind::kText:
      return "a string";
    case JsonNode::Kind::kObject:
      return "an object";
    case JsonNode::Kind::kArray:
      return "an array";
  }
  return "";
}

void AddWrongType(const JsonNode& node, std::string_view path,
                  std::string_view wanted, Problems* problems) {
  std::string detail = "found ";
  detail += KindName(node.kind);
  detail += ", allowed: ";
  detail += wanted;
  problems->push_back(
      {std::string(path), Error::kWrongType, std::move(detail)});
}

void AddOutOfRange(std::string_view found, std::string_view path,
                   std::string_view allowed, Problems* problems) {
  std::string detail = "found ";
  detail += found;
  detail += ", allowed: ";
  detail += allowed;
  problems->push_back(
      {std::string(path), Error::kOutOfRange, std::move(detail)});
}

}  // namespace

std::string Describe(const IntegerRange& range) {
  return std::to_string(range.lowest) + " to " + std::to_string(range.highest);
}

std::string Describe(const NumberRange& range) {
  return PrintCompactJson(JsonNode::Number(range.lowest)) + " to " +
         PrintCompactJson(JsonNode::Number(range.highest));
}

std::optional<std::int64_t> ReadInteger(const JsonNode& node,
                                        std::string_view path,
                                        IntegerRange range,
                                        Problems* problems) {
  if (node.kind != JsonNode::Kind::kInteger) {
    AddWrongType(node, path, "an integer, " + Describe(range), problems);
    return std::nullopt;
  }
  if (node.integer < range.lowest || node.integer > range.highest) {
    AddOutOfRange(std::to_string(node.integer), path, Describe(range),
                  problems);
    return std::nullopt;
  }
  return node.integer;
}

std::optional<double> ReadNumber(const JsonNode& node, std::string_view path,
                                 NumberRange range, Problems* problems) {
  const bool integer = node.kind == JsonNode::Kind::kInteger;
  if (!integer && node.kind != JsonNode::Kind::kNumber) {
    AddWrongType(node, path, "a number, " + Describe(range), problems);
    return std::nullopt;
  }
  const double number =
      integer ? static_cast<double>(node.integer) : node.number;
  // Written so that a value that compares with nothing is refused too.
  if (!(number >= range.lowest && number <= range.highest)) {
    AddOutOfRange(PrintCompactJson(JsonNode::Number(number)), path,
                  Describe(range), problems);
    return std::nullopt;
  }
  return number;
}

std::optional<bool> ReadBool(const JsonNode& node, std::string_view path,
                             Problems* problems) {
  if (!CheckKind(node, JsonNode::Kind::kBool, path, "true or false",
                 problems)) {
    return std::nullopt;
  }
  return node.flag;
}

std::optional<std::string_view> ReadText(const JsonNode& node,
                                         std::string_view path,
                                         const TextRule& rule,
                                         Problems* problems) {
  if (!CheckKind(node, JsonNode::Kind::kText, path,
                 "a string, " + rule.Allowed(), problems)) {
    return std::nullopt;
  }
  if (!rule.Allows(node.text)) {
    std::string quoted(1, '"');
    quoted += OneLine(node.text);
    quoted += '"';
    AddOutOfRange(quoted, path, rule.Allowed(), problems);
    return std::nullopt;
  }
  return node.text;
}

bool CheckKind(const JsonNode& node, JsonNode::Kind kind, std::string_view path,
               std::string_view wanted, Problems* problems) {
  if (node.kind == kind) return true;
  AddWrongType(node, path, wanted, problems);
  return false;
}

bool CheckCount(std::size_t count, std::size_t most, std::string_view path,
                Problems* problems) {
  if (count <= most) return true;
  AddOutOfRange(std::to_string(count) + " entries", path,
                "up to " + std::to_string(most), problems);
  return false;
}

}  // namespace mustardproxy::settings_detail
