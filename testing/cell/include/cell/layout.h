#ifndef MUSTARDPROXY_CELL_LAYOUT_H_
#define MUSTARDPROXY_CELL_LAYOUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mustardproxy/core/resources.h"

namespace mustardproxy::cell {

/// A connection between two processes of the cell that goes through a relay.
struct RelayedLink {
  /// An entry process, or empty for all of them.
  std::string from;
  /// An entry process, a worker, or `platform`.
  std::string to;
};

/// What a cell is made of. Entries are named `entry-<dc>-<n>`, workers
/// `worker-<dc>-<n>`, data centres `dc-<n>`, all from 1; the platform is
/// `platform`.
struct CellLayout {
  std::int32_t data_centers = 2;
  std::int32_t entries_per_data_center = 2;
  std::int32_t workers_per_data_center = 8;
  std::int32_t workers_per_rack = 4;
  Resources worker_capacity{
      .cpu_milli = 16'000, .memory_mb = 65'536, .accelerators = 1, .slots = 8};
  std::int32_t worker_connections = 64;
  /// The relay of a link is named `relay:<from>><to>`, with `*` for all.
  std::vector<RelayedLink> relays;
  /// JSON members for every settings file, for example
  /// `"ownership": {"lease_ms": 1000}`.
  std::string extra_settings;
  /// The configuration document.
  std::string configuration;
};

/// @return a configuration with urgent, booking, gang and deferred work for two
///   teams; services `screen`, `booking`, `match`, `review` and `detainee`
[[nodiscard]] std::string DefaultConfiguration();

}  // namespace mustardproxy::cell

#endif  // MUSTARDPROXY_CELL_LAYOUT_H_
