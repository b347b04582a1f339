#include "pass_capacity.h"

#include <algorithm>
#include <set>
#include <utility>

#include "evacuations.h"

namespace mustardproxy::jobs {

PassCapacity::PassCapacity(OwnerContext* context) : context(context) {
  this->context->workers.AddReader(&this->changes);
}

PassCapacity::~PassCapacity() {
  this->context->workers.RemoveReader(&this->changes);
}

bool PassCapacity::TakesTasks(const WorkerSession& session) const {
  // Failure: a data centre is cut off, which shows at its workers in use, and
  // tasks are placed on its idle workers one after the other.
  const bool cut_off =
      session.runs.empty() &&
      this->context->unreachable.contains(session.info.data_center);
  if (cut_off) return false;
  return session.listed && session.described && !session.gone &&
         session.fenced && !session.unresponsive && !session.lease_withheld &&
         !session.ejected && !session.info.draining && !session.Quarantined() &&
         !this->context->evacuations->Contains(session.info.data_center);
}

PassCapacity::Slot& PassCapacity::SlotAt(SessionNumber session) {
  while (session >= this->slots.size()) this->slots.emplace_back();
  return this->slots[session];
}

void PassCapacity::Begin() {
  const std::vector<SessionNumber> changed = this->changes.Take();
  this->examined = changed.size();
  // Sessions that were removed are unlisted before any other is read.
  this->Unlist(changed);
  this->List(changed);
  for (auto& [name, service] : this->services) Reset(&service);
}

PassCapacity::ServiceCapacity* PassCapacity::FindService(
    const ServiceId& name) {
  return &this->services[name];
}

void PassCapacity::Unlist(std::span<const SessionNumber> changed) {
  std::set<ServiceCapacity*> shrunk;
  for (const SessionNumber number : changed) {
    Slot& slot = this->SlotAt(number);
    const WorkerSession* session = this->context->workers.At(number);
    const bool silent =
        session != nullptr && session->unresponsive && !session->runs.empty();
    if (slot.silent) --this->silent;
    if (silent) ++this->silent;
    slot.silent = silent;
    if (slot.service == nullptr) continue;
    const bool stays = session != nullptr && this->TakesTasks(*session) &&
                       this->FindService(session->info.service) == slot.service;
    if (stays) continue;
    slot.service->capacity -= slot.total;
    shrunk.insert(std::exchange(slot.service, nullptr));
  }
  for (ServiceCapacity* service : shrunk) {
    std::erase_if(service->slots,
                  [](const Slot* slot) { return slot->service == nullptr; });
    service->capacities.clear();
  }
}

void PassCapacity::List(std::span<const SessionNumber> changed) {
  std::map<ServiceCapacity*, std::vector<Slot*>> added;
  for (const SessionNumber number : changed) {
    const WorkerSession* session = this->context->workers.At(number);
    if (session == nullptr || !this->TakesTasks(*session)) continue;
    Slot& slot = this->SlotAt(number);
    slot.capacity.session = session;
    slot.capacity.in_use = !session->runs.empty();
    slot.free = session->Free();
    if (slot.service == nullptr) {
      slot.service = this->FindService(session->info.service);
      added[slot.service].push_back(&slot);
    } else {
      slot.service->capacity -= slot.total;
    }
    slot.total = session->info.capacity;
    slot.service->capacity += slot.total;
  }
  const auto precedes = [](const Slot* a, const Slot* b) {
    return a->capacity.session->Incarnation().id <
           b->capacity.session->Incarnation().id;
  };
  for (auto& [service, slots] : added) {
    std::sort(slots.begin(), slots.end(), precedes);
    const auto middle = std::ssize(service->slots);
    service->slots.insert(service->slots.end(), slots.begin(), slots.end());
    std::inplace_merge(service->slots.begin(), service->slots.begin() + middle,
                       service->slots.end(), precedes);
    service->capacities.clear();
  }
}

void PassCapacity::Reset(ServiceCapacity* service) {
  if (service->capacities.size() != service->slots.size()) {
    service->capacities.clear();
    for (Slot* slot : service->slots) {
      service->capacities.push_back(&slot->capacity);
    }
  }
  Resources most;
  Resources free;
  for (Slot* slot : service->slots) {
    slot->capacity.free = slot->free;
    slot->capacity.held = false;
    most = ComponentMax(most, slot->free);
    free += slot->free;
  }
  service->most = most;
  service->free = free;
}

WorkerCapacity* PassCapacity::At(SessionNumber session) const {
  if (session >= this->slots.size()) return nullptr;
  const Slot& slot = this->slots[session];
  // The capacity of a worker changes in the course of a pass.
  return slot.service != nullptr ? const_cast<WorkerCapacity*>(&slot.capacity)
                                 : nullptr;
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

Resources PassCapacity::Free(const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? Resources{} : found->second.free;
}

void PassCapacity::NoteTaken(const ServiceId& service, const Resources& taken) {
  this->FindService(service)->free -= taken;
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
