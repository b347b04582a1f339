#include "lifecycle/peer_consent.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {

void PeerConsent::QueryPeers(const RequestId& request) {
  Inquiry& inquiry = this->inquiries[request];
  for (const ProcessId& peer : this->parts->local_peers) {
    const bool done = inquiry.consented.contains(peer);
    if (done || !inquiry.queried.insert(peer).second) {
      continue;
    }
    QueryPeer ask;
    ask.query = this->parts->NewQuery();
    ask.peer = peer;
    ask.request = request;
    ask.stop_orphans = true;
    this->pending_queries[ask.query] = PendingQuery{request, peer};
    this->parts->context.Emit(std::move(ask));
  }
}

Instant PeerConsent::LastConsentAt(const RequestId& request) const {
  Instant since;
  const auto found = this->inquiries.find(request);
  for (const ProcessId& peer : this->parts->local_peers) {
    if (found == this->inquiries.end() ||
        !found->second.consented.contains(peer)) {
      return Instant::max();
    }
    since = std::max(since, found->second.consented.at(peer));
  }
  return since;
}

void PeerConsent::Forget(const RequestId& request) {
  this->inquiries.erase(request);
}

bool PeerConsent::OnQueryAnswered(const QueryAnswered& event) {
  const auto found = this->pending_queries.find(event.query);
  if (found == this->pending_queries.end()) {
    return false;
  }
  const PendingQuery pending = std::move(found->second);
  this->pending_queries.erase(found);
  const auto inquiry = this->inquiries.find(pending.request);
  if (inquiry == this->inquiries.end()) {
    return true;
  }
  inquiry->second.queried.erase(pending.peer);
  // An empty answer may also mean that the peer could not be reached.
  const bool nothing_left = event.status && !event.status->ran &&
                            event.status->state == DeferredState::kUnknown;
  if (nothing_left) {
    inquiry->second.consented[pending.peer] = this->parts->context.now;
  }
  return true;
}

}  // namespace mustardproxy::detail
