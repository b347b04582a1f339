#include "mustardproxy/gateway/gateway.h"

#include <atomic>
#include <optional>
#include <utility>

#include "caller_surface.h"
#include "housekeeper.h"
#include "mustardproxy/http/listener.h"
#include "mustardproxy/telemetry/log.h"
#include "operator_surface.h"

namespace mustardproxy {
namespace {

/// Operators and scrapers are few.
constexpr std::int32_t kOperatorConnections = 32;

http::ConnectionLimits MakeLimits(const GatewayLimits& limits) {
  return {.max_header_bytes = limits.max_header_bytes,
          .max_body_bytes = limits.max_body_bytes,
          .header_time = limits.header_time,
          .body_time = limits.body_time,
          .send_time = limits.send_time};
}

}  // namespace

struct Gateway::State {
  State(gateway_detail::CallerOptions options,
        gateway_detail::OperatorSources sources, const GatewayLimits& limits)
      : operators(std::move(sources), &this->draining),
        callers(std::move(options), &this->operators, &this->draining),
        caller_listener("callers", MakeLimits(limits), limits.max_connections,
                        &this->callers),
        operator_listener("operators", MakeLimits(limits), kOperatorConnections,
                          &this->operators) {}

  std::string callers_host;
  std::uint16_t callers_port = 0;
  std::string operators_host;
  std::uint16_t operators_port = 0;
  std::atomic<bool> draining = false;
  gateway_detail::OperatorSurface operators;
  gateway_detail::CallerSurface callers;
  http::Listener caller_listener;
  http::Listener operator_listener;
  std::optional<gateway_detail::Housekeeper> housekeeper;
};

Gateway::Gateway(std::unique_ptr<State> state) : state(std::move(state)) {}

Gateway::~Gateway() { this->Stop(); }

Result<Gateway::Ports> Gateway::Start() {
  State& gateway = *this->state;
  auto callers =
      gateway.caller_listener.Start(gateway.callers_host, gateway.callers_port);
  if (!callers) return callers.error();
  auto operators = gateway.operator_listener.Start(gateway.operators_host,
                                                   gateway.operators_port);
  if (!operators) return operators.error();
  gateway.housekeeper.emplace([&gateway] {
    gateway.caller_listener.CollectIdleThreads();
    gateway.operator_listener.CollectIdleThreads();
  });
  Log(Part::kGateway, Level::kInfo,
      "Listening for callers on port " + std::to_string(callers.value()) +
          " and for operators on port " + std::to_string(operators.value()) +
          ".");
  return Ports{.callers = callers.value(), .operators = operators.value()};
}

void Gateway::Drain() { this->state->draining = true; }

void Gateway::Stop() {
  this->Drain();
  this->state->housekeeper.reset();
  this->state->callers.Stop();
  this->state->caller_listener.Stop();
  this->state->operator_listener.Stop();
}

void Gateway::Perform(const Reply& action) {
  this->state->callers.Settle(action.request, action.answer);
}

void Gateway::Perform(const ReplyAccepted& action) {
  this->state->callers.Settle(action.request, gateway_detail::Accepted{});
}

void Gateway::Perform(const AnswerQuery& action) {
  this->state->callers.Settle(action.query,
                              gateway_detail::QueryReply{action.status});
}

Gateway::Builder& Gateway::Builder::Self(ProcessId process,
                                         Incarnation incarnation) {
  this->process = std::move(process);
  this->incarnation = incarnation;
  return *this;
}

Gateway::Builder& Gateway::Builder::ListenCallers(std::string host,
                                                  std::uint16_t port) {
  this->callers_host = std::move(host);
  this->callers_port = port;
  return *this;
}

Gateway::Builder& Gateway::Builder::ListenOperators(std::string host,
                                                    std::uint16_t port) {
  this->operators_host = std::move(host);
  this->operators_port = port;
  return *this;
}

Gateway::Builder& Gateway::Builder::Limits(GatewayLimits limits) {
  this->limits = limits;
  return *this;
}

Gateway::Builder& Gateway::Builder::StatusSource(
    std::function<std::string()> source) {
  this->status = std::move(source);
  return *this;
}

Gateway::Builder& Gateway::Builder::ReadySource(std::function<bool()> source) {
  this->ready = std::move(source);
  return *this;
}

Gateway::Builder& Gateway::Builder::Events(const Timeline* timeline) {
  this->timeline = timeline;
  return *this;
}

Gateway::Builder& Gateway::Builder::Sink(EventSink* sink) {
  this->sink = sink;
  return *this;
}

Gateway::Builder& Gateway::Builder::Measure(Metrics* metrics) {
  this->metrics = metrics;
  return *this;
}

std::unique_ptr<Gateway> Gateway::Builder::Build() {
  gateway_detail::CallerOptions options{.process = this->process,
                                        .incarnation = this->incarnation,
                                        .max_timeout = this->limits.max_timeout,
                                        .sink = this->sink,
                                        .metrics = this->metrics};
  gateway_detail::OperatorSources sources{.status = this->status,
                                          .ready = this->ready,
                                          .timeline = this->timeline,
                                          .metrics = this->metrics};
  auto made = std::make_unique<State>(std::move(options), std::move(sources),
                                      this->limits);
  made->callers_host = this->callers_host;
  made->callers_port = this->callers_port;
  made->operators_host = this->operators_host;
  made->operators_port = this->operators_port;
  return std::unique_ptr<Gateway>(new Gateway(std::move(made)));
}

}  // namespace mustardproxy
