#ifndef MUSTARDPROXY_PEER_CLIENT_CALLS_H_
#define MUSTARDPROXY_PEER_CLIENT_CALLS_H_

#include <grpcpp/client_context.h>
#include <grpcpp/support/status.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>

#include "channel.h"
#include "peer.grpc.pb.h"

namespace mustardproxy::detail {

/// The calls in progress of one process, so that a stop can wait for them and
/// end them.
class CallRegistry {
 public:
  /// @return false once the registry is closed
  [[nodiscard]] bool Add(grpc::ClientContext* call);
  void Remove(grpc::ClientContext* call);
  /// Takes no more calls, waits for those in progress up to `limit`, cancels
  /// the rest, and returns when the last one has ended.
  void Close(std::chrono::milliseconds limit);

 private:
  std::mutex mutex;
  std::condition_variable emptied;
  std::unordered_set<grpc::ClientContext*> calls;
  bool closed = false;
};

/// One call with all that must live as long as it.
template <typename RequestMessage, typename ReplyMessage>
struct ClientCall {
  grpc::ClientContext context;
  RequestMessage request;
  ReplyMessage reply;
  std::shared_ptr<PeerChannel> channel;
};

/// Sets the deadline on the monotonic clock: a step of the wall clock neither
/// ends a call nor lets it wait for ever.
void SetTimeout(std::chrono::milliseconds timeout,
                grpc::ClientContext* context);

/// A method of the asynchronous stub.
template <typename RequestMessage, typename ReplyMessage>
using StubMethod = void (peer::Peer::Stub::async::*)(
    grpc::ClientContext*, const RequestMessage*, ReplyMessage*,
    std::function<void(grpc::Status)>);

/// Begins a call.
/// @param done called once from a thread of gRPC with status and call
/// @return false if the registry is closed; `done` is not called then
template <typename RequestMessage, typename ReplyMessage, typename Done>
[[nodiscard]] bool Begin(
    const std::shared_ptr<CallRegistry>& registry,
    const std::shared_ptr<ClientCall<RequestMessage, ReplyMessage>>& call,
    StubMethod<RequestMessage, ReplyMessage> method, Done done) {
  if (!registry->Add(&call->context)) return false;
  auto ended = [registry, call,
                done = std::move(done)](const grpc::Status& status) {
    done(status, call.get());
    registry->Remove(&call->context);
  };
  (call->channel->Stub()->async()->*method)(&call->context, &call->request,
                                            &call->reply, std::move(ended));
  return true;
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_PEER_CLIENT_CALLS_H_
