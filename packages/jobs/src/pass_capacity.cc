#include "pass_capacity.h"

namespace mustardproxy::jobs {
namespace {

bool TakesTasks(const WorkerSession& session) {
  return session.listed && session.described && !session.gone &&
         session.fenced && !session.unresponsive && !session.ejected &&
         !session.info.draining && !session.Quarantined();
}

}  // namespace

PassCapacity::PassCapacity(const WorkerTable& workers,
                           const Evacuations& evacuations)
    : by_session(workers.NumberLimit(), nullptr) {
  // The entries are pointed to, so the vector must not reallocate.
  this->capacities.reserve(workers.Size());
  for (const auto& [id, session] : workers) {
    if (!TakesTasks(*session)) continue;
    if (evacuations.Contains(session->info.data_center)) continue;
    WorkerCapacity& capacity = this->capacities.emplace_back();
    capacity.session = session.get();
    capacity.free = session->Free();
    this->by_session[session->Number()] = &capacity;
    ServiceCapacity& service = this->services[session->info.service];
    service.capacities.push_back(&capacity);
    service.most = ComponentMax(service.most, capacity.free);
    service.capacity += session->info.capacity;
  }
}

std::span<WorkerCapacity* const> PassCapacity::OfService(
    const ServiceId& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return {};
  return found->second.capacities;
}

Resources PassCapacity::Capacity(const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? Resources{} : found->second.capacity;
}

Resources PassCapacity::Total() const {
  Resources total;
  for (const auto& [id, service] : this->services) total += service.capacity;
  return total;
}

bool PassCapacity::MayFitTask(const ServiceId& service,
                              const Step& step) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         TaskDemand(step).FitsIn(found->second.most);
}

}  // namespace mustardproxy::jobs
