#ifndef MUSTARDPROXY_SETTINGS_SETTINGS_H_
#define MUSTARDPROXY_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal.h"
#include "mustardproxy/core/membership.h"
#include "mustardproxy/core/ownership.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/core/worker.h"
#include "mustardproxy/core/worker_health.h"

namespace mustardproxy {

/// A listener; port 0 lets the operating system choose.
struct ListenSettings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
};

/// Another entry process.
struct PeerSettings {
  ProcessId process;
  DataCenterId data_center;
  /// `ip:port` of its gRPC listener.
  std::string address;
};

/// Bounds on what callers can make a process hold.
struct LimitSettings {
  std::int32_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 1'048'576;
  std::int32_t max_connections = 512;
  std::int32_t max_requests = 20'000;
  std::int32_t traffic_threads = 64;
  std::int32_t timeline_events = 4096;
  Duration max_timeout = std::chrono::minutes(10);
  /// Time that a graceful stop may take.
  Duration shutdown_timeout = std::chrono::seconds(60);
};

/// Everything that a process reads from its settings file.
struct Settings {
  std::string customer;
  ProcessId process;
  DataCenterId data_center;
  /// For callers: HTTP.
  ListenSettings callers;
  /// For operators: HTTP (status, events, metrics, health).
  ListenSettings operators;
  /// For other entry processes: gRPC.
  ListenSettings peers_listen;
  std::vector<PeerSettings> peers;
  /// Workers known without the platform's host list.
  std::vector<WorkerDescription> workers;
  /// `http://ip:port` of the platform's key-value service.
  std::string platform_url;
  Duration platform_timeout = std::chrono::seconds(2);
  Duration host_list_interval = std::chrono::milliseconds(500);
  MembershipOptions membership;
  OwnershipOptions ownership;
  WorkerHealthOptions worker_health;
  JournalOptions journal;
  LimitSettings limits;
  /// trace, debug, info, warn or error.
  std::string log_level = "info";
  /// If not empty, the process writes its real addresses there as JSON once it
  /// listens: `{"callers": "ip:port", "operators": …, "peers": …, "pid": n}`.
  std::string address_file;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_SETTINGS_SETTINGS_H_
