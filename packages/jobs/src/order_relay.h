#ifndef MUSTARDPROXY_JOBS_ORDER_RELAY_H_
#define MUSTARDPROXY_JOBS_ORDER_RELAY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/relayed_orders.h"
#include "mustardproxy/jobs/worker_driver.h"

namespace mustardproxy::jobs {

/// The relay's side of relayed orders: sends what the owner has decided, as it
/// is, and returns the results. Decides nothing and keeps nothing but the
/// orders in flight.
class OrderRelay {
 public:
  struct Parts {
    Executor* executor = nullptr;
    WorkerDriver* driver = nullptr;
    JobPeers* peers = nullptr;
    ProcessId self;
    Incarnation incarnation = 0;
  };

  explicit OrderRelay(Parts parts);

  /// @param done called before any order of the batch is sent
  void OnBatch(RelayBatch batch,
               const std::function<void(Result<RelayAck>)>& done);

 private:
  /// The address of an owner and its token.
  using Owner = std::pair<std::string, FencingToken>;
  struct Outbox {
    std::vector<RelayedResult> results;
    std::size_t bytes = 0;
  };

  [[nodiscard]] Duration Clock() const;
  void Send(const Owner& owner, RelayedOrder order);
  void OnEnd(const Owner& owner, RelayedOrderId id, HoldResult result);
  void Add(const Owner& owner, RelayedResult result);
  void Flush(const Owner& owner);

  Parts parts;
  std::map<Owner, Outbox> outboxes;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_ORDER_RELAY_H_
