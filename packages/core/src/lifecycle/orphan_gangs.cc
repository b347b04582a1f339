#include "lifecycle/orphan_gangs.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {
namespace {

/// Stop orders are repeated since they may be lost.
constexpr Duration kStopRetryInterval = std::chrono::seconds(2);
/// Initial and maximum delay until peers are queried again about a gang that
/// one of them tracks.
constexpr Duration kInitialPollDelay = std::chrono::seconds(2);
constexpr Duration kMaxPollDelay = std::chrono::seconds(30);

}  // namespace

void OrphanGangs::OnForeignTask(const RequestId& request,
                                const ServiceId& service) {
  const auto terms = TermsOf(this->parts->context.configuration, service);
  const bool candidate = terms && terms->tasks > 1 && terms->idempotent &&
                         !terms->deferred &&
                         !this->peers_to_query.contains(request) &&
                         this->parts->table.Find(request) == nullptr;
  if (!candidate) {
    return;
  }
  this->QueryPeers(request);
}

void OrphanGangs::QueryPeers(const RequestId& request) {
  std::vector<ProcessId>& peers = this->peers_to_query[request];
  peers.clear();
  for (const auto* group :
       {&this->parts->local_peers, &this->parts->remote_peers}) {
    for (const ProcessId& peer : *group) {
      if (this->parts->membership.Alive(peer)) {
        peers.push_back(peer);
      }
    }
  }
  this->QueryNextPeer(request);
}

void OrphanGangs::QueryNextPeer(const RequestId& request) {
  std::vector<ProcessId>& peers = this->peers_to_query.at(request);
  if (peers.empty()) {
    this->retries.Set(request, this->parts->context.now);
    return;
  }
  QueryPeer ask;
  ask.query = this->parts->NewQuery();
  ask.peer = peers.back();
  ask.request = request;
  peers.pop_back();
  this->pending_queries[ask.query] = request;
  this->parts->context.Emit(std::move(ask));
}

bool OrphanGangs::OnQueryAnswered(const QueryAnswered& event) {
  const auto found = this->pending_queries.find(event.query);
  if (found == this->pending_queries.end()) {
    return false;
  }
  const RequestId request = found->second;
  this->pending_queries.erase(found);
  if (event.status) {
    // A peer tracks the gang and stops it if it is incomplete. Failure: the
    // peer only forwarded the request, or it dies or loses the workers, and
    // stops tracking the request at the caller's timeout. The remaining tasks
    // would run on and occupy their workers until their time limit, so the
    // peers are queried again.
    Duration& delay = this->poll_delays[request];
    delay = std::clamp(2 * delay, kInitialPollDelay, kMaxPollDelay);
    this->next_queries.Set(request, this->parts->context.now + delay);
    return true;
  }
  this->QueryNextPeer(request);
  return true;
}

void OrphanGangs::Tick() {
  const Instant now = this->parts->context.now;
  for (const RequestId& request : this->retries.TakeDue(now)) {
    if (!this->parts->workers.RunsOrphanOf(request)) {
      this->Forget(request);
      continue;
    }
    this->parts->workers.StopOrphansOf(request);
    this->retries.Set(request, now + kStopRetryInterval);
  }
  for (const RequestId& request : this->next_queries.TakeDue(now)) {
    if (this->parts->workers.RunsOrphanOf(request)) {
      this->QueryPeers(request);
    } else {
      this->Forget(request);
    }
  }
}

void OrphanGangs::Forget(const RequestId& request) {
  this->peers_to_query.erase(request);
  this->poll_delays.erase(request);
}

}  // namespace mustardproxy::detail
