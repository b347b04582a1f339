#ifndef MUSTARDPROXY_CORE_RETRY_BUDGET_H_
#define MUSTARDPROXY_CORE_RETRY_BUDGET_H_

#include <cstdint>

#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// Keeps retries to a share of the traffic, so that a failing cell is not
/// loaded with a multiple of its requests.
class RetryBudget {
 public:
  /// @param share retries per first attempt, for example 0.1
  /// @param minimum_per_second retries always allowed, for quiet times
  RetryBudget(double share, double minimum_per_second);

  /// A first attempt was made.
  void OnRequest(Instant now);
  /// @return true if a retry may be made now; it is counted
  [[nodiscard]] bool TryRetry(Instant now);

 private:
  void Refill(Instant now);

  double share;
  double minimum_per_second;
  double tokens;
  Instant refilled;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_RETRY_BUDGET_H_
