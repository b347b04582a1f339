#include "cell_runtime.h"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "cell_operators.h"
#include "incarnation.h"
#include "mustardproxy/adapter/caller_front.h"
#include "mustardproxy/adapter/platform_clients.h"
#include "mustardproxy/adapter/policies.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/gateway/job_surface.h"
#include "mustardproxy/http/async_client.h"
#include "mustardproxy/http/listener.h"
#include "mustardproxy/jobs/job_node.h"
#include "mustardproxy/peer/job_link.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"
#include "mustardproxy/telemetry/process_usage.h"
#include "thread_executor.h"

namespace mustardproxy {
namespace {

/// The balancer asks once a second and sends nobody here after two refusals.
constexpr std::chrono::milliseconds kBalancerNotices(2300);
/// Left of the grace time for the threads to end: calls of and to peers take up
/// to a second each, and a busy host some more.
constexpr std::chrono::milliseconds kEndMargin(2800);
constexpr std::chrono::milliseconds kDrainPoll(50);
/// How often readiness is brought up to date.
constexpr Duration kReadinessInterval = std::chrono::milliseconds(100);
/// How often the totals of calls, processor time and memory are logged.
constexpr Duration kUsageInterval = std::chrono::seconds(10);
constexpr std::int32_t kReadinessConnections = 16;
constexpr std::int32_t kOperatorConnections = 32;
constexpr std::int64_t kMilliPerUnit = 1000;
/// Until the first desired state tells the users' bounds.
constexpr std::int32_t kMaxHeaderBytes = 16'384;
constexpr std::int64_t kMaxBodyBytes = 262'144;

http::ConnectionLimits Limits() {
  http::ConnectionLimits limits;
  limits.max_header_bytes = kMaxHeaderBytes;
  limits.max_body_bytes = kMaxBodyBytes;
  return limits;
}

jobs::OverloadControl OverloadControlOf(const CellSettings& settings) {
  jobs::OverloadControl control;
  if (settings.overload_control == "on") {
    control = {.admission = true, .preemption = true};
  } else if (settings.overload_control == "auto") {
    control = adapter::OverloadControlFor(settings.platform_policies);
  }
  control.team_shares = settings.team_shares;
  return control;
}

Result<std::uint16_t> Listen(http::Listener* listener,
                             const std::string& address) {
  const Poco::Net::SocketAddress parsed(address);
  return listener->Start(parsed.host().toString(), parsed.port());
}

}  // namespace

struct CellRuntime::State {
  explicit State(CellSettings given);

  void Build();
  std::error_code StartLink();
  void UpdateReadiness();
  void LogUsage();
  /// Logs the connections to workers, and sets their metrics.
  void LogConnections();
  void Drain();

  CellSettings settings;
  StdoutEventLog log;
  Metrics metrics;
  /// Ends before what it calls, see Shutdown.
  ThreadExecutor executor;
  http::AsyncClient http;
  JobLink peers;
  std::unique_ptr<jobs::KeyValueStore> store;
  std::unique_ptr<jobs::WorkerDriver> workers;
  std::unique_ptr<jobs::PlacementAdviser> adviser;
  std::unique_ptr<jobs::PlatformSchema> schema;
  std::unique_ptr<jobs::JobNode> node;
  std::unique_ptr<adapter::CallerFront> front;
  adapter::ReadinessFront readiness;
  std::unique_ptr<CellOperators> operators;
  std::unique_ptr<JobSurface> own_jobs;
  std::unique_ptr<http::Listener> callers_listener;
  std::unique_ptr<http::Listener> readiness_listener;
  std::unique_ptr<http::Listener> operators_listener;
  bool stopped = false;
};

CellRuntime::State::State(CellSettings given)
    : settings(std::move(given)),
      log({.process = this->settings.process.Text()}),
      peers(&this->executor) {
  this->Build();
}

void CellRuntime::State::Build() {
  const adapter::ClientParts parts{.executor = &this->executor,
                                   .http = &this->http,
                                   .log = &this->log,
                                   .metrics = &this->metrics};
  this->store = adapter::MakeStoreClient(parts, this->settings.store);
  this->workers = adapter::MakeWorkerClient(parts);
  this->adviser =
      adapter::MakeAdviceClient(parts, this->settings.policy_service);
  this->schema = adapter::MakeSchema();
  const double cpu = this->settings.processor_share * this->settings.processors;
  this->node = jobs::JobNode::Builder()
                   .Self(this->settings.process, this->settings.data_center,
                         DrawIncarnation())
                   .PeerAddress(this->settings.peers)
                   .Strength(static_cast<std::int64_t>(cpu * kMilliPerUnit),
                             this->settings.memory_mb)
                   .StoreWrites(this->settings.store_writes_per_s)
                   .ConfigurationBound(std::chrono::milliseconds(
                       this->settings.configuration_bound_ms))
                   .MaxLostWorkers(this->settings.max_lost_workers)
                   .Overload(OverloadControlOf(this->settings))
                   .OrderRelays(this->settings.order_relays)
                   .On(&this->executor)
                   .Store(this->store.get())
                   .Workers(this->workers.get())
                   .Adviser(this->adviser.get())
                   .Peers(&this->peers)
                   .Schema(this->schema.get())
                   .Log(&this->log)
                   .Measure(&this->metrics)
                   .Build();
  this->front = std::make_unique<adapter::CallerFront>(
      adapter::CallerFront::Parts{.executor = &this->executor,
                                  .jobs = this->node.get(),
                                  .log = &this->log,
                                  .metrics = &this->metrics});
  this->operators = std::make_unique<CellOperators>(&this->metrics);
  this->own_jobs = std::make_unique<JobSurface>(
      jobs::JobGate(&this->executor, this->node.get()), this->operators.get());
  this->callers_listener = std::make_unique<http::Listener>(
      "callers", Limits(), this->settings.max_connections, this->front.get());
  this->readiness_listener = std::make_unique<http::Listener>(
      "readiness", Limits(), kReadinessConnections, &this->readiness);
  this->operators_listener = std::make_unique<http::Listener>(
      "operators", Limits(), kOperatorConnections, this->own_jobs.get());
}

std::error_code CellRuntime::State::StartLink() {
  const Poco::Net::SocketAddress address(this->settings.peers);
  const auto port = this->peers.Start(address.host().toString(), address.port(),
                                      this->node.get());
  return port ? std::error_code() : port.error();
}

void CellRuntime::State::UpdateReadiness() {
  const bool ready = this->node->Ready();
  this->readiness.Set(ready);
  this->operators->SetReady(ready);
  this->executor.After(kReadinessInterval, [this] { this->UpdateReadiness(); });
}

CellRuntime::CellRuntime(CellSettings settings)
    : state(std::make_unique<State>(std::move(settings))) {}

CellRuntime::~CellRuntime() {
  if (!this->state->stopped) this->Shutdown();
}

std::error_code CellRuntime::Start() {
  State& cell = *this->state;
  cell.log.Write("process", "start",
                 {{"data_center", cell.settings.data_center.Text()},
                  {"callers", cell.settings.callers},
                  {"peers", cell.settings.peers},
                  {"operators", cell.settings.operators},
                  {"store", cell.settings.store},
                  {"overload_control",
                   OverloadControlOf(cell.settings).admission ? 1 : 0}});
  if (const auto failure = cell.StartLink()) return failure;
  const auto operators =
      Listen(cell.operators_listener.get(), cell.settings.operators);
  if (!operators) return operators.error();
  const auto readiness =
      Listen(cell.readiness_listener.get(), cell.settings.readiness);
  if (!readiness) return readiness.error();
  const auto callers =
      Listen(cell.callers_listener.get(), cell.settings.callers);
  if (!callers) return callers.error();
  cell.executor.Post([&cell] {
    cell.node->Start();
    cell.UpdateReadiness();
    cell.LogUsage();
  });
  return {};
}

void CellRuntime::Reload(const CellSettings& changed) {
  // Addresses can't change under open connections, and nothing else of the file
  // is used after the start; the next start takes it.
  this->state->log.Write("process", "reload",
                         {{"process", changed.process.Text()},
                          {"store", changed.store},
                          {"applied", 0}});
}

void CellRuntime::State::LogUsage() {
  const ProcessUsage usage = ReadProcessUsage();
  const auto total = [this](std::string_view name) {
    return this->metrics.Total(name);
  };
  this->log.Write("process", "usage",
                  {{"cpu_s", usage.cpu_seconds},
                   {"resident_bytes", usage.resident_bytes},
                   {"store_reads", total("store_reads")},
                   {"store_lists", total("store_lists")},
                   {"store_watches", total("store_watches")},
                   {"store_commits", total("store_commits")},
                   {"store_renewals", total("store_renewals")},
                   {"worker_holds", total("worker_holds")},
                   {"worker_orders", total("worker_orders")},
                   {"advice_questions", total("advice_questions")},
                   {"caller_answers", total("caller_answers")},
                   {"connections", this->callers_listener->Connections()}});
  this->LogConnections();
  this->executor.After(kUsageInterval, [this] { this->LogUsage(); });
}

void CellRuntime::State::LogConnections() {
  const http::ConnectionCounts counts = this->http.Counts();
  const auto set = [this](std::string_view label, auto value) {
    this->metrics.Set("worker_connections", label, static_cast<double>(value));
  };
  set("state=idle", counts.idle);
  set("state=in-use", counts.in_use);
  set("state=opened", counts.opened);
  set("state=refused", counts.refused);
  set("state=reset", counts.reset);
  set("state=timed-out", counts.timed_out);
  this->log.Write("process", "worker-connections",
                  {{"idle", counts.idle},
                   {"in_use", counts.in_use},
                   {"opened", counts.opened},
                   {"refused", counts.refused},
                   {"reset", counts.reset},
                   {"timed_out", counts.timed_out},
                   {"calls_waiting", counts.waiting_calls},
                   {"calls_waited", counts.waited},
                   {"calls_not_sent", counts.not_sent}});
}

void CellRuntime::State::Drain() {
  using std::chrono::steady_clock;
  const auto begun = steady_clock::now();
  const auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(this->settings.grace_s));
  const auto end = begun + std::max(grace - kEndMargin, kDrainPoll);
  while (steady_clock::now() < end) {
    const bool noticed = steady_clock::now() >= begun + kBalancerNotices;
    if (noticed && this->callers_listener->Connections() == 0) return;
    std::this_thread::sleep_for(kDrainPoll);
  }
}

void CellRuntime::Shutdown() {
  State& cell = *this->state;
  cell.stopped = true;
  cell.log.Write("process", "stopping", {});
  cell.front->Drain();
  cell.executor.Post([&cell] { cell.node->Leave(); });
  cell.Drain();
  cell.callers_listener->Stop();
  cell.readiness_listener->Stop();
  cell.operators_listener->Stop();
  cell.peers.Stop();
  // The control thread first, so that no result meets a part that is gone.
  cell.executor.Stop();
  cell.http.Stop();
  cell.log.Write("process", "stopped", {});
  cell.log.Flush();
}

}  // namespace mustardproxy
