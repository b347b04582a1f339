#ifndef MUSTARDPROXY_PEER_CLIENT_CALLS_H_
#define MUSTARDPROXY_PEER_CLIENT_CALLS_H_

#include <grpcpp/client_context.h>
#include <grpcpp/support/status.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "channel.h"
#include "peer.grpc.pb.h"

namespace mustardproxy::peer_detail {

/// One call with all that must live as long as it.
template <typename RequestMessage, typename ReplyMessage>
struct ClientCall {
  grpc::ClientContext context;
  std::shared_ptr<PeerChannel> channel;
  /// Freed when the call ends.
  std::optional<RequestMessage> request = RequestMessage();
  std::optional<ReplyMessage> reply = ReplyMessage();
};

/// Owns the calls in progress of one process, so that a stop can wait for them
/// and end them.
///
/// Failure: a process crashes at its stop with a corrupted heap, rarely. Each
/// call keeps its channel alive, and the last channel to go makes the library
/// join its threads. When a thread of the library drops it, that thread joins
/// itself and goes on with freed memory. So ended calls are kept here and freed
/// by the threads of ours that begin calls or close the registry.
class CallRegistry {
 public:
  /// @return false once the registry is closed
  [[nodiscard]] bool Add(grpc::ClientContext* context,
                         std::shared_ptr<void> call);
  /// The call has ended; it is freed later. For the threads of gRPC.
  void Retire(grpc::ClientContext* context);
  /// Takes no more calls, waits for those in progress up to `limit`, cancels
  /// the rest, and returns when the last one has ended.
  void Close(std::chrono::milliseconds limit);

 private:
  std::mutex mutex;
  std::condition_variable emptied;
  std::unordered_map<grpc::ClientContext*, std::shared_ptr<void>> calls;
  std::vector<std::shared_ptr<void>> ended;
  bool closed = false;
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
    std::shared_ptr<ClientCall<RequestMessage, ReplyMessage>> call,
    StubMethod<RequestMessage, ReplyMessage> method, Done done) {
  auto* const begun = call.get();
  // The call may end, and be freed, before this function returns.
  const std::shared_ptr<PeerChannel> channel = begun->channel;
  if (!registry->Add(&begun->context, std::move(call))) return false;
  auto ended = [registry, begun,
                done = std::move(done)](const grpc::Status& status) {
    done(status, begun);
    begun->request.reset();
    begun->reply.reset();
    registry->Retire(&begun->context);
  };
  (channel->Stub()->async()->*method)(&begun->context, &*begun->request,
                                      &*begun->reply, std::move(ended));
  return true;
}

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_CLIENT_CALLS_H_
