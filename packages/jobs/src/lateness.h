#ifndef MUSTARDPROXY_JOBS_LATENESS_H_
#define MUSTARDPROXY_JOBS_LATENESS_H_

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// What is left of a job's worth if its next step starts now. What is in time
/// goes before what is late, and that before what is worth nothing any more.
enum class Lateness { kInTime, kLate, kWorthless };

/// Until when a step has to be begun.
struct BeginLimits {
  /// For its job to be done in time.
  Instant in_time = Instant::max();
  /// For its job to be worth anything.
  Instant any_worth = Instant::max();

  [[nodiscard]] Lateness At(Instant now) const {
    if (now <= this->in_time) return Lateness::kInTime;
    return now <= this->any_worth ? Lateness::kLate : Lateness::kWorthless;
  }
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_LATENESS_H_
