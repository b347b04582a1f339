#include "lifecycle/orphan_gangs.h"

#include <utility>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {
namespace {

/// A stop order may be lost.
constexpr Duration kStopAgain = std::chrono::seconds(2);

}  // namespace

void OrphanGangs::OnFound(const RequestId& request, const ServiceId& service) {
  const auto terms = TermsOf(this->parts->context.configuration, service);
  const bool candidate = terms && terms->tasks > 1 && terms->idempotent &&
                         !terms->deferred && !this->asking.contains(request) &&
                         this->parts->table.Find(request) == nullptr;
  if (!candidate) {
    return;
  }
  std::vector<ProcessId>& peers = this->asking[request];
  for (const auto* group :
       {&this->parts->local_peers, &this->parts->remote_peers}) {
    for (const ProcessId& peer : *group) {
      if (this->parts->membership.Alive(peer)) {
        peers.push_back(peer);
      }
    }
  }
  this->AskNext(request);
}

void OrphanGangs::AskNext(const RequestId& request) {
  std::vector<ProcessId>& peers = this->asking.at(request);
  if (peers.empty()) {
    this->retries.Set(request, this->parts->context.now);
    return;
  }
  AskPeer ask;
  ask.query = this->parts->NewQuery();
  ask.peer = peers.back();
  ask.request = request;
  peers.pop_back();
  this->questions[ask.query] = request;
  this->parts->context.Emit(std::move(ask));
}

bool OrphanGangs::OnQueryAnswered(const QueryAnswered& event) {
  const auto found = this->questions.find(event.query);
  if (found == this->questions.end()) {
    return false;
  }
  const RequestId request = found->second;
  this->questions.erase(found);
  if (event.status) {
    // Somebody follows it, and stops it if it is not whole.
    this->asking.erase(request);
    return true;
  }
  this->AskNext(request);
  return true;
}

void OrphanGangs::Tick() {
  const Instant now = this->parts->context.now;
  for (const RequestId& request : this->retries.TakeDue(now)) {
    if (!this->parts->workers.RunsOrphanOf(request)) {
      this->asking.erase(request);
      continue;
    }
    this->parts->workers.StopOrphansOf(request);
    this->retries.Set(request, now + kStopAgain);
  }
}

}  // namespace mustardproxy::detail
