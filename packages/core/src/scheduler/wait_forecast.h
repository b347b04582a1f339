#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_WAIT_FORECAST_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_WAIT_FORECAST_H_

#include <optional>

#include "mustardproxy/core/ledger.h"
#include "scheduler/scheduler_state.h"

namespace mustardproxy::detail {

/// Wait that a new request would meet: what is ahead of it, less what is free,
/// over the measured drain rate. All amounts are dominant shares of the cell,
/// so that requests of unlike sizes can be added.
/// @param team its fair share shortens the wait; without one it is taken to
///   come after everything that waits
/// @return zero if nothing is known that would make it wait
[[nodiscard]] Duration ForecastWait(Instant now, const SchedulerState& state,
                                    const Ledger& ledger, ServiceIndex service,
                                    std::optional<TeamIndex> team);
/// Wait that the team's own quota imposes.
[[nodiscard]] Duration ForecastQuotaWait(const SchedulerState& state,
                                         ServiceIndex service, TeamIndex team);
/// Time in which everything that waits would drain.
[[nodiscard]] Duration ForecastDrain(Instant now, const SchedulerState& state);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_WAIT_FORECAST_H_
