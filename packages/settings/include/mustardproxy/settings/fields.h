#ifndef MUSTARDPROXY_SETTINGS_FIELDS_H_
#define MUSTARDPROXY_SETTINGS_FIELDS_H_

#include <span>
#include <string>
#include <vector>

namespace mustardproxy {

/// One field of a file as the checker knows it.
struct FieldDescription {
  /// For example `peers[].address` or `profiles.NAME.priority`.
  std::string path;
  std::string type;
  /// Range or set of allowed values.
  std::string allowed;
  /// Empty if the field must be given.
  std::string default_value;
  std::string meaning;
};

/// @return every field of the settings file, in order
[[nodiscard]] std::vector<FieldDescription> SettingsFields();
/// @return every field of the settings file of `mustardproxy cell`, in order
[[nodiscard]] std::vector<FieldDescription> CellSettingsFields();
/// @return every field of the configuration document, in order
[[nodiscard]] std::vector<FieldDescription> ConfigurationFields();

/// @return the fields as rows of a Markdown table, as docs/SETTINGS.md holds
///   them
[[nodiscard]] std::string FormatFieldTable(
    std::span<const FieldDescription> fields);

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_SETTINGS_FIELDS_H_
