#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_RATES_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_RATES_H_

#include <optional>

#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// Rate at which amounts arrive; recent ones weigh most.
class ArrivalRate {
 public:
  void Add(Instant now, double amount);
  [[nodiscard]] double PerSecond(Instant now) const;

 private:
  std::optional<Instant> first;
  Instant last;
  double weight = 0;
};

/// Rate at which a queue drains while it has something to drain.
///
/// Time without a backlog does not count: placements then follow the arrivals
/// and say nothing of how fast a backlog would go.
class DrainRate {
 public:
  /// @param placed amount placed since the last call
  /// @param backlogged whether something still waits
  void Observe(Instant now, double placed, bool backlogged);
  /// @return nothing unless a backlog was watched for long enough and lately
  [[nodiscard]] std::optional<double> PerSecond(Instant now) const;

 private:
  std::optional<Instant> backlogged_since;
  Instant last_observed;
  double amount = 0;
  double seconds = 0;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_RATES_H_
