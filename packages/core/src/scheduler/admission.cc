#include "scheduler/admission.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>

#include "mustardproxy/core/error.h"
#include "mustardproxy/core/resource_math.h"
#include "scheduler/wait_forecast.h"

namespace mustardproxy::detail {
namespace {

/// Upper limit of the retry delay given to refused callers.
constexpr Duration kMaxRetryAfter = std::chrono::minutes(10);
/// One in this many places of a profile's queue is reserved for teams below
/// their fair share.
constexpr std::int64_t kReservedQueueDivisor = 10;

struct NamedResource {
  std::string_view name;
  std::int64_t Resources::*part;
};

constexpr NamedResource kNamedResources[] = {
    {"cpu_milli", &Resources::cpu_milli},
    {"memory_mb", &Resources::memory_mb},
    {"accelerators", &Resources::accelerators},
    {"slots", &Resources::slots},
};

Duration BoundRetryAfter(Duration wait) {
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

std::string DescribeAll(const Resources& resources) {
  std::ostringstream text;
  for (const NamedResource& part : kNamedResources) {
    if (&part != &kNamedResources[0]) text << ", ";
    text << resources.*part.part << ' ' << part.name;
  }
  return text.str();
}

std::string DescribeTooLarge(const Resources& task, const Resources& largest) {
  std::ostringstream text;
  for (const NamedResource& part : kNamedResources) {
    if (task.*part.part <= largest.*part.part) continue;
    text << "a task needs " << task.*part.part << ' ' << part.name
         << "; the largest worker has " << largest.*part.part;
    return text.str();
  }
  text << "no single worker has " << DescribeAll(task)
       << "; the largest worker has " << DescribeAll(largest);
  return text.str();
}

std::string DescribeQuota(const Resources& all, const TeamEntry& team) {
  std::ostringstream text;
  for (const NamedResource& part : kNamedResources) {
    const std::int64_t limit = team.quota.*part.part;
    if (limit <= 0 || all.*part.part <= limit) continue;
    text << "the request needs " << all.*part.part << ' ' << part.name
         << "; the quota of team " << team.id << " is " << limit;
    break;
  }
  return text.str();
}

Admission CheckFit(const Ledger& ledger, const ServiceEntry& service) {
  if (ledger.WorkerCount() == 0) {
    return {Error::kNoWorker, "this process owns no worker", kMinRetryAfter};
  }
  if (!ledger.CouldEverFit(service.resources)) {
    return {Error::kNeverFits,
            DescribeTooLarge(service.resources, ledger.LargestCapacity()),
            Duration(0)};
  }
  const std::int64_t fitting_tasks =
      ledger.CountFittingWhenIdle(service.resources);
  if (fitting_tasks >= service.tasks) return {};
  std::ostringstream text;
  text << "the request has " << service.tasks << " tasks of "
       << DescribeAll(service.resources) << "; all workers together can run "
       << fitting_tasks << " when idle; the largest worker has "
       << DescribeAll(ledger.LargestCapacity());
  return {Error::kGangImpossible, text.str(), Duration(0)};
}

/// Checks the queue limit of the profile. The last tenth of the queue is
/// reserved for teams that use less of it than their weight entitles them to,
/// so that one team that fills the queue cannot lock out the others.
Admission CheckQueue(Instant now, const SchedulerState& state,
                     const ServiceEntry& service, TeamIndex team) {
  const auto found = state.queued_by_profile.find(service.profile.id);
  const ProfileCount counts =
      found == state.queued_by_profile.end() ? ProfileCount{} : found->second;
  const std::int64_t limit = service.profile.queue_limit;
  const double weight = state.catalog.TeamAt(team).weight;
  const double fair_share = static_cast<double>(limit) * weight /
                            std::max(state.catalog.TotalWeight(), weight);
  const std::int64_t own_requests =
      team < counts.by_team.size() ? counts.by_team[team] : 0;
  const bool below_share = static_cast<double>(own_requests) < fair_share;
  const std::int64_t reserved = below_share ? 0 : limit / kReservedQueueDivisor;
  if (counts.all < limit - reserved) return {};
  std::ostringstream text;
  text << "profile " << service.profile.id << " has " << counts.all
       << " queued requests; its limit is " << limit;
  if (reserved > 0) text << ", a tenth reserved for teams below their share";
  return {Error::kQueueFull, text.str(),
          BoundRetryAfter(ForecastDrain(now, state))};
}

Admission CheckQuota(const ServiceEntry& service, const TeamEntry& team) {
  if (WithinQuota(service.request_resources, team.quota)) return {};
  return {Error::kQuotaExceeded, DescribeQuota(service.request_resources, team),
          Duration(0)};
}

Admission CheckWait(Instant now, const SchedulerState& state,
                    const Ledger& ledger, const QueuedRequest& request,
                    ServiceIndex service, TeamIndex team) {
  const ServiceEntry& entry = state.catalog.ServiceAt(service);
  const Duration allowed =
      std::min(entry.profile.max_wait, request.placement_deadline - now);
  const Duration quota_wait = ForecastQuotaWait(state, service, team);
  const Duration capacity_wait =
      ForecastWait(now, state, ledger, service, team);
  const Duration wait = std::max(quota_wait, capacity_wait);
  if (wait <= allowed) return {};
  std::ostringstream text;
  text << "the predicted wait is " << WholeMilliseconds(wait) << " ms";
  if (quota_wait > capacity_wait) text << " because of the quota of the team";
  text << "; the limit is " << WholeMilliseconds(allowed) << " ms";
  return {Error::kWaitTooLong, text.str(), BoundRetryAfter(wait - allowed)};
}

}  // namespace

Admission CheckAdmission(Instant now, const SchedulerState& state,
                         const Ledger& ledger, const QueuedRequest& request,
                         ServiceIndex service, TeamIndex team) {
  const ServiceEntry& entry = state.catalog.ServiceAt(service);
  if (Admission fit = CheckFit(ledger, entry); fit.refusal) return fit;
  if (Admission queue = CheckQueue(now, state, entry, team); queue.refusal) {
    return queue;
  }
  if (Admission quota = CheckQuota(entry, state.catalog.TeamAt(team));
      quota.refusal) {
    return quota;
  }
  return CheckWait(now, state, ledger, request, service, team);
}

}  // namespace mustardproxy::detail
