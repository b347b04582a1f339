#include "mustardproxy/core/retry_budget.h"

#include <algorithm>

namespace mustardproxy {
namespace {

/// Number of first attempts whose unused retries are retained.
constexpr double kBurstRequests = 1000;
/// Time for which unused retries of the minimum rate are retained.
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
  const double max_tokens =
      std::max(this->share * kBurstRequests, this->tokens);
  this->tokens = std::min(this->tokens + this->share, max_tokens);
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
  // The limit must allow at least one whole retry, even at a low minimum rate.
  const double max_tokens =
      std::max({this->minimum_per_second * kBurstSeconds, 1.0, this->tokens});
  this->tokens = std::min(this->tokens + earned, max_tokens);
}

}  // namespace mustardproxy
