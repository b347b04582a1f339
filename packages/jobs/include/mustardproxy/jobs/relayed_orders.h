#ifndef MUSTARDPROXY_JOBS_RELAYED_ORDERS_H_
#define MUSTARDPROXY_JOBS_RELAYED_ORDERS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/worker_driver.h"

namespace mustardproxy::jobs {

/// Identifies a relayed order within one ownership.
using RelayedOrderId = std::uint64_t;

using WorkerOrder = std::variant<StartOrder, StopOrder, HoldOrder>;

/// An order that another process sends to a worker on the owner's word.
struct RelayedOrder {
  RelayedOrderId id = 0;
  WorkerTarget worker;
  /// Reading of the relay's clock after which the order must not be sent.
  Duration send_until{0};
  WorkerOrder order;
};

/// Orders that go to one relay together. Without any, the relay only tells its
/// clock.
struct RelayBatch {
  /// Where the results go.
  std::string owner_address;
  /// The ownership that sends the orders.
  FencingToken token = 0;
  /// The incarnation of the relay that the owner means. Another one refuses the
  /// batch.
  Incarnation relay = 0;
  std::vector<RelayedOrder> orders;
};

/// Tells that a batch has arrived, not what becomes of its orders.
struct RelayAck {
  /// The relay's clock when it read the batch.
  Duration clock{0};
};

/// What became of a relayed order at the relay.
enum class RelayOutcome {
  /// It was sent, and `RelayedResult::result` is what the driver reported.
  kEnded,
  /// It came too late and was not sent.
  kNotSent,
  /// It was sent, and its result is too large to be returned.
  kWithheld,
};

struct RelayedResult {
  RelayedOrderId id = 0;
  RelayOutcome outcome = RelayOutcome::kEnded;
  /// The relay's clock when the order ended.
  Duration ended_at{0};
  /// Start and stop orders use `order` only.
  HoldResult result;
};

/// Results that a relay returns together.
struct RelayedResults {
  ProcessId relay;
  /// The ownership that sent the orders.
  FencingToken token = 0;
  std::vector<RelayedResult> results;
  /// When they arrived, on the owner's clock. Set where they are received, so
  /// that a backlog of the owner does not count as a delay of the relay.
  Instant received_at;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RELAYED_ORDERS_H_
