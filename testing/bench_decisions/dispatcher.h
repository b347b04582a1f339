#ifndef MUSTARDPROXY_BENCH_DECISIONS_DISPATCHER_H_
#define MUSTARDPROXY_BENCH_DECISIONS_DISPATCHER_H_

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "cell.h"
#include "mustardproxy/core/ledger.h"
#include "mustardproxy/core/scheduler.h"
#include "mustardproxy/core/worker_health.h"

namespace mustardproxy::bench {

/// What is measured: the product's scheduler or a baseline in its place.
class Dispatcher {
 public:
  Dispatcher() = default;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  virtual ~Dispatcher() = default;

  /// @return false if the request is refused
  virtual bool Enqueue(Instant now, const QueuedRequest& request) = 0;
  virtual std::vector<Placement> Schedule(Instant now) = 0;
  virtual std::vector<RequestId> Expire(Instant now) = 0;
  /// @param ran false for a task that failed or was stopped
  virtual void Done(Instant now, const Placement& placement, bool ran) = 0;
  /// Queues a request anew that was accepted before.
  virtual void Requeue(Instant now, const QueuedRequest& request) = 0;
  /// @return running tasks to stop for urgent work
  virtual std::vector<Preemption> ChooseVictims(Instant now) = 0;
};

/// The product's scheduler.
class ProductDispatcher final : public Dispatcher {
 public:
  /// @param learns false keeps it to declared run times
  ProductDispatcher(const Configuration& configuration, Ledger* ledger,
                    bool learns = true, SchedulerOptions options = {});
  bool Enqueue(Instant now, const QueuedRequest& request) override;
  std::vector<Placement> Schedule(Instant now) override;
  std::vector<RequestId> Expire(Instant now) override;
  void Done(Instant now, const Placement& placement, bool ran) override;
  void Requeue(Instant now, const QueuedRequest& request) override;
  std::vector<Preemption> ChooseVictims(Instant now) override;

 private:
  Scheduler scheduler;
  Ledger* ledger;
  bool learns;
};

/// The product's scheduler with its ejection of workers that fail.
class EjectingDispatcher final : public Dispatcher {
 public:
  EjectingDispatcher(const CellShape& cell, const Configuration& configuration,
                     Ledger* ledger);
  bool Enqueue(Instant now, const QueuedRequest& request) override;
  std::vector<Placement> Schedule(Instant now) override;
  std::vector<RequestId> Expire(Instant now) override;
  void Done(Instant now, const Placement& placement, bool ran) override;
  void Requeue(Instant now, const QueuedRequest& request) override;
  std::vector<Preemption> ChooseVictims(Instant now) override;

 private:
  void FollowHealth(Instant now);

  ProductDispatcher product;
  Ledger* ledger;
  WorkerHealth health;
  /// Services of requests that were accepted, for the health of workers.
  std::unordered_map<RequestId, ServiceId> services;
};

/// Baseline: one queue in order of arrival. The head waits for room, and
/// everything behind it waits for the head.
class FifoDispatcher final : public Dispatcher {
 public:
  FifoDispatcher(const Configuration& configuration, Ledger* ledger);
  bool Enqueue(Instant now, const QueuedRequest& request) override;
  std::vector<Placement> Schedule(Instant now) override;
  std::vector<RequestId> Expire(Instant now) override;
  void Done(Instant now, const Placement& placement, bool ran) override;
  void Requeue(Instant now, const QueuedRequest& request) override;
  std::vector<Preemption> ChooseVictims(Instant now) override;

 private:
  Configuration configuration;
  Ledger* ledger;
  std::deque<QueuedRequest> queue;
};

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_DECISIONS_DISPATCHER_H_
