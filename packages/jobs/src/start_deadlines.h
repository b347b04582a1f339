#ifndef MUSTARDPROXY_JOBS_START_DEADLINES_H_
#define MUSTARDPROXY_JOBS_START_DEADLINES_H_

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// What is left of a job's worth if its next step starts now. What is in time
/// goes before what is late, and that before what is worth nothing any more.
enum class DeadlineStatus { kOnTime, kLate, kExpired };

/// Until when a step has to be begun.
struct StartDeadlines {
  /// For its job to be done in time.
  Instant on_time = Instant::max();
  /// For its job to be worth anything.
  Instant useful = Instant::max();

  [[nodiscard]] DeadlineStatus At(Instant now) const {
    if (now <= this->on_time) return DeadlineStatus::kOnTime;
    return now <= this->useful ? DeadlineStatus::kLate
                               : DeadlineStatus::kExpired;
  }
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_START_DEADLINES_H_
