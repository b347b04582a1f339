#ifndef MUSTARDPROXY_JOBS_RELAYED_WORKER_DRIVER_H_
#define MUSTARDPROXY_JOBS_RELAYED_WORKER_DRIVER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job_peers.h"
#include "mustardproxy/jobs/relayed_orders.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"
#include "mustardproxy/telemetry/metrics.h"
#include "record_codec.h"
#include "relay_clock.h"

namespace mustardproxy::jobs {

/// The owner's side of relayed orders: a driver that lets other processes of
/// the cell send the orders, and sends them itself where no relay can be
/// trusted to. Each worker has one relay, by rendezvous hashing. Orders for one
/// relay are collected for a few milliseconds. Belongs to one ownership.
///
/// Answers the load of a cell in which the owner's processor is full of calls
/// to workers while other hosts idle.
///
/// An order whose relay has fallen silent ends uncertain, never before its
/// time: an earlier end would mean that the worker closed the connection.
class RelayedWorkerDriver final : public WorkerDriver {
 public:
  struct Parts {
    Executor* executor = nullptr;
    /// Sends the orders that are not relayed.
    WorkerDriver* direct = nullptr;
    JobPeers* peers = nullptr;
    EventLog* log = nullptr;
    /// May be null.
    Metrics* metrics = nullptr;
    NodeRecord self;
    FencingToken token = 0;
    /// Maximum number of relays.
    std::size_t max_relays = 0;
    /// @return the number of workers that the owner manages
    std::function<std::size_t()> count_workers;
  };

  explicit RelayedWorkerDriver(Parts parts);

  void Begin();
  /// Sets the processes that are registered.
  void SetProcesses(std::vector<NodeRecord> registered);
  void OnResults(const RelayedResults& results);

  void Start(const WorkerTarget& worker, StartOrder order,
             std::function<void(OrderResult)> done) override;
  void Stop(const WorkerTarget& worker, StopOrder order,
            std::function<void(OrderResult)> done) override;
  void Hold(const WorkerTarget& worker, HoldOrder order,
            std::function<void(HoldResult)> done) override;

 private:
  using Done = std::function<void(HoldResult)>;
  struct Relay {
    NodeRecord node;
    RelayClock clock;
    /// Among the hosts that are used, if it answers.
    bool selected = true;
    /// Orders go to it.
    bool usable = false;
    bool used_before = false;
    bool probing = false;
    Instant usable_since;
    /// It is not asked before.
    Instant next_probe;
    Duration backoff{0};
    /// Orders to be sent with the next batch.
    std::vector<RelayedOrder> collected;
    std::size_t collected_bytes = 0;
    std::size_t in_flight = 0;
    /// Orders that ended since the last check, and those that did not reach
    /// their workers.
    std::size_t ended = 0;
    std::size_t failed = 0;
  };
  struct InFlight {
    ProcessId relay;
    Incarnation incarnation = 0;
    WorkerTarget worker;
    Instant created;
    /// Without a result it ends uncertain then.
    Instant due;
    bool withheld = false;
    /// Kept while it is not certain that the relay has sent the order.
    WorkerOrder order;
    Done done;
  };

  void Dispatch(const WorkerTarget& worker, WorkerOrder order, Done done);
  void SendDirect(const WorkerTarget& worker, WorkerOrder order, Done done);
  /// @return the relay of a worker; null if the order is to be sent directly
  [[nodiscard]] Relay* Choose(const WorkerTarget& worker);
  void Collect(Relay* relay, const WorkerTarget& worker, WorkerOrder order,
               Done done);
  void Flush(const ProcessId& name, Incarnation incarnation);
  void SendBatch(Relay* relay);
  void OnAck(const ProcessId& name, Incarnation incarnation, Instant sent,
             const Result<RelayAck>& ack);
  void OnResult(Relay* relay, Instant received, const RelayedResult& result);
  /// Ends an order that was not sent by its relay.
  void OnNotSent(InFlight entry);
  /// Stops using a relay for a while.
  void Lose(Relay* relay, std::string_view reason);
  [[nodiscard]] Relay* Find(const ProcessId& name, Incarnation incarnation);
  /// Removes the order from those in flight.
  [[nodiscard]] InFlight Take(RelayedOrderId id);
  void Select();
  void Probe(Relay* relay);
  void Tick();
  void Sweep();
  void Count(std::string_view name, std::string_view label);

  Parts parts;
  std::vector<NodeRecord> registered;
  std::map<ProcessId, Relay> relays;
  std::map<RelayedOrderId, InFlight> in_flight;
  RelayedOrderId next_id = 1;
  /// Workers that a relay did not reach.
  std::map<WorkerId, Instant> direct_until;
  bool large = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_RELAYED_WORKER_DRIVER_H_
