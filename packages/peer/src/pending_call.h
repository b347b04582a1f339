#ifndef MUSTARDPROXY_PEER_PENDING_CALL_H_
#define MUSTARDPROXY_PEER_PENDING_CALL_H_

#include <grpcpp/support/server_callback.h>

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

namespace mustardproxy::peer_detail {

/// A peer's call that is answered later, from another thread. It ends once:
/// with its answer, or when the peer gives up.
template <typename ReplyMessage>
class PendingCall final : public grpc::ServerUnaryReactor {
 public:
  /// @param cancelled called if the peer gives up before the answer
  [[nodiscard]] static std::shared_ptr<PendingCall> Make(
      ReplyMessage* reply, std::function<void()> cancelled) {
    std::shared_ptr<PendingCall> call(
        new PendingCall(reply, std::move(cancelled)));
    call->self = call;
    return call;
  }

  /// Fills the reply and sends it.
  /// @return false if the call has ended already
  template <typename Fill>
  bool Answer(Fill fill) {
    if (this->ended.exchange(true)) return false;
    fill(this->reply);
    this->Finish(grpc::Status::OK);
    return true;
  }

  /// Ends the call with an error.
  /// @return false if the call has ended already
  bool Refuse(const grpc::Status& status) {
    if (this->ended.exchange(true)) return false;
    this->Finish(status);
    return true;
  }

  void OnCancel() override {
    if (this->ended.exchange(true)) return;
    this->cancelled();
    this->Finish(grpc::Status::CANCELLED);
  }
  /// gRPC is done with this object.
  void OnDone() override { const auto released = std::move(this->self); }

 private:
  PendingCall(ReplyMessage* reply, std::function<void()> cancelled)
      : reply(reply), cancelled(std::move(cancelled)) {}

  ReplyMessage* reply;
  std::function<void()> cancelled;
  std::atomic<bool> ended = false;
  /// Keeps the object alive until gRPC is done with it.
  std::shared_ptr<PendingCall> self;
};

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_PENDING_CALL_H_
