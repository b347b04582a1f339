#ifndef MUSTARDPROXY_SETTINGS_FIELD_H_
#define MUSTARDPROXY_SETTINGS_FIELD_H_

#include <string>
#include <string_view>
#include <vector>

#include "json_tree.h"
#include "mustardproxy/settings/fields.h"

namespace mustardproxy::settings_detail {

enum class Presence { kOptional, kRequired };

/// What is common to all fields: name, purpose, and whether it must be given.
struct FieldHead {
  std::string_view name;
  std::string_view meaning;
  Presence presence = Presence::kOptional;
};

/// One field of a JSON object and the member of `T` that it fills.
template <typename T>
class Field {
 public:
  explicit Field(FieldHead head) : head(head) {}
  Field(const Field&) = delete;
  Field& operator=(const Field&) = delete;
  virtual ~Field() = default;

  [[nodiscard]] const FieldHead& Head() const { return this->head; }

  /// Fills the member, or adds problems and leaves it as it is.
  virtual void Read(const JsonNode& node, std::string_view path, T* object,
                    Problems* problems) const = 0;
  [[nodiscard]] virtual JsonNode Write(const T& object) const = 0;
  /// Adds a description of this field, and of those inside it.
  virtual void Describe(const std::string& path, const T& defaults,
                        std::vector<FieldDescription>* fields) const = 0;

 protected:
  /// @return a description with the default read off `defaults`
  [[nodiscard]] FieldDescription Row(const std::string& path,
                                     const T& defaults) const {
    FieldDescription row;
    row.path = path;
    row.meaning = this->head.meaning;
    if (this->head.presence == Presence::kOptional) {
      row.default_value = PrintCompactJson(this->Write(defaults));
    }
    return row;
  }

 private:
  FieldHead head;
};

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_FIELD_H_
