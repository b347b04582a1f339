#ifndef MUSTARDPROXY_CORE_WORKER_HEALTH_H_
#define MUSTARDPROXY_CORE_WORKER_HEALTH_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// Conditions for ejecting a worker and for returning it to service.
struct WorkerHealthOptions {
  /// Number of consecutive failures, of at least two different requests, after
  /// which a worker is ejected.
  std::int32_t failures_to_eject = 5;
  /// Maximum share of the owned workers that may be ejected at the same time.
  double max_ejected_share = 0.3;
  /// Length of the first ejection; doubles with each ejection that follows soon
  /// after.
  Duration ejection = std::chrono::seconds(5);
  Duration max_ejection = std::chrono::minutes(2);
  /// Time over which a returning worker's share grows back to 1.
  Duration return_time = std::chrono::seconds(10);
};

/// Whether and to what extent placement may use a worker.
struct WorkerAvailability {
  bool placeable = true;
  /// Share of its slots that may be used, 0..1.
  double share = 1.0;

  friend bool operator==(const WorkerAvailability&,
                         const WorkerAvailability&) = default;
};

/// Distinguishes workers that fail every task from tasks that fail on every
/// worker. A worker that fails fast looks idle and would attract all work; it
/// is ejected, probed after a delay, and returned to service gradually.
class WorkerHealth {
 public:
  explicit WorkerHealth(WorkerHealthOptions options);
  ~WorkerHealth();
  WorkerHealth(WorkerHealth&&) noexcept;
  WorkerHealth& operator=(WorkerHealth&&) noexcept;

  /// @param service the service that succeeded, if known; a service that
  ///   succeeds on some worker is not the cause of a worker's failures
  void OnSuccess(Instant now, const WorkerId& worker,
                 const ServiceId& service = ServiceId());
  void OnFailure(Instant now, const WorkerId& worker, const ServiceId& service,
                 const RequestId& request);
  void Add(const WorkerId& worker);
  void Remove(const WorkerId& worker);
  [[nodiscard]] WorkerAvailability Availability(Instant now,
                                                const WorkerId& worker) const;
  /// @return workers whose availability has changed since the last call
  [[nodiscard]] std::vector<WorkerId> TakeChanged(Instant now);
  /// @return true if the request has failed on three distinct healthy workers,
  ///   so that the request itself is considered faulty
  [[nodiscard]] bool RequestAtFault(const RequestId& request) const;
  void Forget(const RequestId& request);
  [[nodiscard]] Instant NextWakeup() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_WORKER_HEALTH_H_
