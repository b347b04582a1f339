#ifndef MUSTARDPROXY_PEER_SERVICE_H_
#define MUSTARDPROXY_PEER_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

#include "forward_messages.h"
#include "identity.h"
#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/event_sink.h"
#include "mustardproxy/telemetry/metrics.h"
#include "peer.grpc.pb.h"
#include "pending_call.h"

namespace mustardproxy::peer_detail {

/// The calls that peers make to this process. Requests and questions become
/// events and wait for their answer without a thread.
class PeerService final : public peer::Peer::CallbackService {
 public:
  /// @param metrics may be null
  PeerService(const Identity* identity, EventSink* sink, Metrics* metrics);

  void Publish(const Digest& digest, const std::string& configuration_json);
  /// @return false if the request did not come from a peer
  bool Answer(const RequestId& request, const mustardproxy::Answer& answer);
  /// @return false if the request did not come from a peer
  bool Accept(const RequestId& request);
  /// @return false if the question did not come from a peer
  bool Answer(const AnswerQuery& action);
  /// Refuses new requests, and waits up to `limit` for the answers of those in
  /// progress.
  void Drain(std::chrono::milliseconds limit);

  grpc::ServerUnaryReactor* Heartbeat(grpc::CallbackServerContext* context,
                                      const peer::HeartbeatRequest* request,
                                      peer::HeartbeatReply* reply) override;
  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* context,
                                    const peer::ForwardRequest* request,
                                    peer::ForwardReply* reply) override;
  grpc::ServerUnaryReactor* CancelForward(grpc::CallbackServerContext* context,
                                          const peer::CancelRequest* request,
                                          peer::CancelReply* reply) override;
  grpc::ServerUnaryReactor* FetchConfiguration(
      grpc::CallbackServerContext* context,
      const peer::ConfigurationRequest* request,
      peer::ConfigurationReply* reply) override;
  grpc::ServerUnaryReactor* Ask(grpc::CallbackServerContext* context,
                                const peer::QueryRequest* request,
                                peer::QueryReply* reply) override;

 private:
  using ForwardCall = PendingCall<peer::ForwardReply>;
  using QueryCall = PendingCall<peer::QueryReply>;

  /// A request of a peer that the core has not yet answered.
  struct PendingForward {
    /// Null once the peer has given up.
    std::shared_ptr<ForwardCall> call;
    /// Process that sent it.
    std::string process;
    std::size_t bytes = 0;
  };

  /// Checks an envelope and seals that of the reply.
  /// @return false if refused; the reply says so then
  template <typename RequestMessage, typename ReplyMessage>
  [[nodiscard]] bool Open(const RequestMessage& request, ReplyMessage* reply);
  void LogMismatch(const std::string& process);
  /// @return `REFUSAL_NONE` if the request was entered as pending
  [[nodiscard]] peer::Refusal Admit(const Request& request,
                                    PendingForward&& pending);
  /// Takes a request out of the pending ones.
  /// @return false if it is not among them
  [[nodiscard]] bool Take(const RequestId& request, PendingForward* pending);
  void OnForwardCancelled(const RequestId& request);
  void OnQueryCancelled(std::uint64_t query);
  /// @return 0 if too many questions are pending
  [[nodiscard]] std::uint64_t AdmitQuery(peer::QueryReply* reply,
                                         std::shared_ptr<QueryCall>* call);

  const Identity* identity;
  EventSink* sink;
  Metrics* metrics;
  ForwardAllocator forward_allocator;

  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  Digest digest;
  std::shared_ptr<const std::string> configuration_json;
  std::unordered_map<RequestId, PendingForward> forwards;
  /// Of the requests above, those whose peer still waits.
  std::size_t waiting_forwards = 0;
  std::size_t forwarded_bytes = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<QueryCall>> queries;
  std::uint64_t last_query = 0;
  std::set<std::string> mismatches_logged;
};

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_SERVICE_H_
