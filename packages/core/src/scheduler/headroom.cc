#include "scheduler/headroom.h"

#include <algorithm>
#include <cmath>

#include "ledger/resource_math.h"

namespace mustardproxy::detail {
namespace {

constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
constexpr double kDeviations = 3.0;
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
  if (load.tasks < kLeastLoad) {
    this->target = 0;
    return;
  }
  this->task = MeanTask(load);
  ledger->TrackRoom(this->task);
  const double wanted = load.tasks + kDeviations * std::sqrt(load.tasks);
  this->target = std::min(static_cast<std::int64_t>(std::ceil(wanted)),
                          ledger->EmptyRoomFor(this->task) / kLargestPart);
}

std::int64_t Headroom::Wanted() const {
  return std::max<std::int64_t>(0, this->target - this->running);
}

bool Headroom::Allows(const Ledger& ledger, const WorkerId& worker,
                      const Resources& resources, std::int64_t beside) const {
  const std::int64_t wanted = this->Wanted();
  if (wanted == 0) return true;
  return ledger.TrackedRoomWithout(worker, resources) >= wanted + beside;
}

std::optional<Instant> Headroom::NextUpdate() const {
  if (!this->updated) return std::nullopt;
  return *this->updated + kUpdateInterval;
}

}  // namespace mustardproxy::detail
