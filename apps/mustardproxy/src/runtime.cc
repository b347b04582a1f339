#include "runtime.h"

#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "control_loop.h"
#include "decisions.h"
#include "dispatcher.h"
#include "incarnation.h"
#include "mustardproxy/settings/load.h"
#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/log.h"
#include "status_board.h"

namespace mustardproxy {
namespace {

std::optional<Configuration> ParseOrNothing(std::string_view text) {
  auto parsed = ParseConfiguration(text);
  if (auto* configuration = std::get_if<Configuration>(&parsed)) {
    return std::move(*configuration);
  }
  const Problem& first = std::get<Problems>(parsed).front();
  Log(Part::kControl, Level::kWarn,
      "Ignored a configuration document: " + FormatProblem(first) + ".");
  return std::nullopt;
}

PeerDescription Self(const Settings& settings) {
  return {.process = settings.process, .data_center = settings.data_center};
}

CoreOptions MakeCoreOptions(const Settings& settings, Incarnation incarnation) {
  CoreOptions options;
  options.self = Self(settings);
  options.incarnation = incarnation;
  for (const PeerSettings& peer : settings.peers) {
    options.peers.push_back({peer.process, peer.data_center});
  }
  options.workers = settings.workers;
  options.membership = settings.membership;
  options.ownership = settings.ownership;
  options.worker_health = settings.worker_health;
  options.journal = settings.journal;
  options.max_requests = settings.limits.max_requests;
  options.seed = incarnation;
  return options;
}

Digest FirstDigest(const Settings& settings, Incarnation incarnation) {
  Digest digest;
  digest.process = settings.process;
  digest.incarnation = incarnation;
  digest.data_center = settings.data_center;
  return digest;
}

GatewayLimits MakeGatewayLimits(const LimitSettings& settings) {
  GatewayLimits limits;
  limits.max_header_bytes = settings.max_header_bytes;
  limits.max_body_bytes = settings.max_body_bytes;
  limits.max_connections = settings.max_connections;
  limits.max_timeout = settings.max_timeout;
  return limits;
}

std::vector<PeerAddress> MakePeerAddresses(const Settings& settings) {
  std::vector<PeerAddress> addresses;
  for (const PeerSettings& peer : settings.peers) {
    addresses.push_back({{peer.process, peer.data_center}, peer.address});
  }
  return addresses;
}

std::string JoinAddress(const ListenSettings& listen, std::uint16_t port) {
  return listen.host + ":" + std::to_string(port);
}

}  // namespace

struct Runtime::State {
  explicit State(Settings settings);

  void BuildLinks();
  void BuildGateway();

  Settings settings;
  Incarnation incarnation;
  Metrics metrics;
  HybridClock clock;
  Timeline timeline;
  CoreDecisions decisions;
  Dispatcher dispatcher;
  StatusBoard board;
  ControlLoop loop;
  std::unique_ptr<WorkerLink> worker;
  std::unique_ptr<PeerLink> peer;
  std::unique_ptr<PlatformLink> platform;
  std::unique_ptr<Gateway> gateway;
  bool started = false;
  bool stopped = false;
};

Runtime::State::State(Settings given)
    : settings(std::move(given)),
      incarnation(DrawIncarnation()),
      timeline(this->settings.process, this->incarnation,
               static_cast<std::size_t>(this->settings.limits.timeline_events),
               &this->clock),
      decisions(MakeCoreOptions(this->settings, this->incarnation)),
      dispatcher(FirstDigest(this->settings, this->incarnation)),
      loop({.decisions = &this->decisions,
            .performer = &this->dispatcher,
            .board = &this->board,
            .metrics = &this->metrics}) {
  this->BuildLinks();
  this->BuildGateway();
  this->dispatcher.Connect({.gateway = this->gateway.get(),
                            .peer = this->peer.get(),
                            .platform = this->platform.get(),
                            .worker = this->worker.get(),
                            .timeline = &this->timeline,
                            .metrics = &this->metrics});
}

void Runtime::State::BuildLinks() {
  this->worker = WorkerLink::Builder()
                     .Holder(this->settings.process, this->incarnation)
                     .Threads(this->settings.limits.traffic_threads)
                     .Sink(&this->loop)
                     .Measure(&this->metrics)
                     .Build();
  this->peer = PeerLink::Builder()
                   .Customer(this->settings.customer)
                   .Self(Self(this->settings), this->incarnation)
                   .Listen(this->settings.peers_listen.host,
                           this->settings.peers_listen.port)
                   .Peers(MakePeerAddresses(this->settings))
                   .ConfigurationParser(ParseOrNothing)
                   .Sink(&this->loop)
                   .Clock(&this->clock)
                   .Measure(&this->metrics)
                   .Build();
  this->platform = PlatformLink::Builder()
                       .Url(this->settings.platform_url)
                       .Timeout(this->settings.platform_timeout)
                       .HostListInterval(this->settings.host_list_interval)
                       .ConfigurationParser(ParseOrNothing)
                       .Sink(&this->loop)
                       .Measure(&this->metrics)
                       .Build();
}

void Runtime::State::BuildGateway() {
  this->gateway = Gateway::Builder()
                      .Self(this->settings.process, this->incarnation)
                      .ListenCallers(this->settings.callers.host,
                                     this->settings.callers.port)
                      .ListenOperators(this->settings.operators.host,
                                       this->settings.operators.port)
                      .Limits(MakeGatewayLimits(this->settings.limits))
                      .StatusSource([this] { return this->board.Format(); })
                      .ReadySource([this] { return this->board.Ready(); })
                      .Events(&this->timeline)
                      .Sink(&this->loop)
                      .Measure(&this->metrics)
                      .Build();
}

Runtime::Runtime(Settings settings)
    : state(std::make_unique<State>(std::move(settings))) {}

Runtime::~Runtime() {
  if (!this->state->stopped) (void)this->Shutdown();
}

Result<Addresses> Runtime::Start() {
  State& process = *this->state;
  Result<std::uint16_t> peers = process.peer->Start();
  if (!peers) return peers.error();
  Result<Gateway::Ports> ports = process.gateway->Start();
  if (!ports) return ports.error();
  const Settings& settings = process.settings;
  Addresses addresses{
      .callers = JoinAddress(settings.callers, ports.value().callers),
      .operators = JoinAddress(settings.operators, ports.value().operators),
      .peers = JoinAddress(settings.peers_listen, peers.value())};
  process.loop.Start();
  process.started = true;
  process.platform->Start();
  process.platform->RegisterMember(
      settings.process.Text(),
      FormatMember(addresses, settings.data_center.Text()));
  return addresses;
}

bool Runtime::Shutdown() {
  State& process = *this->state;
  process.stopped = true;
  process.gateway->Drain();
  process.loop.Post(ShutdownRequested{});
  // Without a control thread nobody would finish.
  bool finished =
      !process.started || process.dispatcher.AwaitFinished(
                              process.settings.limits.shutdown_timeout);
  // The loop first, so that no action meets a link that has stopped. Answers
  // that were already handed over are still written out.
  process.loop.Stop();
  process.gateway->Stop();
  process.peer->Stop();
  process.worker->Stop();
  process.platform->Stop();
  return finished;
}

}  // namespace mustardproxy
