#ifndef MUSTARDPROXY_SETTINGS_NESTED_FIELDS_H_
#define MUSTARDPROXY_SETTINGS_NESTED_FIELDS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mustardproxy/core/error.h"
#include "schema.h"
#include "simple_fields.h"

namespace mustardproxy::settings_detail {

/// An object inside the object.
template <typename T, typename Value>
class ObjectField final : public Field<T> {
 public:
  ObjectField(FieldHead head, Value T::*member, Schema<Value> schema)
      : Field<T>(head), member(member), schema(std::move(schema)) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    Value value = this->schema.Defaults();
    this->schema.Read(node, path, &value, problems);
    object->*this->member = std::move(value);
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    return this->schema.Write(object.*this->member);
  }
  void Describe(const std::string& path, const T& /*defaults*/,
                std::vector<FieldDescription>* fields) const override {
    this->schema.Describe(path, fields);
  }

 private:
  Value T::*member;
  Schema<Value> schema;
};

/// A bounded array of objects.
template <typename T, typename Value>
class ListField final : public Field<T> {
 public:
  ListField(FieldHead head, std::vector<Value> T::*member, std::size_t most,
            Schema<Value> schema)
      : Field<T>(head), member(member), most(most), schema(std::move(schema)) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    if (!CheckKind(node, JsonNode::Kind::kArray, path, "an array", problems) ||
        !CheckCount(node.items.size(), this->most, path, problems)) {
      return;
    }
    auto& values = object->*this->member;
    for (const JsonNode& item : node.items) {
      Value value = this->schema.Defaults();
      this->schema.Read(item, JoinIndex(path, values.size()), &value, problems);
      values.push_back(std::move(value));
    }
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    JsonNode node = JsonNode::Array();
    for (const Value& value : object.*this->member) {
      node.items.push_back(this->schema.Write(value));
    }
    return node;
  }
  void Describe(const std::string& path, const T& defaults,
                std::vector<FieldDescription>* fields) const override {
    FieldDescription row = this->Row(path, defaults);
    row.type = "array";
    row.allowed = "up to " + std::to_string(this->most) + " entries";
    fields->push_back(std::move(row));
    this->schema.Describe(path + "[]", fields);
  }

 private:
  std::vector<Value> T::*member;
  std::size_t most;
  Schema<Value> schema;
};

/// A bounded object whose field names are names chosen by the operator.
template <typename T, typename Key, typename Value>
class MapField final : public Field<T> {
 public:
  MapField(FieldHead head, std::map<Key, Value> T::*member, Key Value::*id,
           std::size_t most, Schema<Value> schema)
      : Field<T>(head),
        member(member),
        id(id),
        most(most),
        schema(std::move(schema)) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    if (!CheckKind(node, JsonNode::Kind::kObject, path, "an object",
                   problems) ||
        !CheckCount(node.members.size(), this->most, path, problems)) {
      return;
    }
    for (const JsonMember& entry : node.members) {
      this->ReadEntry(entry, JoinName(path, entry.name), object, problems);
    }
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    JsonNode node = JsonNode::Object();
    for (const auto& [key, value] : object.*this->member) {
      node.members.push_back({key.Text(), this->schema.Write(value)});
    }
    return node;
  }
  void Describe(const std::string& path, const T& defaults,
                std::vector<FieldDescription>* fields) const override {
    FieldDescription row = this->Row(path, defaults);
    row.type = "object";
    row.allowed = "up to " + std::to_string(this->most) +
                  " entries, each under its name (" + this->rule.Allowed() +
                  ")";
    fields->push_back(std::move(row));
    this->schema.Describe(path + ".NAME", fields);
  }

 private:
  void ReadEntry(const JsonMember& entry, std::string_view path, T* object,
                 Problems* problems) const {
    if (!this->rule.Allows(entry.name)) {
      problems->push_back({std::string(path), Error::kOutOfRange,
                           "name allowed: " + this->rule.Allowed()});
      return;
    }
    Key key(entry.name);
    Value value = this->schema.Defaults();
    value.*this->id = key;
    this->schema.Read(entry.value, path, &value, problems);
    (object->*this->member).insert_or_assign(std::move(key), std::move(value));
  }

  std::map<Key, Value> T::*member;
  Key Value::*id;
  std::size_t most;
  Schema<Value> schema;
  NameRule rule;
};

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_NESTED_FIELDS_H_
