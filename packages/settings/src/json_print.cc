#include <Poco/JSONString.h>

#include <array>
#include <charconv>
#include <string>

#include "json_tree.h"

namespace mustardproxy::settings_detail {
namespace {

constexpr std::size_t kIndent = 2;
constexpr std::size_t kLongestNumber = 32;

std::string PrintNumber(double number) {
  std::array<char, kLongestNumber> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number);
  std::string text(digits.data(), end.ptr);
  // A weight of 1 stays a number that may have a fraction.
  if (text.find_first_of(".e") == std::string::npos) text += ".0";
  return text;
}

/// Writes nodes in one of two layouts.
class Printer {
 public:
  explicit Printer(bool indented) : indented(indented) {}

  void Print(const JsonNode& node, std::size_t depth);

  std::string out;

 private:
  void PrintMembers(const JsonNode& node, std::size_t depth);
  void PrintItems(const JsonNode& node, std::size_t depth);
  void BreakLine(std::size_t depth);

  bool indented;
};

void Printer::Print(const JsonNode& node, std::size_t depth) {
  switch (node.kind) {
    case JsonNode::Kind::kNull:
      this->out += "null";
      break;
    case JsonNode::Kind::kBool:
      this->out += node.flag ? "true" : "false";
      break;
    case JsonNode::Kind::kInteger:
      this->out += std::to_string(node.integer);
      break;
    case JsonNode::Kind::kNumber:
      this->out += PrintNumber(node.number);
      break;
    case JsonNode::Kind::kText:
      this->out += Poco::toJSON(node.text);
      break;
    case JsonNode::Kind::kObject:
      this->PrintMembers(node, depth);
      break;
    case JsonNode::Kind::kArray:
      this->PrintItems(node, depth);
      break;
  }
}

void Printer::PrintMembers(const JsonNode& node, std::size_t depth) {
  this->out += '{';
  bool first = true;
  for (const JsonMember& member : node.members) {
    if (!first) this->out += ',';
    if (!first && !this->indented) this->out += ' ';
    first = false;
    this->BreakLine(depth + 1);
    this->out += Poco::toJSON(member.name);
    this->out += ": ";
    this->Print(member.value, depth + 1);
  }
  if (!node.members.empty()) this->BreakLine(depth);
  this->out += '}';
}

void Printer::PrintItems(const JsonNode& node, std::size_t depth) {
  this->out += '[';
  bool first = true;
  for (const JsonNode& item : node.items) {
    if (!first) this->out += ',';
    if (!first && !this->indented) this->out += ' ';
    first = false;
    this->BreakLine(depth + 1);
    this->Print(item, depth + 1);
  }
  if (!node.items.empty()) this->BreakLine(depth);
  this->out += ']';
}

void Printer::BreakLine(std::size_t depth) {
  if (!this->indented) return;
  this->out += '\n';
  this->out.append(depth * kIndent, ' ');
}

}  // namespace

std::string PrintJson(const JsonNode& node) {
  Printer printer(true);
  printer.Print(node, 0);
  return printer.out + "\n";
}

std::string PrintCompactJson(const JsonNode& node) {
  Printer printer(false);
  printer.Print(node, 0);
  return printer.out;
}

}  // namespace mustardproxy::settings_detail
