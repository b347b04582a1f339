#ifndef MUSTARDPROXY_CORE_LIFECYCLE_TASK_PAUSES_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_TASK_PAUSES_H_

#include "mustardproxy/core/time.h"

/// How long the task tracker waits before it asks a worker.
namespace mustardproxy::detail {

/// First pause before a task whose answer was lost is asked about again.
inline constexpr Duration kInitialPollDelay = std::chrono::milliseconds(100);
/// Pause between questions about a detached task whose end should come with a
/// renewal.
inline constexpr Duration kDetachedPollInterval = std::chrono::seconds(10);
/// Pause until a stop order that got no answer is followed up.
inline constexpr Duration kStopTimeout = std::chrono::seconds(1);
/// Time after a start's timeout in which its result is surely reported.
inline constexpr Duration kReportTimeout = std::chrono::seconds(5);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_TASK_PAUSES_H_
