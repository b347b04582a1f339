#ifndef MUSTARDPROXY_SETTINGS_CELL_SCHEMA_H_
#define MUSTARDPROXY_SETTINGS_CELL_SCHEMA_H_

#include "mustardproxy/settings/cell_settings.h"
#include "schema.h"

namespace mustardproxy::settings_detail {

/// @return the table of all fields of a cell's settings file
[[nodiscard]] const Schema<CellSettings>& CellSchema();

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_CELL_SCHEMA_H_
