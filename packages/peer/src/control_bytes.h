#ifndef MUSTARDPROXY_PEER_SRC_CONTROL_BYTES_H_
#define MUSTARDPROXY_PEER_SRC_CONTROL_BYTES_H_

#include <cstddef>
#include <cstdint>

#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy::peer_detail {

/// Counts control messages to and from peers, without the framing of gRPC.
/// Forwarded requests and their answers are callers' traffic and not counted.
/// @param metrics may be null
template <typename... Messages>
void CountControl(Metrics* metrics, const Messages&... messages) {
  if (metrics == nullptr) return;
  const std::size_t bytes = (messages.ByteSizeLong() + ...);
  metrics->Count("control_bytes", "to=peer", static_cast<std::int64_t>(bytes));
}

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_SRC_CONTROL_BYTES_H_
