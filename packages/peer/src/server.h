#ifndef MUSTARDPROXY_PEER_SERVER_H_
#define MUSTARDPROXY_PEER_SERVER_H_

#include <grpcpp/server.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace mustardproxy::peer_detail {

/// Begins to serve peers, with the bounds and keepalives that all our servers
/// share.
/// @param port 0 lets the operating system choose; set to the port in use
/// @return null if it can't listen there
[[nodiscard]] std::unique_ptr<grpc::Server> StartServer(const std::string& host,
                                                        std::uint16_t* port,
                                                        grpc::Service* service);

/// Time that calls get to end after they were answered.
inline constexpr auto kFlushLimit = std::chrono::seconds(1);

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_SERVER_H_
