#include "lifecycle/peer_consent.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {

void PeerConsent::Ask(const RequestId& request) {
  Inquiry& inquiry = this->inquiries[request];
  for (const ProcessId& peer : this->parts->local_peers) {
    const bool done = inquiry.consented.contains(peer);
    if (done || !inquiry.asked.insert(peer).second) {
      continue;
    }
    AskPeer ask;
    ask.query = this->parts->NewQuery();
    ask.peer = peer;
    ask.request = request;
    ask.stop_orphans = true;
    this->questions[ask.query] = Question{request, peer};
    this->parts->context.Emit(std::move(ask));
  }
}

Instant PeerConsent::Since(const RequestId& request) const {
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
  const auto found = this->questions.find(event.query);
  if (found == this->questions.end()) {
    return false;
  }
  const Question question = std::move(found->second);
  this->questions.erase(found);
  const auto inquiry = this->inquiries.find(question.request);
  if (inquiry == this->inquiries.end()) {
    return true;
  }
  inquiry->second.asked.erase(question.peer);
  // An empty answer may also mean that the peer could not be asked.
  const bool nothing_left = event.status && !event.status->ran &&
                            event.status->state == DeferredState::kUnknown;
  if (nothing_left) {
    inquiry->second.consented[question.peer] = this->parts->context.now;
  }
  return true;
}

}  // namespace mustardproxy::detail
