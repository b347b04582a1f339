#include "service.h"

#include <utility>

#include "bounds.h"
#include "control_bytes.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/telemetry/log.h"
#include "wire.h"

namespace mustardproxy::peer_detail {
namespace {

/// Marks the questions of peers among all questions.
constexpr std::uint64_t kPeerQueryBit = 1ULL << 63U;
constexpr std::size_t kMaxMismatchesLogged = 64;

/// Ends a call whose reply is filled in already.
grpc::ServerUnaryReactor* EndNow(grpc::CallbackServerContext* context) {
  grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

template <typename ReplyMessage>
grpc::ServerUnaryReactor* Refuse(grpc::CallbackServerContext* context,
                                 peer::Refusal refusal, ReplyMessage* reply) {
  reply->set_refusal(refusal);
  return EndNow(context);
}

}  // namespace

PeerService::PeerService(const Identity* identity, EventSink* sink,
                         Metrics* metrics)
    : identity(identity), sink(sink), metrics(metrics) {
  this->SetMessageAllocatorFor_Forward(&this->forward_allocator);
  this->digest.process = identity->self.process;
  this->digest.incarnation = identity->incarnation;
  this->digest.data_center = identity->self.data_center;
}

void PeerService::Publish(const Digest& digest,
                          const std::string& configuration_json) {
  const std::lock_guard lock(this->mutex);
  this->digest = digest;
  const bool same = this->configuration_json &&
                    *this->configuration_json == configuration_json;
  if (same) return;
  this->configuration_json =
      std::make_shared<const std::string>(configuration_json);
}

template <typename RequestMessage, typename ReplyMessage>
bool PeerService::Open(const RequestMessage& request, ReplyMessage* reply) {
  const bool accepted = this->identity->Accept(request.envelope());
  this->identity->Seal(request.envelope().process(), reply->mutable_envelope());
  if (accepted) return true;
  reply->set_refusal(peer::REFUSAL_MISMATCH);
  this->LogMismatch(request.envelope().process());
  return false;
}

void PeerService::LogMismatch(const std::string& process) {
  const std::string name = process.substr(0, kMaxNameBytes);
  {
    const std::lock_guard lock(this->mutex);
    if (this->mismatches_logged.size() >= kMaxMismatchesLogged) return;
    if (!this->mismatches_logged.insert(name).second) return;
  }
  const std::error_code code = Error::kPeerMismatch;
  Log(Part::kPeer, Level::kError,
      "Refused process " + name + ": " + code.message() + ".");
}

grpc::ServerUnaryReactor* PeerService::Heartbeat(
    grpc::CallbackServerContext* context, const peer::HeartbeatRequest* request,
    peer::HeartbeatReply* reply) {
  if (!this->Open(*request, reply)) return EndNow(context);
  std::optional<Digest> remote =
      FromWire(request->digest(), request->envelope());
  if (!remote) return Refuse(context, peer::REFUSAL_MALFORMED, reply);
  {
    const std::lock_guard lock(this->mutex);
    ToWire(this->digest, reply->mutable_digest());
  }
  CountControl(this->metrics, *request, *reply);
  this->sink->Post(DigestArrived{*std::move(remote)});
  return EndNow(context);
}

peer::Refusal PeerService::Admit(const Request& request,
                                 PendingForward&& pending) {
  const std::lock_guard lock(this->mutex);
  if (this->stopping) return peer::REFUSAL_STOPPING;
  if (this->forwards.size() >= kMaxForwards ||
      this->forwarded_bytes + pending.bytes > kMaxForwardedBytes) {
    return peer::REFUSAL_OVERLOADED;
  }
  const std::size_t bytes = pending.bytes;
  const auto [entry, added] =
      this->forwards.try_emplace(request.id, std::move(pending));
  if (!added) return peer::REFUSAL_DUPLICATE;
  this->forwarded_bytes += bytes;
  ++this->waiting_forwards;
  return peer::REFUSAL_NONE;
}

grpc::ServerUnaryReactor* PeerService::Forward(
    grpc::CallbackServerContext* context, const peer::ForwardRequest* request,
    peer::ForwardReply* reply) {
  if (!this->Open(*request, reply)) return EndNow(context);
  auto* const messages =
      static_cast<ForwardMessages*>(context->GetRpcAllocatorState());
  std::optional<Request> forwarded = FromWire(messages->request());
  if (!forwarded) return Refuse(context, peer::REFUSAL_MALFORMED, reply);
  const RequestId id = forwarded->id;
  const auto call =
      ForwardCall::Make(reply, [this, id] { this->OnForwardCancelled(id); });
  const peer::Refusal refusal = this->Admit(
      *forwarded,
      {call, request->envelope().process(), View(forwarded->body).size()});
  if (refusal != peer::REFUSAL_NONE) {
    call->Answer([refusal](auto* refused) { refused->set_refusal(refusal); });
    return call.get();
  }
  this->sink->Post(RequestArrived{*std::move(forwarded)});
  return call.get();
}

void PeerService::OnForwardCancelled(const RequestId& request) {
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->forwards.find(request);
    if (found == this->forwards.end()) return;
    // The entry stays until the core answers, so that the late answer is known
    // to have been for a peer.
    found->second.call.reset();
    --this->waiting_forwards;
    this->changed.notify_all();
  }
  this->sink->Post(CancelRequested{request});
}

bool PeerService::Take(const RequestId& request, PendingForward* pending) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->forwards.find(request);
  if (found == this->forwards.end()) return false;
  *pending = std::move(found->second);
  this->forwards.erase(found);
  this->forwarded_bytes -= pending->bytes;
  if (pending->call) --this->waiting_forwards;
  this->changed.notify_all();
  return true;
}

bool PeerService::Answer(const RequestId& request,
                         const mustardproxy::Answer& answer) {
  PendingForward pending;
  if (!this->Take(request, &pending)) return false;
  if (!pending.call) return true;
  pending.call->Answer([&answer](peer::ForwardReply* reply) {
    ToWire(answer, reply->mutable_answer());
  });
  return true;
}

bool PeerService::Accept(const RequestId& request) {
  PendingForward pending;
  if (!this->Take(request, &pending)) return false;
  if (!pending.call) return true;
  pending.call->Answer(
      [](peer::ForwardReply* reply) { reply->set_accepted(true); });
  return true;
}

grpc::ServerUnaryReactor* PeerService::CancelForward(
    grpc::CallbackServerContext* context, const peer::CancelRequest* request,
    peer::CancelReply* reply) {
  if (!this->Open(*request, reply)) return EndNow(context);
  const RequestId id(request->id());
  bool pending = false;
  {
    // Only the process that sent a request can cancel it.
    const std::lock_guard lock(this->mutex);
    const auto found = this->forwards.find(id);
    pending = found != this->forwards.end() &&
              found->second.process == request->envelope().process();
  }
  if (pending) this->sink->Post(CancelRequested{id});
  CountControl(this->metrics, *request, *reply);
  return EndNow(context);
}

grpc::ServerUnaryReactor* PeerService::FetchConfiguration(
    grpc::CallbackServerContext* context,
    const peer::ConfigurationRequest* request,
    peer::ConfigurationReply* reply) {
  if (!this->Open(*request, reply)) return EndNow(context);
  std::shared_ptr<const std::string> json;
  {
    const std::lock_guard lock(this->mutex);
    json = this->configuration_json;
  }
  if (json && json->size() <= kMaxBodyBytes) reply->set_json(*json);
  CountControl(this->metrics, *request, *reply);
  return EndNow(context);
}

std::uint64_t PeerService::AdmitQuery(peer::QueryReply* reply,
                                      std::shared_ptr<QueryCall>* call) {
  const std::lock_guard lock(this->mutex);
  if (this->queries.size() >= kMaxQueries) return 0;
  const std::uint64_t query = kPeerQueryBit | ++this->last_query;
  *call =
      QueryCall::Make(reply, [this, query] { this->OnQueryCancelled(query); });
  this->queries.emplace(query, *call);
  return query;
}

grpc::ServerUnaryReactor* PeerService::Ask(grpc::CallbackServerContext* context,
                                           const peer::QueryRequest* request,
                                           peer::QueryReply* reply) {
  if (!this->Open(*request, reply)) return EndNow(context);
  if (!IsName(request->id())) {
    return Refuse(context, peer::REFUSAL_MALFORMED, reply);
  }
  CountControl(this->metrics, *request);
  std::shared_ptr<QueryCall> call;
  const std::uint64_t query = this->AdmitQuery(reply, &call);
  if (query == 0) return Refuse(context, peer::REFUSAL_OVERLOADED, reply);
  QueryArrived arrived;
  arrived.query = query;
  arrived.request = RequestId(request->id());
  arrived.from_peer = true;
  arrived.cancel = request->cancel();
  arrived.stop_orphans = request->stop_orphans();
  this->sink->Post(std::move(arrived));
  return call.get();
}

void PeerService::OnQueryCancelled(std::uint64_t query) {
  const std::lock_guard lock(this->mutex);
  this->queries.erase(query);
}

bool PeerService::Answer(const AnswerQuery& action) {
  if ((action.query & kPeerQueryBit) == 0) return false;
  std::shared_ptr<QueryCall> call;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->queries.find(action.query);
    if (found == this->queries.end()) return true;  // the peer has given up
    call = std::move(found->second);
    this->queries.erase(found);
  }
  call->Answer([this, &action](peer::QueryReply* reply) {
    ToWire(action.status, reply);
    CountControl(this->metrics, *reply);
  });
  return true;
}

void PeerService::Drain(std::chrono::milliseconds limit) {
  std::unique_lock lock(this->mutex);
  this->stopping = true;
  this->changed.wait_for(lock, limit,
                         [this] { return this->waiting_forwards == 0; });
}

}  // namespace mustardproxy::peer_detail
