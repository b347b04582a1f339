#include "scheduler/headroom.h"

#include <algorithm>
#include <cmath>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
constexpr double kMaxDeviations = 3.0;
constexpr double kMinDeviations = 1.0;
/// Acceptable wait as a fraction of the shortest `max_wait` of the urgent
/// profiles.
constexpr double kWaitWindowFraction = 0.1;
constexpr std::int32_t kMaxPriorityShift = 8;
/// The headroom is at most the capacity of the idle cell divided by this.
constexpr std::int64_t kMaxHeadroomDivisor = 2;
/// Mean number of concurrent tasks below which a service counts as inactive.
constexpr double kMinUrgentLoad = 0.01;

/// Mean number of concurrent urgent tasks, and the sums of their resources.
struct UrgentLoad {
  double tasks = 0;
  double cpu_milli = 0;
  double memory_mb = 0;
  double accelerators = 0;
  double slots = 0;
  Duration shortest_wait = Duration::max();
};

void AddService(const ServiceEntry& service, Instant now, UrgentLoad* load) {
  const double run =
      std::chrono::duration<double>(service.MeanRunTime()).count();
  const double tasks = service.arrivals.PerSecond(now) * service.tasks * run;
  const Resources& size = service.resources;
  load->tasks += tasks;
  load->cpu_milli += tasks * static_cast<double>(size.cpu_milli);
  load->memory_mb += tasks * static_cast<double>(size.memory_mb);
  load->accelerators += tasks * static_cast<double>(size.accelerators);
  load->slots += tasks * static_cast<double>(size.slots);
  if (tasks >= kMinUrgentLoad) {
    load->shortest_wait =
        std::min(load->shortest_wait, service.profile.max_wait);
  }
}

Resources MeanTaskOf(const UrgentLoad& load) {
  const auto part = [&load](double sum) {
    return static_cast<std::int64_t>(std::ceil(sum / load.tasks));
  };
  return {part(load.cpu_milli), part(load.memory_mb), part(load.accelerators),
          part(load.slots)};
}

}  // namespace

void Headroom::Update(Instant now, const Catalog& catalog, Ledger* ledger) {
  if (this->updated && now - *this->updated < kUpdateInterval) return;
  this->updated = now;
  UrgentLoad load;
  for (ServiceIndex i = 0; i < catalog.ServiceCount(); ++i) {
    const ServiceEntry& service = catalog.ServiceAt(i);
    if (service.profile.priority == 0) AddService(service, now, &load);
  }
  this->mean_tasks = 0;
  if (load.shortest_wait == Duration::max()) return;
  this->mean_tasks = load.tasks;
  this->task = MeanTaskOf(load);
  this->task_share = DominantShare(this->task, ledger->TotalCapacity());
  this->window_seconds =
      std::chrono::duration<double>(load.shortest_wait).count() *
      kWaitWindowFraction;
  this->max_tasks =
      ledger->CountFittingWhenIdle(this->task) / kMaxHeadroomDivisor;
  ledger->TrackFitCount(this->task);
}

void Headroom::SetNonUrgentReleaseRate(double share_per_second) {
  this->non_urgent_ends_per_second =
      this->task_share <= 0 ? 0 : share_per_second / this->task_share;
}

std::int64_t Headroom::ReservedTasks() const {
  if (this->mean_tasks <= 0) return 0;
  const double deviation = std::sqrt(this->mean_tasks);
  const double freed = this->non_urgent_ends_per_second * this->window_seconds;
  const double above =
      std::clamp(kMaxDeviations * deviation - freed, kMinDeviations * deviation,
                 kMaxDeviations * deviation);
  const auto target =
      static_cast<std::int64_t>(std::ceil(this->mean_tasks + above));
  return std::clamp<std::int64_t>(target - this->running, 0, this->max_tasks);
}

std::int64_t Headroom::ReservedTasksFor(std::int32_t priority) const {
  const std::int64_t reserved = this->ReservedTasks();
  return reserved - (reserved >> std::clamp(priority, 0, kMaxPriorityShift));
}

std::optional<Instant> Headroom::NextUpdate() const {
  if (!this->updated) return std::nullopt;
  return *this->updated + kUpdateInterval;
}

}  // namespace mustardproxy::detail
