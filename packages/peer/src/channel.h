#ifndef MUSTARDPROXY_PEER_CHANNEL_H_
#define MUSTARDPROXY_PEER_CHANNEL_H_

#include <grpcpp/channel.h>

#include <memory>
#include <string>

#include "peer.grpc.pb.h"

namespace mustardproxy::peer_detail {

/// @param address `ip:port`
/// @return a channel with a connection of its own, which is not made yet
[[nodiscard]] std::shared_ptr<grpc::Channel> MakeChannel(
    const std::string& address);

/// A gRPC channel with a connection of its own to one peer. It reconnects by
/// itself; a connection that went silent is replaced by making another channel.
class PeerChannel {
 public:
  /// @param address `ip:port`
  explicit PeerChannel(const std::string& address);

  /// @return true if connected; otherwise a connection attempt is begun
  [[nodiscard]] bool Connected() const;
  [[nodiscard]] peer::Peer::Stub* Stub() const { return this->stub.get(); }

 private:
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<peer::Peer::Stub> stub;
};

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_CHANNEL_H_
