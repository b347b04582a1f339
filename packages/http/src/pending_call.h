#ifndef MUSTARDPROXY_HTTP_PENDING_CALL_H_
#define MUSTARDPROXY_HTTP_PENDING_CALL_H_

#include <memory>

#include "mustardproxy/core/time.h"
#include "mustardproxy/http/async_client.h"
#include "mustardproxy/http/client_connection.h"

namespace mustardproxy::http {

struct AddressCalls;

/// One call that waits for a connection or is under way. Owned by whoever took
/// it out of the table.
struct PendingCall {
  Exchange exchange;
  AsyncClient::Done done;
  std::unique_ptr<ClientConnection> connection;
  bool connecting = false;
  /// It is the first call on its connection.
  bool first = false;
  /// Calls to the same address, unless it is unlimited.
  AddressCalls* address_calls = nullptr;
  /// Without the wait for a connection until it is admitted.
  Instant due;
  /// When it was made, and from then on when it was allowed to be sent.
  Instant admitted;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_PENDING_CALL_H_
