#include "channel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <climits>

#include "bounds.h"

namespace mustardproxy::peer_detail {
namespace {

constexpr int kKeepaliveMs = 2000;
/// Longer than short pauses of a peer, whose calls in progress would be lost.
constexpr int kKeepaliveTimeoutMs = 4000;
constexpr int kFirstReconnectMs = 100;
/// Longest pause between connection attempts, and longest attempt.
constexpr int kReconnectMs = 1000;

void SetReconnect(grpc::ChannelArguments* arguments) {
  arguments->SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kFirstReconnectMs);
  arguments->SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments->SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMs);
  arguments->SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, INT_MAX);
}

/// Failure: something between the ends forgets an open connection, and calls on
/// it wait for ever. Pings end such a connection and its calls.
void SetKeepalive(grpc::ChannelArguments* arguments) {
  arguments->SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments->SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments->SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments->SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
}

/// Failure: the library sends a call a second time by itself, and a request
/// that must not run twice does. So all its retries are off, and what is
/// decided elsewhere (name resolution, proxies) can't turn them on.
void SetSingleSend(grpc::ChannelArguments* arguments) {
  arguments->SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments->SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  arguments->SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
}

void SetMemory(grpc::ChannelArguments* arguments) {
  arguments->SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments->SetMaxSendMessageSize(kMaxMessageBytes);
  arguments->SetInt(GRPC_ARG_ENABLE_CHANNELZ, 0);
  arguments->SetInt(GRPC_ARG_MAX_CHANNEL_TRACE_EVENT_MEMORY_PER_NODE, 0);
}

grpc::ChannelArguments Arguments() {
  grpc::ChannelArguments arguments;
  SetReconnect(&arguments);
  SetKeepalive(&arguments);
  SetSingleSend(&arguments);
  SetMemory(&arguments);
  // A new channel must not share the connection of the one it replaces.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return arguments;
}

/// Addresses are numbers, so no name resolver and none of its threads is
/// needed.
std::string Target(const std::string& address) {
  return (address.starts_with('[') ? "ipv6:" : "ipv4:") + address;
}

}  // namespace

std::shared_ptr<grpc::Channel> MakeChannel(const std::string& address) {
  return grpc::CreateCustomChannel(
      Target(address), grpc::InsecureChannelCredentials(), Arguments());
}

PeerChannel::PeerChannel(const std::string& address)
    : channel(MakeChannel(address)), stub(peer::Peer::NewStub(this->channel)) {}

bool PeerChannel::Connected() const {
  constexpr bool kTryToConnect = true;
  return this->channel->GetState(kTryToConnect) == GRPC_CHANNEL_READY;
}

}  // namespace mustardproxy::peer_detail
