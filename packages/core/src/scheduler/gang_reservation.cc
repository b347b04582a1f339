#include "scheduler/gang_reservation.h"

#include <algorithm>
#include <vector>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// A plan scans all running tasks, so the interval between plans grows with
/// their number.
constexpr Duration kMinPlanInterval = std::chrono::milliseconds(50);
constexpr Duration kPlanIntervalPerTask = std::chrono::microseconds(25);

}  // namespace

bool GangReservation::HeldBy(const RequestId& other) const {
  return this->request == other;
}

const std::optional<RequestId>& GangReservation::Holder() const {
  return this->request;
}

bool GangReservation::OutrankedBy(std::int32_t other) const {
  if (this->guaranteed) return other == 0 && this->priority > 0;
  return other < this->priority;
}

bool GangReservation::IsAvailableTo(Instant now,
                                    std::int32_t by_priority) const {
  if (this->Active()) return this->OutrankedBy(by_priority);
  return !this->next_plan_time || now >= *this->next_plan_time;
}

void GangReservation::ReserveFor(Instant now, const ReservationRequest& need,
                                 const RunningTasks& running,
                                 const Catalog& catalog, Ledger* ledger) {
  const RequestId holder = need.request;
  this->Clear(ledger);
  const auto tasks = static_cast<std::int64_t>(running.Size());
  this->next_plan_time =
      now + std::max(kMinPlanInterval, kPlanIntervalPerTask * tasks);
  const std::vector<ExpectedRelease> releases =
      running.ExpectedReleases(now, catalog);
  const ServiceEntry& service = *need.service;
  const std::optional<GangPlan> plan =
      ledger->PlanGang(service.resources, service.tasks,
                       service.profile.packing, need.avoid, now, releases);
  if (!plan) return;
  this->request = holder;
  this->priority = service.profile.priority;
  this->task = service.resources;
  this->start = plan->at;
  this->HoldCapacity(*plan, releases, ledger);
}

void GangReservation::HoldCapacity(const GangPlan& plan,
                                   std::span<const ExpectedRelease> releases,
                                   Ledger* ledger) {
  for (const WorkerId& worker : plan.workers) ++this->planned[worker];
  std::unordered_map<WorkerId, Resources> freed;
  for (const ExpectedRelease& release : releases) {
    if (release.at > plan.at) break;
    if (!this->planned.contains(release.worker)) continue;
    freed[release.worker] += release.resources;
  }
  for (const auto& [worker, count] : this->planned) {
    const Resources needed = Multiply(this->task, count);
    ledger->Hold(worker, ClampToZero(needed - freed[worker]));
  }
}

void GangReservation::Clear(Ledger* ledger) {
  if (!this->Active()) return;
  this->request.reset();
  this->planned.clear();
  ledger->ClearHolds();
}

bool GangReservation::PlanIsStale(Instant now) const {
  return this->Active() && now >= *this->next_plan_time;
}

void GangReservation::OnResourcesReleased(const WorkerId& worker,
                                          const Resources& resources,
                                          Ledger* ledger) {
  if (!this->Active()) return;
  // Expected ends are often wrong, so all released capacity that the gang can
  // use is held until the next plan, on unplanned workers too. Otherwise small
  // tasks would use it, and the gang would wait for the last of the expected
  // ends.
  const Resources free = ledger->FreeOn(worker).value_or(Resources{});
  const std::int64_t usable = CountFitting(this->task, free);
  const auto found = this->planned.find(worker);
  const std::int64_t count =
      std::max(usable, found == this->planned.end() ? 0 : found->second);
  if (count == 0) return;
  this->planned[worker] = count;
  const Resources needed = Multiply(this->task, count);
  ledger->Hold(worker,
               ComponentMin(needed, ledger->HeldResources(worker) + resources));
}

HoldPolicy GangReservation::HoldPolicyFor(Instant now,
                                          const ServiceEntry& service) const {
  if (!this->Active()) return HoldPolicy::kRespect;
  if (this->OutrankedBy(service.profile.priority)) return HoldPolicy::kIgnore;
  const bool ends_before = now + service.P90RunTime() <= this->start;
  return ends_before ? HoldPolicy::kIgnore : HoldPolicy::kRespect;
}

std::int64_t GangReservation::CountFittingInHolds(const Resources& size,
                                                  const Ledger& ledger) const {
  std::int64_t fitting_tasks = 0;
  for (const auto& [worker, count] : this->planned) {
    fitting_tasks += CountFitting(size, ledger.HeldResources(worker));
  }
  return fitting_tasks;
}

std::optional<Instant> GangReservation::NextPlanTime() const {
  return this->Active() ? this->next_plan_time : std::nullopt;
}

}  // namespace mustardproxy::detail
