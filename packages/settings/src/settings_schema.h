#ifndef MUSTARDPROXY_SETTINGS_SETTINGS_SCHEMA_H_
#define MUSTARDPROXY_SETTINGS_SETTINGS_SCHEMA_H_

#include "mustardproxy/settings/settings.h"
#include "schema.h"

namespace mustardproxy::settings_detail {

/// @return the table of all fields of a settings file
[[nodiscard]] const Schema<Settings>& SettingsSchema();

/// Adds a problem for each pair of values that contradict each other. Values
/// that already have a problem are left out.
void CheckSettings(const Settings& settings, Problems* problems);

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_SETTINGS_SCHEMA_H_
