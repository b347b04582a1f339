#include <utility>

#include "entry_process.h"

// What an entry process sends to its peers.
namespace mustardproxy::fault_matrix {
namespace {

constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(400);

}  // namespace

Step EntryProcess::StepOf(const QueryPeer& action) const {
  const bool result = !action.cancel && !action.stop_orphans &&
                      this->around->promises->Accepted(action.request);
  return result ? Step::kAskResult : Step::kAskPeer;
}

bool EntryProcess::Configured() const {
  return this->core != nullptr &&
         this->core->ConfigurationInForce().version > 0;
}

void EntryProcess::Do(const QueryPeer& action) {
  const auto found = this->around->processes.find(action.peer);
  if (found == this->around->processes.end()) {
    this->Deliver(QueryAnswered{action.query, std::nullopt});
    return;
  }
  EntryProcess* peer = found->second;
  Call call;
  call.from = this;
  call.to = peer;
  call.step = this->StepOf(action);
  call.timeout = std::chrono::seconds(6);
  call.work = [this, peer, action](const Respond& respond) {
    const std::uint64_t query = ++peer->last_peer_query;
    peer->peer_queries[query] =
        [this, action, respond](const std::optional<DeferredStatus>& status) {
          respond([this, action, status] {
            this->Handle(QueryAnswered{action.query, status});
          });
        };
    QueryArrived arrived;
    arrived.query = query;
    arrived.request = action.request;
    arrived.from_peer = true;
    arrived.cancel = action.cancel;
    arrived.stop_orphans = action.stop_orphans;
    peer->Handle(arrived);
  };
  call.lost = [this, action] {
    this->Handle(QueryAnswered{action.query, std::nullopt});
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const ForwardRequest& action) {
  EntryProcess* peer = this->around->processes.at(action.peer);
  const RequestId id = action.request.id;
  const ProcessId peer_id = action.peer;
  Call call;
  call.from = this;
  call.to = peer;
  call.step = Step::kForward;
  call.timeout = action.request.timeout + std::chrono::milliseconds(200);
  call.work = [this, peer, action](const Respond& respond) {
    peer->forwarded[action.request.id].push_back(
        [this, respond](const Event& event) {
          respond([this, event] { this->Handle(event); });
        });
    peer->Handle(RequestArrived{action.request});
  };
  call.not_sent = [this, id, peer_id] {
    this->Handle(ForwardFailed{id, peer_id, true});
  };
  call.lost = [this, id, peer_id] {
    this->Handle(ForwardFailed{id, peer_id, false});
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const ForwardCancel& action) {
  EntryProcess* peer = this->around->processes.at(action.peer);
  Call call;
  call.from = this;
  call.to = peer;
  call.step = Step::kAskPeer;
  call.work = [peer, action](const Respond& /*respond*/) {
    peer->Handle(CancelRequested{action.request});
  };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const SendDigest& action) {
  this->own_digest = action.digest;
  const auto found = this->around->processes.find(action.peer);
  if (found == this->around->processes.end()) {
    return;
  }
  EntryProcess* peer = found->second;
  Call call;
  call.from = this;
  call.to = peer;
  call.step = Step::kHeartbeat;
  call.timeout = kHeartbeatTimeout;
  call.work = [this, peer, action](const Respond& respond) {
    peer->Handle(DigestArrived{action.digest});
    if (peer->own_digest) {
      respond([this, digest = *peer->own_digest] {
        this->Handle(DigestArrived{digest});
      });
    }
  };
  call.lost = [this, id = action.peer] { this->Handle(PeerUnreachable{id}); };
  this->around->network->Send(std::move(call));
}

void EntryProcess::Do(const FetchConfiguration& action) {
  EntryProcess* peer = this->around->processes.at(action.peer);
  Call call;
  call.from = this;
  call.to = peer;
  call.step = this->Configured() ? Step::kFetchConfiguration
                                 : Step::kConfigurationStart;
  call.work = [this, peer](const Respond& respond) {
    if (peer->core == nullptr) {
      return;
    }
    respond([this, configuration = peer->core->ConfigurationInForce()] {
      this->Handle(ConfigurationArrived{configuration});
    });
  };
  this->around->network->Send(std::move(call));
}

}  // namespace mustardproxy::fault_matrix
