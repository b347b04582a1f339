#ifndef MUSTARDPROXY_GATEWAY_GATEWAY_H_
#define MUSTARDPROXY_GATEWAY_GATEWAY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/telemetry/metrics.h"
#include "mustardproxy/telemetry/timeline.h"

namespace mustardproxy {

/// Bounds on what strangers can make the gateway hold.
struct GatewayLimits {
  std::int32_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 1'048'576;
  std::int32_t max_connections = 512;
  Duration max_timeout = std::chrono::minutes(10);
  /// Time for a whole header, and for the first byte of a new connection.
  std::chrono::milliseconds header_time = std::chrono::seconds(10);
  /// Time for a whole body.
  std::chrono::milliseconds body_time = std::chrono::seconds(30);
  /// Time in which the caller must take a whole answer.
  std::chrono::milliseconds send_time = std::chrono::seconds(30);
};

/// The HTTP listeners towards callers and operators. A caller's request becomes
/// an event and its thread waits for the reply.
class Gateway {
 public:
  class Builder;
  ~Gateway();

  /// Ports in use.
  struct Ports {
    std::uint16_t callers = 0;
    std::uint16_t operators = 0;
  };
  [[nodiscard]] Result<Ports> Start();
  /// Readiness goes off; new requests are refused with Retry-After.
  void Drain();
  /// Ends all waiting threads and joins them.
  void Stop();

  /// Hand in the ends of requests. Requests that this object did not begin are
  /// ignored.
  void Perform(const Reply& action);
  void Perform(const ReplyAccepted& action);
  void Perform(const AnswerQuery& action);

 private:
  struct State;
  explicit Gateway(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/// Makes a `Gateway`.
class Gateway::Builder {
 public:
  /// Request ids are `<process>.<incarnation in hex>.<counter>`.
  Builder& Self(ProcessId process, Incarnation incarnation);
  Builder& ListenCallers(std::string host, std::uint16_t port);
  Builder& ListenOperators(std::string host, std::uint16_t port);
  Builder& Limits(GatewayLimits limits);
  /// JSON for `GET /v1/status`; called on traffic threads.
  Builder& StatusSource(std::function<std::string()> source);
  /// True once a configuration is in force and nothing is being drained.
  Builder& ReadySource(std::function<bool()> source);
  Builder& Events(const Timeline* timeline);
  Builder& Sink(EventSink* sink);
  Builder& Measure(Metrics* metrics);
  [[nodiscard]] std::unique_ptr<Gateway> Build();

 private:
  ProcessId process;
  Incarnation incarnation = 0;
  std::string callers_host = "127.0.0.1";
  std::uint16_t callers_port = 0;
  std::string operators_host = "127.0.0.1";
  std::uint16_t operators_port = 0;
  GatewayLimits limits;
  std::function<std::string()> status;
  std::function<bool()> ready;
  const Timeline* timeline = nullptr;
  EventSink* sink = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_GATEWAY_GATEWAY_H_
