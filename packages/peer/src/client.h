#ifndef MUSTARDPROXY_PEER_CLIENT_H_
#define MUSTARDPROXY_PEER_CLIENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bounds.h"
#include "channel.h"
#include "client_calls.h"
#include "identity.h"
#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/peer/peer_link.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy::peer_detail {

/// Turns a fetched configuration document into the core's type.
using ConfigurationParser =
    std::function<std::optional<Configuration>(std::string_view)>;

/// The calls that this process makes to its peers. Each function returns at
/// once; the result is posted as an event from a thread of gRPC.
class PeerClient {
 public:
  PeerClient(const Identity* identity, const std::vector<PeerAddress>& peers,
             ConfigurationParser parser, EventSink* sink, Metrics* metrics);

  /// Unused connections to other data centres are closed down to `spare`.
  void KeepChannels(std::int32_t spare, Duration idle);

  void Heartbeat(const SendDigest& action);
  void Forward(const ForwardRequest& action);
  void Cancel(const ForwardCancel& action);
  void Fetch(const FetchConfiguration& action);
  void Ask(const QueryPeer& action);
  /// Ends all calls, after `limit` by force. No event is posted afterwards.
  void Stop(std::chrono::milliseconds limit);

 private:
  /// A peer and the connection to it.
  struct Peer {
    std::string address;
    bool local = false;
    /// When the last call on the channel was made.
    Instant used;
    /// Made at the first use.
    std::shared_ptr<PeerChannel> channel;
    /// Heartbeats in a row that failed on this channel.
    int misses = 0;
    bool mismatch_logged = false;
  };

  /// @return the channel in use, or null for a process that is not known
  [[nodiscard]] std::shared_ptr<PeerChannel> Channel(const ProcessId& peer);
  /// Drops the connections that were unused longest, if they are too many.
  void CloseUnused();
  /// @return peers of other data centres whose connection no call uses
  [[nodiscard]] std::vector<Peer*> Unused(Instant now);
  /// @return a call with a sealed envelope, or null for an unknown process
  template <typename RequestMessage, typename ReplyMessage>
  [[nodiscard]] std::shared_ptr<ClientCall<RequestMessage, ReplyMessage>> Make(
      const ProcessId& peer, std::chrono::milliseconds timeout);
  /// @return true if the peer answered and the reply is to be believed
  template <typename ReplyMessage>
  [[nodiscard]] bool Accept(const ProcessId& peer, const grpc::Status& status,
                            const ReplyMessage& reply);
  void LogMismatch(const ProcessId& peer);

  void OnHeartbeat(const ProcessId& peer,
                   const std::shared_ptr<PeerChannel>& channel,
                   const std::optional<Digest>& digest);
  void OnForward(const RequestId& request, const ProcessId& peer,
                 const grpc::Status& status, peer::ForwardReply* reply);
  void OnConfiguration(const ProcessId& peer, const grpc::Status& status,
                       const peer::ConfigurationReply& reply);
  void PostForwardFailed(const RequestId& request, const ProcessId& peer,
                         bool not_sent);

  const Identity* identity;
  ConfigurationParser parser;
  EventSink* sink;
  Metrics* metrics;
  std::shared_ptr<CallRegistry> registry;

  std::mutex mutex;
  std::map<ProcessId, Peer> peers;
  std::int32_t spare_channels = kSpareChannels;
  Duration channel_idle = kChannelIdle;
};

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_CLIENT_H_
