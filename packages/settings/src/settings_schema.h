#ifndef MUSTARDPROXY_SETTINGS_SETTINGS_SCHEMA_H_
#define MUSTARDPROXY_SETTINGS_SETTINGS_SCHEMA_H_

#include <string_view>
#include <vector>

#include "mustardproxy/settings/settings.h"
#include "schema.h"

namespace mustardproxy::settings_detail {

/// @return the table of all fields of a settings file
[[nodiscard]] const Schema<Settings>& SettingsSchema();

/// @return the names of all levels of the log, least first
[[nodiscard]] std::vector<std::string_view> LogLevels();

/// Adds a problem for each pair of values that contradict each other. Values
/// that already have a problem are left out.
void CheckSettings(const Settings& settings, Problems* problems);

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_SETTINGS_SCHEMA_H_
