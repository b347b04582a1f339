#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_RATES_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_RATES_H_

#include <optional>

#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// Arrival rate of amounts, with exponentially decaying weights.
class ArrivalRate {
 public:
  void Add(Instant now, double amount);
  [[nodiscard]] double PerSecond(Instant now) const;

 private:
  std::optional<Instant> first;
  Instant last;
  double weight = 0;
};

/// Rate at which a queue drains while it is backlogged.
///
/// Time without a backlog does not count, since placements then follow the
/// arrivals and do not show how fast a backlog would drain.
class DrainRate {
 public:
  /// @param placed amount placed since the last call
  /// @param backlogged whether requests are still waiting
  void Observe(Instant now, double placed, bool backlogged);
  /// @return nothing unless a backlog was observed recently and for long enough
  [[nodiscard]] std::optional<double> PerSecond(Instant now) const;

 private:
  std::optional<Instant> backlogged_since;
  Instant last_observed;
  double amount = 0;
  double seconds = 0;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_RATES_H_
