#ifndef MUSTARDPROXY_PEER_IDENTITY_H_
#define MUSTARDPROXY_PEER_IDENTITY_H_

#include <string>
#include <string_view>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/membership.h"
#include "mustardproxy/telemetry/clock.h"
#include "peer.pb.h"

namespace mustardproxy::peer_detail {

/// Who this process is towards its peers, and whom it takes messages from.
struct Identity {
  std::string customer;
  PeerDescription self;
  Incarnation incarnation = 0;
  HybridClock* clock = nullptr;

  /// Fills the envelope of a message that is about to be sent.
  void Seal(std::string_view recipient, peer::Envelope* envelope) const;
  /// @return true if sender and receiver belong together: same customer, same
  ///   protocol version, meant for this process. Only then the sender's clock
  ///   reading is taken in.
  [[nodiscard]] bool Accept(const peer::Envelope& envelope) const;
};

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_IDENTITY_H_
