#include "rate_limit.h"

#include <algorithm>

namespace mustardproxy::standin {

RateLimit::RateLimit(std::int64_t per_second) { this->SetRate(per_second); }

void RateLimit::SetRate(std::int64_t per_second) {
  this->rate = static_cast<double>(per_second);
  this->tokens = this->rate;
  this->refilled = std::chrono::steady_clock::now();
}

bool RateLimit::TryTake() {
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> passed = now - this->refilled;
  this->refilled = now;
  this->tokens =
      std::min(this->rate, this->tokens + this->rate * passed.count());
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

}  // namespace mustardproxy::standin
