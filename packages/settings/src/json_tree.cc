#include "json_tree.h"

#include <utility>

namespace mustardproxy::settings_detail {

JsonNode JsonNode::Bool(bool flag) {
  JsonNode node;
  node.kind = Kind::kBool;
  node.flag = flag;
  return node;
}

JsonNode JsonNode::Integer(std::int64_t integer) {
  JsonNode node;
  node.kind = Kind::kInteger;
  node.integer = integer;
  return node;
}

JsonNode JsonNode::Number(double number) {
  JsonNode node;
  node.kind = Kind::kNumber;
  node.number = number;
  return node;
}

JsonNode JsonNode::Text(std::string text) {
  JsonNode node;
  node.kind = Kind::kText;
  node.text = std::move(text);
  return node;
}

JsonNode JsonNode::Object() {
  JsonNode node;
  node.kind = Kind::kObject;
  return node;
}

JsonNode JsonNode::Array() {
  JsonNode node;
  node.kind = Kind::kArray;
  return node;
}

}  // namespace mustardproxy::settings_detail
