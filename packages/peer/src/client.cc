#include "client.h"

#include <algorithm>
#include <span>
#include <utility>

#include "bounds.h"
#include "control_bytes.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/clock.h"
#include "mustardproxy/telemetry/log.h"
#include "wire.h"

namespace mustardproxy::peer_detail {
namespace {

constexpr std::int32_t kAcceptedStatus = 202;

std::chrono::milliseconds CeilMilliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

/// @return true if the peer's own word is that the request did not run there
bool ProvesNotRun(peer::Refusal refusal) {
  switch (refusal) {
    case peer::REFUSAL_MISMATCH:
    case peer::REFUSAL_MALFORMED:
    case peer::REFUSAL_STOPPING:
    case peer::REFUSAL_OVERLOADED:
      return true;
    default:  // none, a duplicate, or one of a later version
      return false;
  }
}

std::optional<Answer> ReadAnswer(peer::ForwardReply* reply) {
  if (!reply->accepted()) return FromWire(reply->mutable_answer());
  Answer accepted;
  accepted.outcome = Outcome::kCompleted;
  accepted.status = kAcceptedStatus;
  return accepted;
}

}  // namespace

PeerClient::PeerClient(const Identity* identity,
                       const std::vector<PeerAddress>& peers,
                       ConfigurationParser parser, EventSink* sink,
                       Metrics* metrics)
    : identity(identity),
      parser(std::move(parser)),
      sink(sink),
      metrics(metrics),
      registry(std::make_shared<CallRegistry>()) {
  for (const PeerAddress& peer : peers) {
    Peer& entry = this->peers[peer.peer.process];
    entry.address = peer.address;
    entry.local = peer.peer.data_center == identity->self.data_center;
  }
}

void PeerClient::KeepChannels(std::int32_t spare, Duration idle) {
  this->spare_channels = spare;
  this->channel_idle = idle;
}

std::vector<PeerClient::Peer*> PeerClient::Unused(Instant now) {
  std::vector<Peer*> unused;
  for (auto& [process, peer] : this->peers) {
    // A call in progress holds its channel too.
    if (peer.local || peer.channel.use_count() != 1) continue;
    if (now - peer.used >= this->channel_idle) unused.push_back(&peer);
  }
  return unused;
}

// Failure: questions and forwards reach every process of the other data centres
// in time, each connection stays for good, and the process grows past its
// memory; it shows as resident memory that rises with the processes elsewhere.
// What heartbeats use is never unused for so long, and no call is cut: one in
// progress holds its channel, and a new one is made under the same lock.
void PeerClient::CloseUnused() {
  std::vector<std::shared_ptr<PeerChannel>> closed;
  const std::lock_guard lock(this->mutex);
  std::vector<Peer*> unused = this->Unused(SteadyNow());
  std::ranges::sort(unused, {}, [](const Peer* peer) { return peer->used; });
  const auto elsewhere =
      std::ranges::count_if(this->peers, [](const auto& entry) {
        return !entry.second.local && entry.second.channel;
      });
  const auto most = static_cast<std::ptrdiff_t>(unused.size());
  const auto excess =
      std::clamp<std::ptrdiff_t>(elsewhere - this->spare_channels, 0, most);
  for (Peer* peer : std::span(unused).first(excess)) {
    closed.push_back(std::move(peer->channel));
    peer->misses = 0;
  }
}

std::shared_ptr<PeerChannel> PeerClient::Channel(const ProcessId& peer) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) return nullptr;
  std::shared_ptr<PeerChannel>& channel = found->second.channel;
  if (!channel) channel = std::make_shared<PeerChannel>(found->second.address);
  found->second.used = SteadyNow();
  return channel;
}

template <typename RequestMessage, typename ReplyMessage>
std::shared_ptr<ClientCall<RequestMessage, ReplyMessage>> PeerClient::Make(
    const ProcessId& peer, std::chrono::milliseconds timeout) {
  std::shared_ptr<PeerChannel> channel = this->Channel(peer);
  if (!channel) return nullptr;
  auto call = std::make_shared<ClientCall<RequestMessage, ReplyMessage>>();
  call->channel = std::move(channel);
  SetTimeout(timeout, &call->context);
  this->identity->Seal(peer.Text(), call->request->mutable_envelope());
  return call;
}

template <typename ReplyMessage>
bool PeerClient::Accept(const ProcessId& peer, const grpc::Status& status,
                        const ReplyMessage& reply) {
  if (!status.ok()) return false;
  const bool belongs = reply.refusal() != peer::REFUSAL_MISMATCH &&
                       this->identity->Accept(reply.envelope()) &&
                       reply.envelope().process() == peer.Text();
  if (!belongs) this->LogMismatch(peer);
  return belongs && reply.refusal() == peer::REFUSAL_NONE;
}

void PeerClient::LogMismatch(const ProcessId& peer) {
  {
    const std::lock_guard lock(this->mutex);
    Peer& entry = this->peers[peer];
    if (std::exchange(entry.mismatch_logged, true)) return;
  }
  const std::error_code code = Error::kPeerMismatch;
  Log(Part::kPeer, Level::kError,
      "Process " + peer.Text() + " is left out: " + code.message() + ".");
}

void PeerClient::Heartbeat(const SendDigest& action) {
  using peer::HeartbeatReply;
  using peer::HeartbeatRequest;
  this->CloseUnused();
  const auto call = this->Make<HeartbeatRequest, HeartbeatReply>(
      action.peer, kHeartbeatTimeout);
  if (call) ToWire(action.digest, call->request->mutable_digest());
  const auto done = [this, peer = action.peer](const grpc::Status& status,
                                               auto* ended) {
    CountControl(this->metrics, *ended->request, *ended->reply);
    std::optional<Digest> digest;
    if (this->Accept(peer, status, *ended->reply)) {
      digest = FromWire(ended->reply->digest(), ended->reply->envelope());
    }
    this->OnHeartbeat(peer, ended->channel, digest);
  };
  const auto method = static_cast<StubMethod<HeartbeatRequest, HeartbeatReply>>(
      &peer::Peer::Stub::async::Heartbeat);
  if (call && Begin(this->registry, call, method, done)) return;
  this->sink->Post(PeerUnreachable{action.peer});
}

void PeerClient::OnHeartbeat(const ProcessId& peer,
                             const std::shared_ptr<PeerChannel>& channel,
                             const std::optional<Digest>& digest) {
  {
    const std::lock_guard lock(this->mutex);
    Peer& entry = this->peers[peer];
    const bool current = entry.channel == channel;
    if (digest) {
      entry.misses = 0;
      entry.mismatch_logged = false;
    } else if (current && ++entry.misses >= kMissesToReplace) {
      // Failure: the connection went silent while new ones work. It shows as
      // heartbeats without answers on a channel that counts as connected. A
      // channel with a connection of its own takes over; calls in progress keep
      // the old one alive until they end.
      if (channel->Connected()) {
        entry.channel = std::make_shared<PeerChannel>(entry.address);
        static_cast<void>(entry.channel->Connected());
      }
      entry.misses = 0;
    }
  }
  if (digest) {
    this->sink->Post(DigestArrived{*digest});
    return;
  }
  if (this->metrics != nullptr) {
    this->metrics->Count("peer_heartbeats_failed", "peer=" + peer.Text());
  }
  this->sink->Post(PeerUnreachable{peer});
}

void PeerClient::Forward(const ForwardRequest& action) {
  const RequestId& id = action.request.id;
  const auto call = this->Make<peer::ForwardRequest, peer::ForwardReply>(
      action.peer, CeilMilliseconds(action.request.timeout) + kForwardMargin);
  // A channel without a connection has not sent anything. Once a call has begun
  // on a connected one, its failure proves nothing.
  if (!call || !call->channel->Connected() ||
      View(action.request.body).size() > kMaxBodyBytes) {
    this->PostForwardFailed(id, action.peer, /*not_sent=*/true);
    return;
  }
  ToWire(action.request, &*call->request);
  const auto done = [this, id, peer = action.peer](const grpc::Status& status,
                                                   auto* ended) {
    this->OnForward(id, peer, status, &*ended->reply);
  };
  const auto method =
      static_cast<StubMethod<peer::ForwardRequest, peer::ForwardReply>>(
          &peer::Peer::Stub::async::Forward);
  if (Begin(this->registry, call, method, done)) return;
  this->PostForwardFailed(id, action.peer, /*not_sent=*/true);
}

void PeerClient::OnForward(const RequestId& request, const ProcessId& peer,
                           const grpc::Status& status,
                           peer::ForwardReply* reply) {
  std::optional<Answer> answer;
  if (this->Accept(peer, status, *reply)) answer = ReadAnswer(reply);
  if (answer) {
    this->sink->Post(ForwardAnswered{request, peer, *std::move(answer)});
    return;
  }
  const bool not_run = status.ok() && ProvesNotRun(reply->refusal());
  this->PostForwardFailed(request, peer, not_run);
}

void PeerClient::PostForwardFailed(const RequestId& request,
                                   const ProcessId& peer, bool not_sent) {
  if (this->metrics != nullptr) {
    this->metrics->Count("peer_forwards_failed", "peer=" + peer.Text());
  }
  this->sink->Post(ForwardFailed{request, peer, not_sent});
}

void PeerClient::Cancel(const ForwardCancel& action) {
  const auto call = this->Make<peer::CancelRequest, peer::CancelReply>(
      action.peer, kCancelTimeout);
  if (!call) return;
  call->request->set_id(action.request.Text());
  const auto done = [this, peer = action.peer](const grpc::Status& status,
                                               auto* ended) {
    CountControl(this->metrics, *ended->request, *ended->reply);
    if (this->Accept(peer, status, *ended->reply)) return;
    Log(Part::kPeer, Level::kDebug,
        "Process " + peer.Text() + " took no cancellation.");
  };
  const auto method =
      static_cast<StubMethod<peer::CancelRequest, peer::CancelReply>>(
          &peer::Peer::Stub::async::CancelForward);
  // After the stop there is no forwarded request left to cancel.
  static_cast<void>(Begin(this->registry, call, method, done));
}

void PeerClient::Fetch(const FetchConfiguration& action) {
  using peer::ConfigurationReply;
  using peer::ConfigurationRequest;
  const auto call = this->Make<ConfigurationRequest, ConfigurationReply>(
      action.peer, kConfigurationTimeout);
  if (!call) return;
  const auto done = [this, peer = action.peer](const grpc::Status& status,
                                               auto* ended) {
    CountControl(this->metrics, *ended->request, *ended->reply);
    this->OnConfiguration(peer, status, *ended->reply);
  };
  const auto method =
      static_cast<StubMethod<ConfigurationRequest, ConfigurationReply>>(
          &peer::Peer::Stub::async::FetchConfiguration);
  // Nothing is reported when it fails, as the action says.
  static_cast<void>(Begin(this->registry, call, method, done));
}

void PeerClient::OnConfiguration(const ProcessId& peer,
                                 const grpc::Status& status,
                                 const peer::ConfigurationReply& reply) {
  if (!this->Accept(peer, status, reply)) return;
  if (reply.json().empty() || reply.json().size() > kMaxBodyBytes) return;
  std::optional<Configuration> parsed = this->parser(reply.json());
  if (parsed) {
    this->sink->Post(ConfigurationArrived{*std::move(parsed)});
    return;
  }
  Log(Part::kPeer, Level::kWarn,
      "The configuration of process " + peer.Text() + " is malformed.");
}

void PeerClient::Ask(const QueryPeer& action) {
  const auto call = this->Make<peer::QueryRequest, peer::QueryReply>(
      action.peer, kQueryTimeout);
  const auto done = [this, action](const grpc::Status& status, auto* ended) {
    CountControl(this->metrics, *ended->request, *ended->reply);
    QueryAnswered answered{action.query, std::nullopt};
    if (this->Accept(action.peer, status, *ended->reply)) {
      answered.status = FromWire(action.request, &*ended->reply);
    }
    this->sink->Post(std::move(answered));
  };
  const auto method =
      static_cast<StubMethod<peer::QueryRequest, peer::QueryReply>>(
          &peer::Peer::Stub::async::Ask);
  if (call) {
    call->request->set_id(action.request.Text());
    call->request->set_cancel(action.cancel);
    call->request->set_stop_orphans(action.stop_orphans);
    if (Begin(this->registry, call, method, done)) return;
  }
  this->sink->Post(QueryAnswered{action.query, std::nullopt});
}

void PeerClient::Stop(std::chrono::milliseconds limit) {
  this->registry->Close(limit);
  const std::lock_guard lock(this->mutex);
  for (auto& [process, peer] : this->peers) peer.channel.reset();
}

}  // namespace mustardproxy::peer_detail
