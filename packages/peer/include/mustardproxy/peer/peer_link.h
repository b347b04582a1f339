#ifndef MUSTARDPROXY_PEER_PEER_LINK_H_
#define MUSTARDPROXY_PEER_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/membership.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy {

/// Address of another entry process.
struct PeerAddress {
  PeerDescription peer;
  /// `ip:port` of its gRPC listener.
  std::string address;
};

/// Both ends of the gRPC protocol between entry processes. Requests that peers
/// send become events; replies to them are handed in with `Reply`. Each
/// `Perform` returns at once; results are posted as events from threads of
/// gRPC. All functions but `Start` are safe from any thread.
///
/// What results mean:
/// - `ForwardAnswered` with status 202 and outcome completed, for a service
/// with
///   a deferred profile: the peer has accepted the request into its journal.
/// - `ForwardFailed` with `not_sent`: there was no connection to send it on, or
///   the peer itself refused it before it became an event there. Any other
///   failure of a call that was begun leaves `not_sent` false.
/// - A forwarded request whose sender gave up or is gone becomes a
///   `CancelRequested`. Its reply is still to be handed in, and is dropped.
/// - A peer of another customer, protocol version or name counts as
/// unreachable.
///
/// A connection on which two heartbeats in a row stay without an answer is
/// replaced; calls in progress on it are left to end by themselves.
class PeerLink {
 public:
  class Builder;
  ~PeerLink();

  /// Begins to listen.
  /// @return the port in use, or an error
  [[nodiscard]] Result<std::uint16_t> Start();
  /// Takes nothing new, waits for what is in progress up to the stop limit, and
  /// cancels the rest. No event is posted after it. A second call does nothing.
  /// Not to be called from a thread that the replies or the sink depend on
  /// while requests are in progress.
  void Stop();

  void Perform(const SendDigest& action);
  void Perform(const ForwardRequest& action);
  void Perform(const ForwardCancel& action);
  void Perform(const FetchConfiguration& action);
  void Perform(const QueryPeer& action);

  /// Ends a forwarded request with its answer.
  /// @return false if the request did not come from a peer
  bool TryPerform(const Reply& action);
  /// The same for accepted deferred work.
  bool TryPerform(const ReplyAccepted& action);
  /// Ends a peer's question (query numbers drawn by this object have the top
  /// bit set).
  /// @return false if the question did not come from a peer
  bool TryPerform(const AnswerQuery& action);
  /// What heartbeats are answered with and what peers may fetch; called by the
  /// control thread whenever either changes.
  void Publish(const Digest& digest, const std::string& configuration_json);

 private:
  struct State;
  explicit PeerLink(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/// Makes a `PeerLink`.
class PeerLink::Builder {
 public:
  /// Peers of another customer are refused.
  Builder& Customer(std::string customer);
  Builder& Self(PeerDescription self, Incarnation incarnation);
  Builder& Listen(std::string host, std::uint16_t port);
  Builder& Peers(std::vector<PeerAddress> peers);
  /// Turns a fetched document into an event; given by the application so that
  /// this package needs no parser.
  Builder& ConfigurationParser(
      std::function<std::optional<Configuration>(std::string_view)> parser);
  Builder& Sink(EventSink* sink);
  Builder& Clock(HybridClock* clock);
  /// Optional.
  Builder& Measure(Metrics* metrics);
  /// Connections to processes of other data centres that stay open although no
  /// call was made on them for `idle`; 8 and 30 s unless given. Those above it
  /// are closed at heartbeats, and opened again by the next call. Connections
  /// within the data centre are kept.
  Builder& SpareChannels(std::int32_t spare, Duration idle);
  /// Time that requests in progress get at the stop; 5 s unless given.
  Builder& StopLimit(Duration limit);
  /// Customer, self, sink, clock and parser must have been given.
  [[nodiscard]] std::unique_ptr<PeerLink> Build();

 private:
  std::string customer;
  PeerDescription self;
  Incarnation incarnation = 0;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::vector<PeerAddress> peers;
  std::function<std::optional<Configuration>(std::string_view)> parser;
  EventSink* sink = nullptr;
  HybridClock* clock = nullptr;
  Metrics* metrics = nullptr;
  std::optional<std::int32_t> spare_channels;
  Duration channel_idle{0};
  Duration stop_limit = std::chrono::seconds(5);
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_PEER_PEER_LINK_H_
