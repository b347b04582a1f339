#ifndef MUSTARDPROXY_SETTINGS_SIMPLE_FIELDS_H_
#define MUSTARDPROXY_SETTINGS_SIMPLE_FIELDS_H_

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "field.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "values.h"

namespace mustardproxy::settings_detail {

/// An integer member of any width; the range keeps it within that width.
template <typename T, typename Value>
class IntegerField final : public Field<T> {
 public:
  IntegerField(FieldHead head, Value T::*member, IntegerRange range)
      : Field<T>(head), member(member), range(range) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    const auto value = ReadInteger(node, path, this->range, problems);
    if (value) object->*this->member = static_cast<Value>(*value);
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    return JsonNode::Integer(static_cast<std::int64_t>(object.*this->member));
  }
  void Describe(const std::string& path, const T& defaults,
                std::vector<FieldDescription>* fields) const override {
    FieldDescription row = this->Row(path, defaults);
    row.type = "integer";
    row.allowed = settings_detail::Describe(this->range);
    fields->push_back(std::move(row));
  }

 private:
  Value T::*member;
  IntegerRange range;
};

/// A length of time, in the file as whole milliseconds.
template <typename T>
class MillisecondsField final : public Field<T> {
 public:
  MillisecondsField(FieldHead head, Duration T::*member, IntegerRange range)
      : Field<T>(head), member(member), range(range) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    const auto value = ReadInteger(node, path, this->range, problems);
    if (value) object->*this->member = std::chrono::milliseconds(*value);
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    return JsonNode::Integer(WholeMilliseconds(object.*this->member));
  }
  void Describe(const std::string& path, const T& defaults,
                std::vector<FieldDescription>* fields) const override {
    FieldDescription row = this->Row(path, defaults);
    row.type = "milliseconds";
    row.allowed = settings_detail::Describe(this->range);
    fields->push_back(std::move(row));
  }

 private:
  Duration T::*member;
  IntegerRange range;
};

/// A number that may have a fraction.
template <typename T>
class NumberField final : public Field<T> {
 public:
  NumberField(FieldHead head, double T::*member, NumberRange range)
      : Field<T>(head), member(member), range(range) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    const auto value = ReadNumber(node, path, this->range, problems);
    if (value) object->*this->member = *value;
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    return JsonNode::Number(object.*this->member);
  }
  void Describe(const std::string& path, const T& defaults,
                std::vector<FieldDescription>* fields) const override {
    FieldDescription row = this->Row(path, defaults);
    row.type = "number";
    row.allowed = settings_detail::Describe(this->range);
    fields->push_back(std::move(row));
  }

 private:
  double T::*member;
  NumberRange range;
};

/// `true` or `false`.
template <typename T>
class BoolField final : public Field<T> {
 public:
  BoolField(FieldHead head, bool T::*member) : Field<T>(head), member(member) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    const auto value = ReadBool(node, path, problems);
    if (value) object->*this->member = *value;
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    return JsonNode::Bool(object.*this->member);
  }
  void Describe(const std::string& path, const T& defaults,
                std::vector<FieldDescription>* fields) const override {
    FieldDescription row = this->Row(path, defaults);
    row.type = "boolean";
    row.allowed = "`true`, `false`";
    fields->push_back(std::move(row));
  }

 private:
  bool T::*member;
};

inline const std::string& TextOf(const std::string& text) { return text; }
template <typename Tag>
const std::string& TextOf(const Id<Tag>& id) {
  return id.Text();
}

/// A string or a name; the rule says which texts are allowed.
template <typename T, typename Value>
class TextField final : public Field<T> {
 public:
  TextField(FieldHead head, Value T::*member,
            std::shared_ptr<const TextRule> rule)
      : Field<T>(head), member(member), rule(std::move(rule)) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    const auto value = ReadText(node, path, *this->rule, problems);
    if (value) object->*this->member = Value(std::string(*value));
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    return JsonNode::Text(TextOf(object.*this->member));
  }
  void Describe(const std::string& path, const T& defaults,
                std::vector<FieldDescription>* fields) const override {
    FieldDescription row = this->Row(path, defaults);
    row.type = "string";
    row.allowed = this->rule->Allowed();
    fields->push_back(std::move(row));
  }

 private:
  Value T::*member;
  std::shared_ptr<const TextRule> rule;
};

/// A word of the file and the enumerator that it stands for.
template <typename Value>
struct Choice {
  std::string_view word;
  Value value;
};

/// An enumeration, in the file as one of a few words.
template <typename T, typename Value>
class ChoiceField final : public Field<T> {
 public:
  ChoiceField(FieldHead head, Value T::*member,
              std::vector<Choice<Value>> choices)
      : Field<T>(head),
        member(member),
        choices(std::move(choices)),
        rule(Words(this->choices)) {}

  void Read(const JsonNode& node, std::string_view path, T* object,
            Problems* problems) const override {
    const auto word = ReadText(node, path, this->rule, problems);
    if (!word) return;
    for (const Choice<Value>& choice : this->choices) {
      if (choice.word == *word) object->*this->member = choice.value;
    }
  }
  [[nodiscard]] JsonNode Write(const T& object) const override {
    for (const Choice<Value>& choice : this->choices) {
      if (choice.value == object.*this->member) {
        return JsonNode::Text(std::string(choice.word));
      }
    }
    return {};
  }
  void Describe(const std::string& path, const T& defaults,
                std::vector<FieldDescription>* fields) const override {
    FieldDescription row = this->Row(path, defaults);
    row.type = "string";
    row.allowed = this->rule.Allowed();
    fields->push_back(std::move(row));
  }

 private:
  static std::vector<std::string_view> Words(
      const std::vector<Choice<Value>>& choices) {
    std::vector<std::string_view> words;
    words.reserve(choices.size());
    for (const Choice<Value>& choice : choices) words.push_back(choice.word);
    return words;
  }

  Value T::*member;
  std::vector<Choice<Value>> choices;
  ChoiceRule rule;
};

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_SIMPLE_FIELDS_H_
