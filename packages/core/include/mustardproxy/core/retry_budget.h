#ifndef MUSTARDPROXY_CORE_RETRY_BUDGET_H_
#define MUSTARDPROXY_CORE_RETRY_BUDGET_H_

#include <cstdint>

#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// Limits retries to a share of the traffic, so that retries do not multiply
/// the load of a failing cell.
class RetryBudget {
 public:
  /// @param share retries per first attempt, for example 0.1
  /// @param minimum_per_second retries per second that are allowed even at low
  ///   traffic
  RetryBudget(double share, double minimum_per_second);

  /// Records a first attempt.
  void OnRequest(Instant now);
  /// @return true if a retry may be made now; the retry is then counted
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
