#include "scheduler/wait_forecast.h"

#include <algorithm>
#include <limits>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// Upper limit of a predicted wait; no setting allows a longer one.
constexpr double kMaxWaitSeconds = 30.0 * 24 * 3600;
/// Fraction of the drain rate that a forecast always leaves to less urgent
/// work.
constexpr double kMinDrainFraction = 0.05;

Duration FromSeconds(double seconds) {
  const double bounded = std::clamp(seconds, 0.0, kMaxWaitSeconds);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bounded));
}

/// @return backlog of a band that is placed before a request of `size` of
///   `team`: all of the team's own, and of each other team the amount that fair
///   sharing gives it in the same time
double BacklogAhead(const SchedulerState& state, const PriorityBand& band,
                    double size, std::optional<TeamIndex> team) {
  if (!team) return band.Backlog();
  const double own = band.BacklogOf(*team);
  const double weight = state.catalog.TeamAt(*team).weight;
  double ahead = own;
  band.VisitTeams([&](TeamIndex other, double backlog) {
    if (other == *team) return;
    const double relative = state.catalog.TeamAt(other).weight / weight;
    ahead += std::min(backlog, (own + size) * relative);
  });
  return ahead;
}

/// @return share of the cell that a request could use now; for urgent work
///   including the tasks that may be preempted
double AvailableShare(const SchedulerState& state, const Ledger& ledger,
                      const ServiceEntry& service) {
  Resources free = ledger.TotalFree();
  const bool urgent = service.profile.priority == 0;
  const bool fits = service.resources.FitsIn(ledger.LargestFree());
  if (urgent) {
    free += state.running.Preemptible();
    if (!fits && state.running.Preemptible() == Resources{}) return 0;
  } else {
    if (!fits) return 0;
    const std::int64_t reserved =
        state.headroom.ReservedTasksFor(service.profile.priority);
    if (reserved > 0 && ledger.TrackedFitCount() <= reserved) return 0;
  }
  const auto fitting_tasks =
      static_cast<double>(CountFitting(service.resources, free));
  return fitting_tasks * state.DominantShareOf(service.resources);
}

/// @return share of the cell per second that is available to one priority
double DrainRateFor(Instant now, const SchedulerState& state,
                    std::int32_t priority) {
  double more_urgent = 0;
  std::optional<double> measured;
  for (const auto& [level, band] : state.bands) {
    if (level > priority) break;
    if (level < priority) more_urgent += band.arrivals.PerSecond(now);
    if (level == priority) measured = band.drain.PerSecond(now);
  }
  const double drain = measured.value_or(state.running.ReleasePerSecond());
  return std::max(drain - more_urgent, drain * kMinDrainFraction);
}

}  // namespace

Duration ForecastWait(Instant now, const SchedulerState& state,
                      const Ledger& ledger, ServiceIndex service,
                      std::optional<TeamIndex> team) {
  const ServiceEntry& entry = state.catalog.ServiceAt(service);
  const double size = state.DominantShareOf(entry.request_resources);
  double ahead = 0;
  for (const auto& [level, band] : state.bands) {
    if (level > entry.profile.priority) break;
    ahead += level < entry.profile.priority
                 ? band.Backlog()
                 : BacklogAhead(state, band, size, team);
  }
  const double missing = ahead + size - AvailableShare(state, ledger, entry);
  // Sizes are sums of fractions, so a difference within rounding error is not a
  // wait.
  if (missing <= size * 1e-9) return Duration(0);
  const double drain = DrainRateFor(now, state, entry.profile.priority);
  if (drain <= 0) return Duration(0);
  return FromSeconds(missing / drain);
}

Duration ForecastQuotaWait(const SchedulerState& state, ServiceIndex service,
                           TeamIndex team) {
  const ServiceEntry& entry = state.catalog.ServiceAt(service);
  const TeamEntry& holder = state.catalog.TeamAt(team);
  const auto limited = [](std::int64_t quota, std::int64_t used) {
    if (quota <= 0) return std::numeric_limits<std::int64_t>::max();
    return quota - used;
  };
  const Resources& quota = holder.quota;
  const Resources& used = holder.used;
  const Resources whole{
      limited(quota.cpu_milli, 0), limited(quota.memory_mb, 0),
      limited(quota.accelerators, 0), limited(quota.slots, 0)};
  const Resources left{limited(quota.cpu_milli, used.cpu_milli),
                       limited(quota.memory_mb, used.memory_mb),
                       limited(quota.accelerators, used.accelerators),
                       limited(quota.slots, used.slots)};
  const std::int64_t at_once = CountFitting(entry.resources, whole);
  const std::int64_t now_free = CountFitting(entry.resources, left);
  const auto waiting =
      static_cast<std::int64_t>(state.queue.LiveCount(service, team));
  const std::int64_t over = (waiting + 1) * entry.tasks - now_free;
  if (over <= 0 || at_once <= 0) return Duration(0);
  const double rounds =
      static_cast<double>(over) / static_cast<double>(at_once);
  const std::chrono::duration<double> run = entry.ExpectedRunTime();
  return FromSeconds(rounds * run.count());
}

Duration ForecastDrain(Instant now, const SchedulerState& state) {
  double backlog = 0;
  std::optional<double> measured;
  for (const auto& [level, band] : state.bands) {
    backlog += band.Backlog();
    if (band.drain.PerSecond(now)) measured = band.drain.PerSecond(now);
  }
  const double drain = measured.value_or(state.running.ReleasePerSecond());
  if (drain <= 0) return Duration(0);
  return FromSeconds(backlog / drain);
}

}  // namespace mustardproxy::detail
