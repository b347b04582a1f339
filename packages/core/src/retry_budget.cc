#include "mustardproxy/core/retry_budget.h"

#include <algorithm>

namespace mustardproxy {
namespace {

/// Unused retries are kept for as many first attempts as this.
constexpr double kBurstRequests = 1000;
/// Retries of the minimum rate are kept for as long as this.
constexpr double kBurstSeconds = 5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

RetryBudget::RetryBudget(double share, double minimum_per_second)
    : share(share),
      minimum_per_second(minimum_per_second),
      tokens(minimum_per_second) {}

void RetryBudget::OnRequest(Instant now) {
  this->Refill(now);
  const double most = std::max(this->share * kBurstRequests, this->tokens);
  this->tokens = std::min(this->tokens + this->share, most);
}

bool RetryBudget::TryRetry(Instant now) {
  this->Refill(now);
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

void RetryBudget::Refill(Instant now) {
  if (now <= this->refilled) return;
  const double earned =
      Seconds(now - this->refilled) * this->minimum_per_second;
  this->refilled = now;
  // At least one whole retry must fit, also where the minimum rate is low.
  const double most =
      std::max({this->minimum_per_second * kBurstSeconds, 1.0, this->tokens});
  this->tokens = std::min(this->tokens + earned, most);
}

}  // namespace mustardproxy
