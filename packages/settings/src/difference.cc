#include <algorithm>
#include <string>
#include <utility>

#include "configuration_schema.h"
#include "json_tree.h"
#include "mustardproxy/settings/load.h"
#include "paths.h"

namespace mustardproxy {
namespace {

using settings_detail::JsonMember;
using settings_detail::JsonNode;

const JsonNode* Find(const JsonNode& node, std::string_view name) {
  const auto found = std::find_if(
      node.members.begin(), node.members.end(),
      [name](const JsonMember& member) { return member.name == name; });
  return found == node.members.end() ? nullptr : &found->value;
}

void Compare(const JsonNode& before, const JsonNode& after,
             const std::string& path, std::vector<std::string>* lines) {
  if (after.kind != JsonNode::Kind::kObject) {
    const std::string old_value = PrintCompactJson(before);
    const std::string new_value = PrintCompactJson(after);
    if (old_value == new_value) return;
    lines->push_back("~ " + path + ": " + old_value + " -> " + new_value);
    return;
  }
  for (const JsonMember& member : before.members) {
    if (Find(after, member.name) != nullptr) continue;
    lines->push_back("- " + settings_detail::JoinName(path, member.name) +
                     ": " + PrintCompactJson(member.value));
  }
  for (const JsonMember& member : after.members) {
    const std::string inner = settings_detail::JoinName(path, member.name);
    const JsonNode* const old_value = Find(before, member.name);
    if (old_value != nullptr) {
      Compare(*old_value, member.value, inner, lines);
    } else {
      lines->push_back("+ " + inner + ": " + PrintCompactJson(member.value));
    }
  }
}

}  // namespace

std::vector<std::string> DescribeDifference(const Configuration& before,
                                            const Configuration& after) {
  Configuration same_version = after;
  same_version.version = before.version;
  const auto& schema = settings_detail::ConfigurationSchema();
  std::vector<std::string> lines;
  Compare(schema.Write(before), schema.Write(same_version), "", &lines);
  return lines;
}

}  // namespace mustardproxy
