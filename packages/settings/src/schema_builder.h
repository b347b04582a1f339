#ifndef MUSTARDPROXY_SETTINGS_SCHEMA_BUILDER_H_
#define MUSTARDPROXY_SETTINGS_SCHEMA_BUILDER_H_

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "nested_fields.h"
#include "schema.h"
#include "simple_fields.h"

namespace mustardproxy::settings_detail {

/// Makes a `Schema`, one field a call. A field is optional unless `Required()`
/// comes before it.
///
/// @code
/// Schema<ListenSettings>::Builder()
///     .Text("host", &ListenSettings::host, HostRule(), "own address")
///     .Integer("port", &ListenSettings::port, {0, 65535}, "port")
///     .Build();
/// @endcode
template <typename T>
class Schema<T>::Builder {
 public:
  Builder() = default;
  /// @param defaults values of fields that are left out
  explicit Builder(T defaults) { this->schema.defaults = std::move(defaults); }

  /// The next field must be given.
  Builder& Required() {
    this->presence = Presence::kRequired;
    return *this;
  }
  template <typename Value>
  Builder& Integer(std::string_view name, Value T::*member, IntegerRange range,
                   std::string_view meaning) {
    return this->Add<IntegerField<T, Value>>(name, meaning, member, range);
  }
  Builder& Milliseconds(std::string_view name, Duration T::*member,
                        IntegerRange range, std::string_view meaning) {
    return this->Add<MillisecondsField<T>>(name, meaning, member, range);
  }
  Builder& Number(std::string_view name, double T::*member, NumberRange range,
                  std::string_view meaning) {
    return this->Add<NumberField<T>>(name, meaning, member, range);
  }
  Builder& Bool(std::string_view name, bool T::*member,
                std::string_view meaning) {
    return this->Add<BoolField<T>>(name, meaning, member);
  }
  template <typename Value>
  Builder& Text(std::string_view name, Value T::*member,
                std::shared_ptr<const TextRule> rule,
                std::string_view meaning) {
    return this->Add<TextField<T, Value>>(name, meaning, member,
                                          std::move(rule));
  }
  template <typename Value>
  Builder& Name(std::string_view name, Value T::*member,
                std::string_view meaning) {
    return this->Text(name, member, std::make_shared<NameRule>(), meaning);
  }
  template <typename Value>
  Builder& OneOf(std::string_view name, Value T::*member,
                 std::vector<Choice<Value>> choices, std::string_view meaning) {
    return this->Add<ChoiceField<T, Value>>(name, meaning, member,
                                            std::move(choices));
  }
  template <typename Value>
  Builder& Object(std::string_view name, Value T::*member,
                  Schema<Value> inner) {
    return this->Add<ObjectField<T, Value>>(name, "an object with its fields",
                                            member, std::move(inner));
  }
  template <typename Value>
  Builder& List(std::string_view name, std::vector<Value> T::*member,
                std::size_t most, Schema<Value> inner,
                std::string_view meaning) {
    return this->Add<ListField<T, Value>>(name, meaning, member, most,
                                          std::move(inner));
  }
  template <typename Key, typename Value>
  Builder& Map(std::string_view name, std::map<Key, Value> T::*member,
               Key Value::*id, std::size_t most, Schema<Value> inner,
               std::string_view meaning) {
    return this->Add<MapField<T, Key, Value>>(name, meaning, member, id, most,
                                              std::move(inner));
  }
  [[nodiscard]] Schema Build() { return std::move(this->schema); }

 private:
  template <typename FieldType, typename... Arguments>
  Builder& Add(std::string_view name, std::string_view meaning,
               Arguments... arguments) {
    const FieldHead head{name, meaning, this->presence};
    this->presence = Presence::kOptional;
    this->schema.fields.push_back(
        std::make_shared<FieldType>(head, std::move(arguments)...));
    return *this;
  }

  Schema schema;
  Presence presence = Presence::kOptional;
};

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_SCHEMA_BUILDER_H_
