#include "mustardproxy/peer/peer_link.h"

#include <grpcpp/server.h>

#include <mutex>
#include <system_error>
#include <utility>

#include "bounds.h"
#include "client.h"
#include "grpc_log.h"
#include "identity.h"
#include "server.h"
#include "service.h"

namespace mustardproxy {

struct PeerLink::State {
  State(peer_detail::Identity identity, const std::vector<PeerAddress>& peers,
        peer_detail::ConfigurationParser parser, EventSink* sink,
        Metrics* metrics)
      : identity(std::move(identity)),
        client(&this->identity, peers, std::move(parser), sink, metrics),
        service(&this->identity, sink, metrics) {}

  peer_detail::Identity identity;
  peer_detail::PeerClient client;
  peer_detail::PeerService service;
  std::string host;
  std::uint16_t port = 0;
  std::chrono::milliseconds stop_limit{0};
  std::unique_ptr<grpc::Server> server;

  std::mutex stop_mutex;
  bool stopped = false;
};

PeerLink::PeerLink(std::unique_ptr<State> state) : state(std::move(state)) {}

PeerLink::~PeerLink() { this->Stop(); }

Result<std::uint16_t> PeerLink::Start() {
  std::uint16_t port = this->state->port;
  this->state->server =
      peer_detail::StartServer(this->state->host, &port, &this->state->service);
  if (!this->state->server) {
    return std::make_error_code(std::errc::address_not_available);
  }
  return port;
}

void PeerLink::Stop() {
  const std::lock_guard lock(this->state->stop_mutex);
  if (std::exchange(this->state->stopped, true)) return;
  this->state->service.Drain(this->state->stop_limit);
  this->state->client.Stop(this->state->stop_limit);
  if (!this->state->server) return;
  // Returns when no call of a peer is left; what still waits is cancelled.
  this->state->server->Shutdown(std::chrono::system_clock::now() +
                                peer_detail::kFlushLimit);
  this->state->server->Wait();
}

void PeerLink::Perform(const SendDigest& action) {
  this->state->client.Heartbeat(action);
}

void PeerLink::Perform(const ForwardRequest& action) {
  this->state->client.Forward(action);
}

void PeerLink::Perform(const ForwardCancel& action) {
  this->state->client.Cancel(action);
}

void PeerLink::Perform(const FetchConfiguration& action) {
  this->state->client.Fetch(action);
}

void PeerLink::Perform(const QueryPeer& action) {
  this->state->client.Ask(action);
}

bool PeerLink::TryPerform(const Reply& action) {
  return this->state->service.Answer(action.request, action.answer);
}

bool PeerLink::TryPerform(const ReplyAccepted& action) {
  return this->state->service.Accept(action.request);
}

bool PeerLink::TryPerform(const AnswerQuery& action) {
  return this->state->service.Answer(action);
}

void PeerLink::Publish(const Digest& digest,
                       const std::string& configuration_json) {
  this->state->service.Publish(digest, configuration_json);
}

PeerLink::Builder& PeerLink::Builder::Customer(std::string customer) {
  this->customer = std::move(customer);
  return *this;
}

PeerLink::Builder& PeerLink::Builder::Self(PeerDescription self,
                                           Incarnation incarnation) {
  this->self = std::move(self);
  this->incarnation = incarnation;
  return *this;
}

PeerLink::Builder& PeerLink::Builder::Listen(std::string host,
                                             std::uint16_t port) {
  this->host = std::move(host);
  this->port = port;
  return *this;
}

PeerLink::Builder& PeerLink::Builder::Peers(std::vector<PeerAddress> peers) {
  this->peers = std::move(peers);
  return *this;
}

PeerLink::Builder& PeerLink::Builder::ConfigurationParser(
    std::function<std::optional<Configuration>(std::string_view)> parser) {
  this->parser = std::move(parser);
  return *this;
}

PeerLink::Builder& PeerLink::Builder::Sink(EventSink* sink) {
  this->sink = sink;
  return *this;
}

PeerLink::Builder& PeerLink::Builder::Clock(HybridClock* clock) {
  this->clock = clock;
  return *this;
}

PeerLink::Builder& PeerLink::Builder::Measure(Metrics* metrics) {
  this->metrics = metrics;
  return *this;
}

PeerLink::Builder& PeerLink::Builder::SpareChannels(std::int32_t spare,
                                                    Duration idle) {
  this->spare_channels = spare;
  this->channel_idle = idle;
  return *this;
}

PeerLink::Builder& PeerLink::Builder::StopLimit(Duration limit) {
  this->stop_limit = limit;
  return *this;
}

std::unique_ptr<PeerLink> PeerLink::Builder::Build() {
  peer_detail::RouteGrpcLog();
  peer_detail::Identity identity{this->customer, this->self, this->incarnation,
                                 this->clock};
  auto state = std::make_unique<State>(std::move(identity), this->peers,
                                       this->parser, this->sink, this->metrics);
  if (this->spare_channels) {
    state->client.KeepChannels(*this->spare_channels, this->channel_idle);
  }
  state->host = this->host;
  state->port = this->port;
  state->stop_limit =
      std::chrono::ceil<std::chrono::milliseconds>(this->stop_limit);
  return std::unique_ptr<PeerLink>(new PeerLink(std::move(state)));
}

}  // namespace mustardproxy
