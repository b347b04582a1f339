#include "settings_schema.h"

#include <memory>

#include "schema_builder.h"

namespace mustardproxy::settings_detail {
namespace {

constexpr std::int64_t kSecond = 1000;
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kHour = 60 * kMinute;
constexpr std::size_t kMostPeers = 256;
constexpr std::size_t kMostWorkers = 5000;

Schema<ListenSettings> ListenSchema() {
  return Schema<ListenSettings>::Builder()
      .Text("host", &ListenSettings::host, std::make_shared<HostRule>(),
            "own address to listen on")
      .Integer("port", &ListenSettings::port, {0, 65535},
               "port to listen on; 0 lets the operating system choose")
      .Build();
}

Schema<PeerSettings> PeerSchema() {
  return Schema<PeerSettings>::Builder()
      .Required()
      .Name("process", &PeerSettings::process, "name of the entry process")
      .Required()
      .Name("data_center", &PeerSettings::data_center, "its data centre")
      .Required()
      .Text("address", &PeerSettings::address, std::make_shared<AddressRule>(),
            "address of its gRPC listener")
      .Build();
}

Schema<WorkerDescription> WorkerSchema() {
  return Schema<WorkerDescription>::Builder()
      .Required()
      .Name("id", &WorkerDescription::id, "name of the worker")
      .Required()
      .Text("address", &WorkerDescription::address,
            std::make_shared<AddressRule>(), "address of its HTTP interface")
      .Required()
      .Name("data_center", &WorkerDescription::data_center, "its data centre")
      .Required()
      .Name("rack", &WorkerDescription::rack, "its rack")
      .Bool("leaving", &WorkerDescription::leaving, "gets no new work")
      .Build();
}

Schema<MembershipOptions> MembershipSchema() {
  using Options = MembershipOptions;
  return Schema<Options>::Builder()
      .Milliseconds("heartbeat_interval_ms", &Options::heartbeat_interval,
                    {10, kMinute},
                    "time between heartbeats within the data centre")
      .Milliseconds("remote_heartbeat_interval_ms",
                    &Options::remote_heartbeat_interval, {10, 5 * kMinute},
                    "time between heartbeats to other data centres; not below "
                    "`heartbeat_interval_ms`")
      .Integer("missed_heartbeats", &Options::missed_heartbeats, {2, 100},
               "heartbeat intervals of silence after which a peer is gone")
      .Build();
}

Schema<OwnershipOptions> OwnershipSchema() {
  using Options = OwnershipOptions;
  return Schema<Options>::Builder()
      .Milliseconds("lease_ms", &Options::lease, {100, 5 * kMinute},
                    "lease on a worker")
      .Milliseconds("renew_interval_ms", &Options::renew_interval,
                    {10, 5 * kMinute},
                    "idle time after which a lease is renewed; at most half of "
                    "`lease_ms`, so that one lost renewal does no harm")
      .Milliseconds("retry_interval_ms", &Options::retry_interval,
                    {10, 5 * kMinute},
                    "first pause after a refused attach; not above `lease_ms`")
      .Bool("worker_checks_epoch", &Options::worker_checks_epoch,
            "workers compare epochs; see DESIGN.md for what is lost without")
      .Build();
}

Schema<WorkerHealthOptions> WorkerHealthSchema() {
  using Options = WorkerHealthOptions;
  return Schema<Options>::Builder()
      .Integer("failures_to_eject", &Options::failures_to_eject, {1, 1000},
               "failures in a row that eject a worker")
      .Number("max_ejected_share", &Options::max_ejected_share, {0, 1},
              "largest share of the owned workers that is ejected at once")
      .Milliseconds("ejection_ms", &Options::ejection, {10, kHour},
                    "first ejection; not above `max_ejection_ms`")
      .Milliseconds("max_ejection_ms", &Options::max_ejection, {10, 24 * kHour},
                    "longest ejection")
      .Milliseconds("return_time_ms", &Options::return_time, {0, kHour},
                    "time over which a returning worker gets its share back")
      .Build();
}

Schema<JournalOptions> JournalSchema() {
  using Options = JournalOptions;
  return Schema<Options>::Builder()
      .Number("appends_per_second", &Options::appends_per_second, {0.1, 1000},
              "this process's share of the platform's writes")
      .Number("burst", &Options::burst, {1, 1000},
              "appends that may go out at once after a quiet time")
      .Integer("max_batch_bytes", &Options::max_batch_bytes, {1024, 1'000'000},
               "largest batch; the platform's values end at 1 MB")
      .Integer("max_batch_records", &Options::max_batch_records, {1, 100'000},
               "most records in a batch")
      .Integer("max_pending_bytes", &Options::max_pending_bytes,
               {1024, 1'000'000'000},
               "bytes that wait before new work is refused; not below "
               "`max_batch_bytes`")
      .Milliseconds("retry_interval_ms", &Options::retry_interval,
                    {10, kMinute},
                    "pause before an uncertain append is sent again")
      .Build();
}

Schema<LimitSettings> LimitsSchema() {
  using Limits = LimitSettings;
  return Schema<Limits>::Builder()
      .Integer("max_header_bytes", &Limits::max_header_bytes, {1024, 1'048'576},
               "largest header of a caller's request")
      .Integer("max_body_bytes", &Limits::max_body_bytes, {1, 1'048'576},
               "largest body of a caller's request")
      .Integer("max_connections", &Limits::max_connections, {1, 100'000},
               "most connections of callers")
      .Integer("max_requests", &Limits::max_requests, {1, 1'000'000},
               "most requests in progress")
      .Integer("traffic_threads", &Limits::traffic_threads, {1, 1024},
               "threads that carry traffic")
      .Integer("timeline_events", &Limits::timeline_events, {16, 1'000'000},
               "events that the time line's ring holds")
      .Milliseconds("max_timeout_ms", &Limits::max_timeout, {1, 24 * kHour},
                    "longest timeout that a caller may ask for")
      .Milliseconds("shutdown_timeout_ms", &Limits::shutdown_timeout,
                    {0, kHour}, "time that a graceful stop may take")
      .Build();
}

Schema<Settings> BuildSettingsSchema() {
  return Schema<Settings>::Builder()
      .Required()
      .Name("customer", &Settings::customer,
            "customer whose cell this is; peers of others are refused")
      .Required()
      .Name("process", &Settings::process,
            "own name, unique among all entry processes")
      .Required()
      .Name("data_center", &Settings::data_center, "own data centre")
      .Object("callers", &Settings::callers, ListenSchema())
      .Object("operators", &Settings::operators, ListenSchema())
      .Object("peers_listen", &Settings::peers_listen, ListenSchema())
      .List("peers", &Settings::peers, kMostPeers, PeerSchema(),
            "the other entry processes of all data centres")
      .List("workers", &Settings::workers, kMostWorkers, WorkerSchema(),
            "workers known without the platform's host list")
      .Required()
      .Text("platform_url", &Settings::platform_url,
            std::make_shared<UrlRule>(), "the platform's key-value service")
      .Milliseconds("platform_timeout_ms", &Settings::platform_timeout,
                    {10, kMinute}, "timeout of a call to the platform")
      .Milliseconds("host_list_interval_ms", &Settings::host_list_interval,
                    {10, kMinute}, "time between readings of the host list")
      .Object("membership", &Settings::membership, MembershipSchema())
      .Object("ownership", &Settings::ownership, OwnershipSchema())
      .Object("worker_health", &Settings::worker_health, WorkerHealthSchema())
      .Object("journal", &Settings::journal, JournalSchema())
      .Object("limits", &Settings::limits, LimitsSchema())
      .Text("log_level", &Settings::log_level,
            std::make_shared<ChoiceRule>(LogLevels()),
            "least level of what is logged")
      .Text("address_file", &Settings::address_file,
            std::make_shared<FilePathRule>(),
            "file that gets the real addresses once the process listens")
      .Build();
}

}  // namespace

std::vector<std::string_view> LogLevels() {
  return {"trace", "debug", "info", "warn", "error"};
}

const Schema<Settings>& SettingsSchema() {
  static const Schema<Settings> schema = BuildSettingsSchema();
  return schema;
}

}  // namespace mustardproxy::settings_detail
