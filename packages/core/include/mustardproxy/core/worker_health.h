#ifndef MUSTARDPROXY_CORE_WORKER_HEALTH_H_
#define MUSTARDPROXY_CORE_WORKER_HEALTH_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// When a worker is ejected and how it comes back.
struct WorkerHealthOptions {
  /// Failures in a row, over at least two services or requests, that eject.
  std::int32_t failures_to_eject = 5;
  /// Most of the owned workers that may be ejected at once.
  double max_ejected_share = 0.3;
  /// First ejection; doubles with each one that follows soon.
  Duration ejection = std::chrono::seconds(5);
  Duration max_ejection = std::chrono::minutes(2);
  /// Time over which a returning worker's share grows back to all.
  Duration return_time = std::chrono::seconds(10);
};

/// What placement may do with a worker.
struct WorkerAvailability {
  bool placeable = true;
  /// Share of its slots that may be used, 0..1.
  double share = 1.0;

  friend bool operator==(const WorkerAvailability&,
                         const WorkerAvailability&) = default;
};

/// Tells workers that fail everything from tasks that fail everywhere. A worker
/// that fails fast looks idle and would attract all work; it is ejected,
/// probed after a pause, and brought back slowly.
class WorkerHealth {
 public:
  explicit WorkerHealth(WorkerHealthOptions options);
  ~WorkerHealth();
  WorkerHealth(WorkerHealth&&) noexcept;
  WorkerHealth& operator=(WorkerHealth&&) noexcept;

  /// @param service what succeeded, if known: a service that succeeds
  ///   somewhere is not to blame for a worker's failures
  void OnSuccess(Instant now, const WorkerId& worker,
                 const ServiceId& service = ServiceId());
  void OnFailure(Instant now, const WorkerId& worker, const ServiceId& service,
                 const RequestId& request);
  void Add(const WorkerId& worker);
  void Remove(const WorkerId& worker);
  [[nodiscard]] WorkerAvailability Availability(Instant now,
                                                const WorkerId& worker) const;
  /// @return workers whose standing has changed since the last call
  [[nodiscard]] std::vector<WorkerId> TakeChanged(Instant now);
  /// @return true if the request failed on three distinct healthy workers, and
  ///   so is at fault itself
  [[nodiscard]] bool RequestAtFault(const RequestId& request) const;
  void Forget(const RequestId& request);
  [[nodiscard]] Instant NextWakeup() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_WORKER_HEALTH_H_
