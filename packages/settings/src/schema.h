#ifndef MUSTARDPROXY_SETTINGS_SCHEMA_H_
#define MUSTARDPROXY_SETTINGS_SCHEMA_H_

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "field.h"
#include "mustardproxy/core/error.h"
#include "paths.h"
#include "values.h"

namespace mustardproxy::settings_detail {

/// The fields of a JSON object that fills a `T`: one table from which files are
/// read, written and documented, so that the three can not differ.
template <typename T>
class Schema {
 public:
  class Builder;

  /// @return an object with the defaults of fields that are left out
  [[nodiscard]] const T& Defaults() const { return this->defaults; }

  /// Fills `object` and adds a problem for each field that is unknown, missing
  /// or wrong.
  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const {
    if (!CheckKind(node, JsonNode::Kind::kObject, path, "an object",
                   problems)) {
      return;
    }
    for (const JsonMember& member : node.members) {
      this->ReadMember(member, JoinName(path, member.name), object, problems);
    }
    this->FindMissing(node, path, problems);
  }

  [[nodiscard]] JsonNode Write(const T& object) const {
    JsonNode node = JsonNode::Object();
    for (const auto& field : this->fields) {
      node.members.push_back(
          {std::string(field->Head().name), field->Write(object)});
    }
    return node;
  }

  void Describe(const std::string& path,
                std::vector<FieldDescription>* rows) const {
    std::string prefix = path;
    if (!prefix.empty()) prefix += '.';
    for (const auto& field : this->fields) {
      std::string inner = prefix;
      inner += field->Head().name;
      field->Describe(inner, this->defaults, rows);
    }
  }

 private:
  using FieldPointer = std::shared_ptr<const Field<T>>;

  void ReadMember(const JsonMember& member, std::string_view path, T* object,
                  Problems* problems) const {
    for (const FieldPointer& field : this->fields) {
      if (field->Head().name == member.name) {
        field->Read(member.value, path, object, problems);
        return;
      }
    }
    problems->push_back(
        {std::string(path), Error::kUnknownField, "allowed: " + this->Names()});
  }

  void FindMissing(const JsonNode& node, std::string_view path,
                   Problems* problems) const {
    for (const FieldPointer& field : this->fields) {
      const FieldHead& head = field->Head();
      if (head.presence == Presence::kOptional) continue;
      const bool given = std::any_of(
          node.members.begin(), node.members.end(),
          [&head](const auto& member) { return member.name == head.name; });
      if (given) continue;
      problems->push_back(
          {JoinName(path, head.name), Error::kMissingField, ""});
      problems->back().detail = head.meaning;
    }
  }

  [[nodiscard]] std::string Names() const {
    std::string names;
    for (const FieldPointer& field : this->fields) {
      if (!names.empty()) names += ", ";
      names += field->Head().name;
    }
    return names;
  }

  T defaults;
  std::vector<FieldPointer> fields;
};

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_SCHEMA_H_
