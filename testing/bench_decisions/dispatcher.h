#ifndef MUSTARDPROXY_BENCH_DECISIONS_DISPATCHER_H_
#define MUSTARDPROXY_BENCH_DECISIONS_DISPATCHER_H_

#include <deque>
#include <map>
#include <vector>

#include "mustardproxy/core/ledger.h"
#include "mustardproxy/core/scheduler.h"

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
  virtual void Done(Instant now, const Placement& placement) = 0;
};

/// The product's scheduler.
class ProductDispatcher final : public Dispatcher {
 public:
  /// @param learns false keeps it to declared run times
  ProductDispatcher(const Configuration& configuration, Ledger* ledger,
                    bool learns = true);
  bool Enqueue(Instant now, const QueuedRequest& request) override;
  std::vector<Placement> Schedule(Instant now) override;
  std::vector<RequestId> Expire(Instant now) override;
  void Done(Instant now, const Placement& placement) override;

 private:
  Scheduler scheduler;
  Ledger* ledger;
  bool learns;
};

/// Baseline: one queue in order of arrival. The head waits for room, and
/// everything behind it waits for the head.
class FifoDispatcher final : public Dispatcher {
 public:
  FifoDispatcher(const Configuration& configuration, Ledger* ledger);
  bool Enqueue(Instant now, const QueuedRequest& request) override;
  std::vector<Placement> Schedule(Instant now) override;
  std::vector<RequestId> Expire(Instant now) override;
  void Done(Instant now, const Placement& placement) override;

 private:
  Configuration configuration;
  Ledger* ledger;
  std::deque<QueuedRequest> queue;
};

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_DECISIONS_DISPATCHER_H_
