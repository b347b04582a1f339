#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_WAIT_FORECAST_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_WAIT_FORECAST_H_

#include <optional>

#include "mustardproxy/core/ledger.h"
#include "scheduler/scheduler_state.h"

namespace mustardproxy::detail {

/// Predicts the wait of a new request: the work ahead of it, less the free
/// capacity, divided by the measured drain rate. All amounts are dominant
/// shares of the cell, so that requests of different sizes can be added.
/// @param team its fair share shortens the wait; without a team the request is
///   assumed to come after all waiting requests
/// @return zero if nothing indicates a wait
[[nodiscard]] Duration ForecastWait(Instant now, const SchedulerState& state,
                                    const Ledger& ledger, ServiceIndex service,
                                    std::optional<TeamIndex> team);
/// Predicts the wait imposed by the team's quota.
[[nodiscard]] Duration ForecastQuotaWait(const SchedulerState& state,
                                         ServiceIndex service, TeamIndex team);
/// Predicts the time in which all waiting requests drain.
[[nodiscard]] Duration ForecastDrain(Instant now, const SchedulerState& state);

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_WAIT_FORECAST_H_
