#include "journal_pacer.h"

#include <algorithm>
#include <chrono>

namespace mustardproxy::detail {
namespace {

constexpr double kMinPerSecond = 0.001;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

JournalPacer::JournalPacer(double per_second, double burst)
    : interval(Seconds(1.0 / std::max(per_second, kMinPerSecond))),
      tolerance(Seconds((std::max(burst, 1.0) - 1.0) /
                        std::max(per_second, kMinPerSecond))) {}

Instant JournalPacer::ReadyAt() const {
  return this->full_at - this->tolerance;
}

void JournalPacer::Take(Instant now) {
  this->full_at = std::max(this->full_at, now) + this->interval;
}

}  // namespace mustardproxy::detail
