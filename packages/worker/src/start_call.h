#ifndef MUSTARDPROXY_WORKER_START_CALL_H_
#define MUSTARDPROXY_WORKER_START_CALL_H_

#include <atomic>
#include <memory>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/http/client_connection.h"

namespace mustardproxy::worker_detail {

/// One start on its way, from `Perform` to its one result.
struct StartCall {
  StartTask action;
  /// Owned by the thread that sends or reads, else by whoever takes the call
  /// out of the poller.
  std::unique_ptr<http::ClientConnection> connection;
  Instant sent_at;
  /// When the answer is given up on.
  Instant give_up;
  /// Its one result was reported.
  std::atomic<bool> settled = false;
};

using StartCallPtr = std::shared_ptr<StartCall>;

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_START_CALL_H_
