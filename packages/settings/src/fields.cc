#include "mustardproxy/settings/fields.h"

#include "cell_schema.h"
#include "configuration_schema.h"
#include "settings_schema.h"

namespace mustardproxy {

std::vector<FieldDescription> SettingsFields() {
  std::vector<FieldDescription> fields;
  settings_detail::SettingsSchema().Describe("", &fields);
  return fields;
}

std::vector<FieldDescription> CellSettingsFields() {
  std::vector<FieldDescription> fields;
  settings_detail::CellSchema().Describe("", &fields);
  return fields;
}

std::vector<FieldDescription> ConfigurationFields() {
  std::vector<FieldDescription> fields;
  settings_detail::ConfigurationSchema().Describe("", &fields);
  return fields;
}

std::string FormatFieldTable(std::span<const FieldDescription> fields) {
  std::string table =
      "| field | type | allowed | default | meaning |\n|---|---|---|---|---|\n";
  for (const FieldDescription& field : fields) {
    const bool required = field.default_value.empty();
    table += "| `" + field.path + "` | " + field.type + " | " + field.allowed;
    table += required ? " | required" : " | `" + field.default_value + "`";
    table += " | " + field.meaning + " |\n";
  }
  return table;
}

}  // namespace mustardproxy
