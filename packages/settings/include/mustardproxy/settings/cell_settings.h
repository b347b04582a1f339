#ifndef MUSTARDPROXY_SETTINGS_CELL_SETTINGS_H_
#define MUSTARDPROXY_SETTINGS_CELL_SETTINGS_H_

#include <cstdint>
#include <string>

#include "mustardproxy/core/ids.h"

namespace mustardproxy {

/// What a process of `mustardproxy cell` reads from its settings file: one
/// that takes jobs in and keeps everything that must last on the platform.
struct CellSettings {
  ProcessId process;
  DataCenterId data_center;
  /// All addresses are `ip:port`. Where callers hand jobs in.
  std::string callers;
  /// Where the platform's balancer asks whether callers should be sent here.
  std::string readiness;
  /// Where the other processes of the cell call this one: gRPC.
  std::string peers;
  /// Metrics and status.
  std::string operators;
  /// The platform's store.
  std::string store;
  /// Says which workers may run a step; empty if there is none.
  std::string policy_service;
  /// Share of its processors that this process may use.
  double processor_share = 1.0;
  double processors = 1.0;
  std::int64_t memory_mb = 256;
  /// Writes a second that the store takes from all processes together.
  std::int64_t store_writes_per_s = 400;
  /// Time within which a change of the desired state must be in force.
  std::int64_t configuration_bound_ms = 2000;
  /// Workers that may be lost under one task before it is given up.
  std::int32_t max_lost_workers = 3;
  /// Parts of the platform's rules that are in force, separated by commas, as
  /// the platform lists them.
  std::string platform_policies;
  /// Whether overload is controlled: `on`, `off`, or `auto` to follow
  /// `platform_policies`.
  std::string overload_control = "auto";
  /// Teams share the capacity by weight while it is short, in place of a count
  /// of jobs a second.
  bool team_shares = false;
  /// Maximum number of processes that send orders to workers for the owner; 0
  /// to have the owner send all itself.
  std::int32_t order_relays = 0;
  /// Time between SIGTERM and SIGKILL.
  double grace_s = 6.0;
  std::int32_t max_connections = 1000;
  std::string log_level = "info";
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_SETTINGS_CELL_SETTINGS_H_
