#include "lifecycle/query_flow.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"
#include "lifecycle/request_name.h"

namespace mustardproxy::detail {
namespace {

/// A cancellation that is not durable after this time is answered with the
/// current state.
constexpr Duration kCancelTimeout = std::chrono::seconds(5);
/// Maximum number of peers queried for one unknown request.
constexpr std::size_t kMaxPeersQueried = 8;

}  // namespace

void QueryFlow::On(const QueryArrived& event) {
  if (event.stop_orphans) {
    this->StopOrphans(event);
    return;
  }
  if (this->AnswerHere(event)) {
    return;
  }
  RelayedQuery next;
  next.query = event.query;
  next.request = event.request;
  next.cancel = event.cancel;
  next.from_peer = event.from_peer;
  next.peers_left = this->PeersToQuery(event.request, event.from_peer);
  this->QueryNextPeer(std::move(next));
}

void QueryFlow::StopOrphans(const QueryArrived& event) {
  this->parts->workers.StopOrphansOf(event.request);
  const bool tracked = this->StatusHere(event.request).has_value();
  DeferredStatus status;
  status.id = event.request;
  status.state = tracked ? DeferredState::kRunning : DeferredState::kUnknown;
  status.ran = tracked || this->parts->workers.RunsOrphanOf(event.request);
  this->Answer(event.query, std::move(status));
}

bool QueryFlow::AnswerHere(const QueryArrived& event) {
  if (event.cancel &&
      this->parts->deferred.Cancel(event.request, event.query)) {
    this->cancelling[event.query] = event.request;
    this->cancel_deadlines.Set(event.query,
                               this->parts->context.now + kCancelTimeout);
    return true;
  }
  ActiveRequest* entry = this->parts->table.Find(event.request);
  const bool recall = entry != nullptr && event.from_peer && event.cancel &&
                      !entry->terms.deferred;
  if (recall) {
    this->parts->requests.Recall(entry, event.query);
    return true;
  }
  std::optional<DeferredStatus> status = this->StatusHere(event.request);
  if (!status) {
    return false;
  }
  this->Answer(event.query, std::move(status));
  return true;
}

std::optional<DeferredStatus> QueryFlow::StatusHere(
    const RequestId& request) const {
  DeferredStatus status;
  status.id = request;
  const DeferredWork* work = this->parts->deferred.Find(request);
  if (work != nullptr) {
    const bool runs = work->phase == DeferredPhase::kRunning ||
                      work->phase == DeferredPhase::kEnding;
    status.state = runs ? DeferredState::kRunning : DeferredState::kQueued;
    status.ran = runs || work->may_have_run;
    return status;
  }
  const DeferredEntry* entry = this->parts->store.Find(request);
  // A recorded end is final, whichever process holds the journal now.
  if (entry != nullptr && entry->ended) {
    status.state = entry->state;
    status.result = entry->result;
    status.ran = entry->ran;
    return status;
  }
  const ActiveRequest* active = this->parts->table.Find(request);
  if (active != nullptr && !active->terms.deferred) {
    status.state = DeferredState::kRunning;
    return status;
  }
  return std::nullopt;
}

std::optional<DeferredStatus> QueryFlow::LastKnown(
    const RequestId& request) const {
  const DeferredEntry* entry = this->parts->store.Find(request);
  if (entry == nullptr) {
    return std::nullopt;
  }
  DeferredStatus status;
  status.id = request;
  status.state = entry->state;
  status.ran = entry->ran || !entry->started.empty();
  status.detail = "its journal is being transferred to another process";
  return status;
}

void QueryFlow::AnswerFromStore(std::uint64_t query, const RequestId& request) {
  this->cancel_deadlines.Clear(query);
  this->cancelling.erase(query);
  DeferredStatus status;
  status.id = request;
  const DeferredEntry* entry = this->parts->store.Find(request);
  if (entry != nullptr) {
    status.state = entry->state;
    status.result = entry->result;
    status.ran = entry->ran;
  }
  this->Answer(query, std::move(status));
}

std::vector<ProcessId> QueryFlow::PeersToQuery(const RequestId& request,
                                               bool from_peer) const {
  std::vector<ProcessId> peers;
  const auto add = [&](const ProcessId& peer) {
    const bool known = std::ranges::find(peers, peer) != peers.end();
    if (!known && peer != this->parts->context.Self() &&
        peers.size() < kMaxPeersQueried) {
      peers.push_back(peer);
    }
  };
  const auto accepted_by = this->parts->forwarding.AcceptedBy(request);
  if (accepted_by) {
    add(*accepted_by);
  }
  // The peer that sent the query queries the other processes itself.
  if (from_peer) {
    return peers;
  }
  const auto creator = CreatorOf(request);
  if (creator && this->parts->IsPeer(creator->process)) {
    add(creator->process);
  }
  for (const ProcessId& peer : this->parts->local_peers) {
    if (this->parts->membership.Alive(peer)) {
      add(peer);
    }
  }
  for (const ProcessId& peer : this->parts->remote_peers) {
    if (this->parts->membership.Alive(peer)) {
      add(peer);
    }
  }
  return peers;
}

void QueryFlow::QueryNextPeer(RelayedQuery next) {
  if (next.peers_left.empty()) {
    // Failure: the journal was adopted here while the peers were queried. If
    // only the state were looked up again, the caller would read "finished"
    // with an empty body, or a cancellation would not reach the work. So the
    // whole query is repeated.
    QueryArrived again;
    again.query = next.query;
    again.request = next.request;
    again.from_peer = next.from_peer;
    again.cancel = next.cancel;
    if (this->AnswerHere(again)) {
      return;
    }
    // A peer continues with other processes, which may know more.
    this->Answer(next.query,
                 next.from_peer ? std::nullopt : this->LastKnown(next.request));
    return;
  }
  QueryPeer ask;
  ask.query = this->parts->NewQuery();
  ask.peer = next.peers_left.front();
  ask.request = next.request;
  ask.cancel = next.cancel;
  next.peers_left.erase(next.peers_left.begin());
  this->relayed_queries.emplace(ask.query, std::move(next));
  this->parts->context.Emit(std::move(ask));
}

void QueryFlow::On(const QueryAnswered& event) {
  const auto found = this->relayed_queries.find(event.query);
  if (found == this->relayed_queries.end()) {
    return;
  }
  RelayedQuery next = std::move(found->second);
  this->relayed_queries.erase(found);
  if (event.status) {
    this->Answer(next.query, event.status);
    return;
  }
  this->QueryNextPeer(std::move(next));
}

void QueryFlow::Answer(std::uint64_t query,
                       std::optional<DeferredStatus> status) {
  this->parts->context.Emit(AnswerQuery{query, std::move(status)});
}

void QueryFlow::Tick() {
  for (const std::uint64_t query :
       this->cancel_deadlines.TakeDue(this->parts->context.now)) {
    const auto found = this->cancelling.find(query);
    if (found == this->cancelling.end()) {
      continue;
    }
    const RequestId request = found->second;
    this->cancelling.erase(found);
    this->parts->deferred.ForgetCancelQuery(request, query);
    std::optional<DeferredStatus> status = this->StatusHere(request);
    if (status) {
      status->detail = "the cancellation is not confirmed yet";
    }
    this->Answer(query, std::move(status));
  }
}

}  // namespace mustardproxy::detail
