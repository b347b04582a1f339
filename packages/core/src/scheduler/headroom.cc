#include "scheduler/headroom.h"

#include <algorithm>
#include <cmath>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
constexpr double kMostDeviations = 3.0;
constexpr double kLeastDeviations = 1.0;
/// Wait that does no harm, as a part of the shortest that an urgent profile
/// allows.
constexpr double kWindowPart = 0.1;
constexpr std::int32_t kLastGrade = 8;
/// Part of the emptied cell that is kept free at most.
constexpr std::int64_t kLargestPart = 2;
/// Tasks at once below which a service has stopped arriving.
constexpr double kLeastLoad = 0.01;

/// Urgent tasks that run at once on average, and their mean size.
struct UrgentLoad {
  double tasks = 0;
  double cpu_milli = 0;
  double memory_mb = 0;
  double accelerators = 0;
  double slots = 0;
  Duration shortest_wait = Duration::max();
};

void AddService(const ServiceEntry& service, Instant now, UrgentLoad* load) {
  const double run = std::chrono::duration<double>(service.MeanRun()).count();
  const double tasks = service.arrivals.PerSecond(now) * service.tasks * run;
  const Resources& size = service.resources;
  load->tasks += tasks;
  load->cpu_milli += tasks * static_cast<double>(size.cpu_milli);
  load->memory_mb += tasks * static_cast<double>(size.memory_mb);
  load->accelerators += tasks * static_cast<double>(size.accelerators);
  load->slots += tasks * static_cast<double>(size.slots);
  if (tasks >= kLeastLoad) {
    load->shortest_wait =
        std::min(load->shortest_wait, service.profile.max_wait);
  }
}

Resources MeanTask(const UrgentLoad& load) {
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
  this->mean = 0;
  if (load.shortest_wait == Duration::max()) return;
  this->mean = load.tasks;
  this->task = MeanTask(load);
  this->task_share = DominantShare(this->task, ledger->TotalCapacity());
  this->window_seconds =
      std::chrono::duration<double>(load.shortest_wait).count() * kWindowPart;
  this->most = ledger->CountFittingWhenIdle(this->task) / kLargestPart;
  ledger->TrackFitCount(this->task);
}

void Headroom::FollowOtherWork(double share_per_second) {
  this->other_ends_per_second =
      this->task_share <= 0 ? 0 : share_per_second / this->task_share;
}

std::int64_t Headroom::Wanted() const {
  if (this->mean <= 0) return 0;
  const double deviation = std::sqrt(this->mean);
  const double freed = this->other_ends_per_second * this->window_seconds;
  const double above =
      std::clamp(kMostDeviations * deviation - freed,
                 kLeastDeviations * deviation, kMostDeviations * deviation);
  const auto target = static_cast<std::int64_t>(std::ceil(this->mean + above));
  return std::clamp<std::int64_t>(target - this->running, 0, this->most);
}

std::int64_t Headroom::WantedOf(std::int32_t priority) const {
  const std::int64_t wanted = this->Wanted();
  return wanted - (wanted >> std::clamp(priority, 0, kLastGrade));
}

std::optional<Instant> Headroom::NextUpdate() const {
  if (!this->updated) return std::nullopt;
  return *this->updated + kUpdateInterval;
}

}  // namespace mustardproxy::detail
