#ifndef MUSTARDPROXY_PEER_FORWARD_MESSAGES_H_
#define MUSTARDPROXY_PEER_FORWARD_MESSAGES_H_

#include <grpcpp/support/message_allocator.h>

#include "peer.pb.h"

namespace mustardproxy::peer_detail {

/// Messages of one forwarded request. Other than those of the library, the
/// request may be changed, so that its body can be moved out instead of being
/// held twice until the answer.
class ForwardMessages final
    : public grpc::MessageHolder<peer::ForwardRequest, peer::ForwardReply> {
 public:
  ForwardMessages() {
    this->set_request(&this->forward);
    this->set_response(&this->reply);
  }
  void Release() override { delete this; }

 private:
  peer::ForwardRequest forward;
  peer::ForwardReply reply;
};

/// Makes `ForwardMessages` for a service.
class ForwardAllocator final
    : public grpc::MessageAllocator<peer::ForwardRequest, peer::ForwardReply> {
 public:
  /// The library releases the messages.
  grpc::MessageHolder<peer::ForwardRequest, peer::ForwardReply>*
  AllocateMessages() override {
    return new ForwardMessages();
  }
};

}  // namespace mustardproxy::peer_detail

#endif  // MUSTARDPROXY_PEER_FORWARD_MESSAGES_H_
