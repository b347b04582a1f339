#include "scheduler/rates.h"

#include <algorithm>
#include <cmath>

namespace mustardproxy::detail {
namespace {

/// Time in which the weight of a sample decays to 1/e.
constexpr double kDecaySeconds = 5.0;
/// Lower limit of the observation time, so that the first arrivals do not
/// produce an excessive rate.
constexpr double kMinArrivalAgeSeconds = 1.0;
/// Backlogged time below which no drain rate is given.
constexpr double kMinBacklogSeconds = 0.2;
/// Age above which a drain rate is outdated.
constexpr double kMaxDrainAgeSeconds = 10.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ArrivalRate::Add(Instant now, double amount) {
  if (!this->first) {
    this->first = now;
    this->last = now;
  }
  const double age = std::max(0.0, Seconds(now - this->last));
  this->weight = this->weight * std::exp(-age / kDecaySeconds) + amount;
  this->last = std::max(this->last, now);
}

double ArrivalRate::PerSecond(Instant now) const {
  if (!this->first) return 0.0;
  const double age = std::max(0.0, Seconds(now - this->last));
  const double observed =
      std::max(kMinArrivalAgeSeconds, Seconds(now - *this->first));
  const double covered = 1.0 - std::exp(-observed / kDecaySeconds);
  return this->weight * std::exp(-age / kDecaySeconds) /
         (kDecaySeconds * covered);
}

void DrainRate::Observe(Instant now, double placed, bool backlogged) {
  if (this->backlogged_since) {
    const double passed = std::max(0.0, Seconds(now - *this->backlogged_since));
    const double decay = std::exp(-passed / kDecaySeconds);
    this->amount = this->amount * decay + placed;
    this->seconds = this->seconds * decay + passed;
    this->last_observed = now;
  }
  this->backlogged_since.reset();
  if (backlogged) this->backlogged_since = now;
}

std::optional<double> DrainRate::PerSecond(Instant now) const {
  if (this->seconds < kMinBacklogSeconds || this->amount <= 0) {
    return std::nullopt;
  }
  if (Seconds(now - this->last_observed) > kMaxDrainAgeSeconds)
    return std::nullopt;
  return this->amount / this->seconds;
}

}  // namespace mustardproxy::detail
