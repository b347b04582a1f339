#ifndef MUSTARDPROXY_CORE_LIFECYCLE_TASK_PAUSES_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_TASK_PAUSES_H_

#include "mustardproxy/core/time.h"

/// Delays before the task tracker queries a worker.
namespace mustardproxy::detail {

/// Initial delay before a task whose answer was lost is queried again.
inline constexpr Duration kInitialPollDelay = std::chrono::milliseconds(100);
/// Interval between queries for a detached task, whose end is normally reported
/// with a renewal.
inline constexpr Duration kDetachedPollInterval = std::chrono::seconds(10);
/// Time after which an unanswered stop order is followed by a query.
inline constexpr Duration kStopTimeout = std::chrono::seconds(1);
/// Time after a start's timeout within which its result is reported.
inline constexpr Duration kReportTimeout = std::chrono::seconds(5);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_TASK_PAUSES_H_
