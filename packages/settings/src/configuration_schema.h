#ifndef MUSTARDPROXY_SETTINGS_CONFIGURATION_SCHEMA_H_
#define MUSTARDPROXY_SETTINGS_CONFIGURATION_SCHEMA_H_

#include "mustardproxy/core/configuration.h"
#include "schema.h"

namespace mustardproxy::settings_detail {

/// @return the table of all fields of a configuration document
[[nodiscard]] const Schema<Configuration>& ConfigurationSchema();

/// @return the part of that table that describes one profile
[[nodiscard]] const Schema<Profile>& ProfileSchema();

/// Adds a problem for each name that refers to nothing and for values that
/// contradict each other.
void CheckConfiguration(const Configuration& configuration, Problems* problems);

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_CONFIGURATION_SCHEMA_H_
