#include "pass_rooms.h"

namespace mustardproxy::jobs {
namespace {

bool TakesTasks(const WorkerSession& session) {
  return session.listed && session.described && !session.gone &&
         session.fenced && !session.suspect && !session.ejected &&
         !session.info.draining && !session.Quarantined();
}

}  // namespace

PassRooms::PassRooms(const WorkerTable& workers)
    : by_session(workers.NumberLimit(), nullptr) {
  // The rooms must not move any more once they are pointed to.
  this->rooms.reserve(workers.Size());
  for (const auto& [id, session] : workers) {
    if (!TakesTasks(*session)) continue;
    Room& room = this->rooms.emplace_back();
    room.session = session.get();
    room.free = session->Free();
    this->by_session[session->Number()] = &room;
    ServiceRooms& service = this->services[session->info.service];
    service.rooms.push_back(&room);
    service.most = ComponentMax(service.most, room.free);
    service.capacity += session->info.capacity;
  }
}

std::span<Room* const> PassRooms::OfService(const ServiceId& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return {};
  return found->second.rooms;
}

Resources PassRooms::Capacity(const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? Resources{} : found->second.capacity;
}

bool PassRooms::MayFit(const ServiceId& service, const Step& step) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         Takes(step).FitsIn(found->second.most);
}

}  // namespace mustardproxy::jobs
