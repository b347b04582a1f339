#ifndef MUSTARDPROXY_JOBS_HOPE_H_
#define MUSTARDPROXY_JOBS_HOPE_H_

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// What is left of a job's worth if its next step starts now. What is in time
/// goes before what is late, and that before what is worth nothing any more.
enum class Hope { kInTime, kLate, kNone };

/// Until when a step has to be begun.
struct BeginLimits {
  /// For its job to be done in time.
  Instant in_time = Instant::max();
  /// For its job to be worth anything.
  Instant any_worth = Instant::max();

  [[nodiscard]] Hope At(Instant now) const {
    if (now <= this->in_time) return Hope::kInTime;
    return now <= this->any_worth ? Hope::kLate : Hope::kNone;
  }
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_HOPE_H_
