#ifndef MUSTARDPROXY_PEER_WIRE_H_
#define MUSTARDPROXY_PEER_WIRE_H_

#include <optional>
#include <string_view>

#include "mustardproxy/core/digest.h"
#include "mustardproxy/core/request.h"
#include "peer.pb.h"

/// Conversion between the core's types and the messages. What a peer sent is
/// checked for sizes, ranges and characters; nothing is returned for a
/// malformed message. Bodies are moved out of messages, not copied.
namespace mustardproxy::peer_detail {

/// @return true for 1 to `kMaxNameBytes` bytes without control characters
[[nodiscard]] bool IsName(std::string_view text);

void ToWire(const Digest& digest, peer::Digest* message);
/// Process and incarnation stand in the envelope.
[[nodiscard]] std::optional<Digest> FromWire(const peer::Digest& message,
                                             const peer::Envelope& envelope);

void ToWire(const Request& request, peer::ForwardRequest* message);
[[nodiscard]] std::optional<Request> FromWire(peer::ForwardRequest* message);

/// An answer too large for a message becomes *unknown*, so that its caller gets
/// an error and not a part of it.
void ToWire(const Answer& answer, peer::Answer* message);
[[nodiscard]] std::optional<Answer> FromWire(peer::Answer* message);

void ToWire(const std::optional<DeferredStatus>& status,
            peer::QueryReply* message);
/// @param request the request that was asked about
/// @return empty if malformed or unknown to the peer
[[nodiscard]] std::optional<DeferredStatus> FromWire(const RequestId& request,
                                                     peer::QueryReply* message);

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_WIRE_H_
