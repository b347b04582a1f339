#ifndef MUSTARDPROXY_JOBS_START_DEADLINES_H_
#define MUSTARDPROXY_JOBS_START_DEADLINES_H_

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// Value of a job if its next step starts now. Steps that are on time precede
/// late ones, and those precede steps whose job has no value any more.
enum class DeadlineStatus { kOnTime, kLate, kExpired };

/// Latest start times of a step.
struct StartDeadlines {
  /// For its job to be done in time.
  Instant on_time = Instant::max();
  /// For its job to have any value.
  Instant useful = Instant::max();

  [[nodiscard]] DeadlineStatus At(Instant now) const {
    if (now <= this->on_time) return DeadlineStatus::kOnTime;
    return now <= this->useful ? DeadlineStatus::kLate
                               : DeadlineStatus::kExpired;
  }
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_START_DEADLINES_H_
