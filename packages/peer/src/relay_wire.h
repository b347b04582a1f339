#ifndef MUSTARDPROXY_PEER_RELAY_WIRE_H_
#define MUSTARDPROXY_PEER_RELAY_WIRE_H_

#include "job_peer.pb.h"
#include "mustardproxy/jobs/relayed_orders.h"

namespace mustardproxy::peer_detail {

[[nodiscard]] peer::jobs::RelayBatch ToWire(const jobs::RelayBatch& batch);
[[nodiscard]] jobs::RelayBatch FromWire(const peer::jobs::RelayBatch& wire);
[[nodiscard]] peer::jobs::RelayedResults ToWire(
    const jobs::RelayedResults& results);
/// @return everything but `received_at`
[[nodiscard]] jobs::RelayedResults FromWire(
    const peer::jobs::RelayedResults& wire);

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_RELAY_WIRE_H_
