#ifndef MUSTARDPROXY_PEER_GRPC_LOG_H_
#define MUSTARDPROXY_PEER_GRPC_LOG_H_

namespace mustardproxy::peer_detail {

/// Sends the log lines of the gRPC library through ours. Once is enough for a
/// process; more do no harm.
void RouteGrpcLog();

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_GRPC_LOG_H_
