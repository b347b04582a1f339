#include "lifecycle/forwarding.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::detail {
namespace {

constexpr std::int32_t kMaxHops = 2;
/// Maximum number of times that one process forwards one request.
constexpr std::int32_t kMaxForwards = 3;
/// The peer's timeout is shorter by this much, so that its answer arrives in
/// time.
constexpr Duration kForwardMargin = std::chrono::milliseconds(20);
/// Delays before a cancellation is repeated; each is twice the previous one.
constexpr Duration kInitialCancelDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxCancelDelay = std::chrono::seconds(5);
constexpr std::int32_t kAcceptedStatus = 202;
constexpr std::int32_t kBadGatewayStatus = 502;
/// Maximum number of entries in `accepted_by`; bounds the memory.
constexpr std::size_t kMaxRememberedPeers = 20000;

/// Errors that any other process would return as well.
bool IsFinalError(std::error_code error) {
  return error == Error::kUnknownTeam || error == Error::kHeaderInvalid ||
         error == Error::kBodyTooLarge || error == Error::kCancelled ||
         error == Error::kKeyReused || error == Error::kKeyInProgress;
}

}  // namespace

bool Forwarding::MayForward(const ActiveRequest& entry) const {
  const Duration left = entry.deadline - this->parts->context.now;
  return entry.request.hops < kMaxHops && entry.forwards < kMaxForwards &&
         left > 2 * kForwardMargin && !entry.caller_gone;
}

std::optional<std::vector<ProcessId>> Forwarding::ExcludedPeers(
    const ActiveRequest& entry, Reach reach) const {
  std::vector<ProcessId> excluded = entry.avoid_peers;
  excluded.push_back(entry.request.origin);
  const bool from_local_peer = this->parts->IsLocal(entry.request.origin);
  bool allow_local = true;
  bool allow_remote = reach == Reach::kAnywhere;
  // At most one hop within a data centre and two in total, so that requests are
  // not forwarded in a loop. After a hop within the data centre, only peers of
  // other data centres are allowed.
  if (entry.request.hops > 0) {
    allow_local = !from_local_peer;
    allow_remote = allow_remote && from_local_peer;
  }
  if (!allow_local && !allow_remote) {
    return std::nullopt;
  }
  if (!allow_local) {
    const auto& peers = this->parts->local_peers;
    excluded.insert(excluded.end(), peers.begin(), peers.end());
  }
  if (!allow_remote) {
    const auto& peers = this->parts->remote_peers;
    excluded.insert(excluded.end(), peers.begin(), peers.end());
  }
  return excluded;
}

bool Forwarding::TryForward(ActiveRequest* entry, Reach reach) {
  if (!this->MayForward(*entry)) {
    return false;
  }
  const auto excluded = this->ExcludedPeers(*entry, reach);
  if (!excluded) {
    return false;
  }
  const std::optional<ProcessId> peer =
      this->parts->membership.ChooseForwardTarget(
          this->parts->context.now, entry->terms.resources, *excluded,
          this->parts->context.random());
  if (!peer) {
    return false;
  }
  this->Send(entry, *peer);
  return true;
}

bool Forwarding::TryForwardToOwner(ActiveRequest* entry) {
  if (this->TryForward(entry, Reach::kAnywhere)) {
    return true;
  }
  const auto excluded = this->ExcludedPeers(*entry, Reach::kOwnDataCenter);
  if (!this->MayForward(*entry) || !excluded) {
    return false;
  }
  for (const ProcessId& peer : this->parts->local_peers) {
    const auto digest = this->parts->membership.LastDigest(peer);
    const bool allowed = std::ranges::find(*excluded, peer) == excluded->end();
    if (allowed && digest && digest->owned_workers > 0 && !digest->stopping) {
      this->Send(entry, peer);
      return true;
    }
  }
  return false;
}

void Forwarding::Send(ActiveRequest* entry, const ProcessId& peer) {
  CoreContext& context = this->parts->context;
  if (entry->phase == RequestPhase::kQueued) {
    this->parts->scheduler.Cancel(entry->request.id);
  }
  entry->phase = RequestPhase::kForwarded;
  entry->peer = peer;
  ++entry->forwards;
  ForwardRequest forward;
  forward.peer = peer;
  forward.request = entry->request;
  ++forward.request.hops;
  forward.request.timeout = entry->deadline - context.now - kForwardMargin;
  TimelineEvent event =
      RequestEvent(TimelineKind::kRequestForwarded, entry->request.id);
  event.peer = peer;
  context.Record(std::move(event));
  context.Emit(std::move(forward));
}

void Forwarding::Cancel(ActiveRequest* entry) {
  // Failure: a cancellation is a separate call that can be lost, or arrive
  // before its request, which the peer then does not know. The work then
  // occupies a worker until it ends although its caller has disconnected. The
  // cancellation is repeated until the peer answers the request, so one repeat
  // arrives after the request.
  this->parts->context.Emit(ForwardCancel{entry->peer, entry->request.id});
  entry->cancel_delay =
      std::clamp(2 * entry->cancel_delay, kInitialCancelDelay, kMaxCancelDelay);
  this->cancels.Set(entry->request.id,
                    this->parts->context.now + entry->cancel_delay);
}

void Forwarding::Tick() {
  for (const RequestId& request :
       this->cancels.TakeDue(this->parts->context.now)) {
    ActiveRequest* entry = this->parts->table.Find(request);
    if (entry != nullptr && entry->phase == RequestPhase::kForwarded) {
      this->Cancel(entry);
    }
  }
}

void Forwarding::On(const ForwardAnswered& event) {
  ActiveRequest* entry = this->parts->table.Find(event.request);
  const bool waiting = entry != nullptr && entry->peer == event.peer &&
                       (entry->phase == RequestPhase::kForwarded ||
                        entry->phase == RequestPhase::kRecalling);
  if (!waiting) {
    return;
  }
  if (event.answer.outcome == Outcome::kNotRun) {
    this->HandleNotRun(entry, event.answer);
    return;
  }
  if (entry->terms.deferred && event.answer.status == kAcceptedStatus) {
    this->RecordAcceptedBy(event.request, event.peer);
    if (entry->claimed) {
      this->parts->claims.SettleAccepted(entry->request);
    }
    this->parts->context.Emit(ReplyAccepted{event.request});
    this->parts->table.Remove(event.request);
    return;
  }
  this->parts->answers.Finish(entry, event.answer);
}

void Forwarding::HandleNotRun(ActiveRequest* entry, Answer answer) {
  entry->avoid_peers.push_back(entry->peer);
  if (IsFinalError(answer.error)) {
    this->parts->answers.Finish(entry, std::move(answer));
    return;
  }
  this->parts->requests.Retry(entry, std::move(answer));
}

void Forwarding::On(const ForwardFailed& event) {
  ActiveRequest* entry = this->parts->table.Find(event.request);
  const bool waiting = entry != nullptr && entry->peer == event.peer &&
                       entry->phase == RequestPhase::kForwarded;
  if (!waiting) {
    return;
  }
  if (event.not_sent) {
    Answer answer;
    answer.error = Error::kPeerLost;
    answer.detail = "peer " + event.peer.Text() + " is unreachable";
    this->HandleNotRun(entry, std::move(answer));
    return;
  }
  if (entry->terms.deferred) {
    this->RecordAcceptedBy(event.request, event.peer);
  }
  const bool recall = entry->terms.idempotent && !entry->terms.deferred &&
                      this->parts->membership.Alive(event.peer);
  if (!recall) {
    this->parts->answers.AnswerUnknown(
        entry, Error::kPeerLost,
        "the connection to peer " + event.peer.Text() +
            " was lost after the request was forwarded");
    return;
  }
  // The peer may still run the request. It must confirm that it has stopped the
  // request before the request is placed again, or it could run twice at the
  // same time.
  entry->phase = RequestPhase::kRecalling;
  QueryPeer ask;
  ask.query = this->parts->NewQuery();
  ask.peer = event.peer;
  ask.request = event.request;
  ask.cancel = true;
  this->recalls[ask.query] = event.request;
  entry->recall_query = ask.query;
  this->parts->context.Emit(std::move(ask));
}

bool Forwarding::OnQueryAnswered(const QueryAnswered& event) {
  const auto found = this->recalls.find(event.query);
  if (found == this->recalls.end()) {
    return false;
  }
  const RequestId request = found->second;
  this->recalls.erase(found);
  ActiveRequest* entry = this->parts->table.Find(request);
  if (entry == nullptr || entry->phase != RequestPhase::kRecalling ||
      entry->recall_query != event.query) {
    return true;
  }
  const bool stopped =
      event.status && event.status->state == DeferredState::kCancelled;
  if (!stopped) {
    this->parts->answers.AnswerUnknown(
        entry, Error::kPeerLost,
        "a peer did not confirm that it stopped the request");
    return true;
  }
  Answer last;
  last.outcome = Outcome::kUnknown;
  last.status = kBadGatewayStatus;
  last.error = Error::kPeerLost;
  last.detail =
      "the connection to a peer was lost after the request was forwarded";
  if (event.status->ran) {
    entry->may_have_run = true;
  } else {
    last.outcome = Outcome::kNotRun;
    last.status = kUnavailableStatus;
  }
  entry->avoid_peers.push_back(entry->peer);
  this->parts->requests.Retry(entry, std::move(last));
  return true;
}

std::optional<ProcessId> Forwarding::AcceptedBy(
    const RequestId& request) const {
  const auto found = this->accepted_by.find(request);
  if (found == this->accepted_by.end()) {
    return std::nullopt;
  }
  return found->second;
}

void Forwarding::RecordAcceptedBy(const RequestId& request,
                                  const ProcessId& peer) {
  if (!this->accepted_by.insert_or_assign(request, peer).second) {
    return;
  }
  this->accepted_by_order.push_back(request);
  if (this->accepted_by_order.size() > kMaxRememberedPeers) {
    this->accepted_by.erase(this->accepted_by_order.front());
    this->accepted_by_order.pop_front();
  }
}

}  // namespace mustardproxy::detail
