#include "server.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

#include "bounds.h"

namespace mustardproxy::peer_detail {
namespace {

/// Peers ping every 2 s; pings at half of that are still in order.
constexpr int kMinPingMs = 1000;
/// Connections of peers that are gone without a word are closed in the end.
constexpr int kServerKeepaliveMs = 10'000;
constexpr int kServerKeepaliveTimeoutMs = 10'000;
/// Bounds what gRPC holds for all peers together.
constexpr std::size_t kGrpcBytes = 16 << 20;
/// @return an address as gRPC takes it; IPv6 stands in brackets
std::string ListenAddress(const std::string& host, std::uint16_t port) {
  const bool bare_ipv6 = host.find(':') != std::string::npos && host[0] != '[';
  const std::string name = bare_ipv6 ? "[" + host + "]" : host;
  return name + ":" + std::to_string(port);
}

void Limit(grpc::ServerBuilder* builder) {
  builder->SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder->SetMaxSendMessageSize(kMaxMessageBytes);
  builder->SetResourceQuota(grpc::ResourceQuota("peer").Resize(kGrpcBytes));
  builder->AddChannelArgument(GRPC_ARG_ENABLE_CHANNELZ, 0);
  builder->AddChannelArgument(GRPC_ARG_MAX_CHANNEL_TRACE_EVENT_MEMORY_PER_NODE,
                              0);
}

void SetKeepalive(grpc::ServerBuilder* builder) {
  builder->AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, kMinPingMs);
  // Never end a connection for its pings: calls in progress would be lost.
  builder->AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  builder->AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder->AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  builder->AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kServerKeepaliveMs);
  builder->AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                              kServerKeepaliveTimeoutMs);
}

}  // namespace

std::unique_ptr<grpc::Server> StartServer(const std::string& host,
                                          std::uint16_t* port,
                                          grpc::Service* service) {
  grpc::ServerBuilder builder;
  int chosen = 0;
  builder.AddListeningPort(ListenAddress(host, *port),
                           grpc::InsecureServerCredentials(), &chosen);
  // Failure: two processes are given the same port, both start, and each gets a
  // part of the peers' connections. Without sharing the second fails to start.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Limit(&builder);
  SetKeepalive(&builder);
  builder.RegisterService(service);
  std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  if (!server || chosen == 0) return nullptr;
  *port = static_cast<std::uint16_t>(chosen);
  return server;
}

}  // namespace mustardproxy::peer_detail
