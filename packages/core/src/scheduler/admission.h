#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_ADMISSION_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_ADMISSION_H_

#include "mustardproxy/core/ledger.h"
#include "mustardproxy/core/scheduler.h"
#include "scheduler/scheduler_state.h"

namespace mustardproxy::detail {

/// Checks whether a request may be queued. Its service and team must be known.
/// @return an admission without refusal if it may
[[nodiscard]] Admission CheckAdmission(Instant now, const SchedulerState& state,
                                       const Ledger& ledger,
                                       const QueuedRequest& request,
                                       ServiceIndex service, TeamIndex team);

/// Lower limit of the retry delay given to refused callers.
inline constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_ADMISSION_H_
