#include "mustardproxy/jobs/desired_state.h"

namespace mustardproxy::jobs {

const Queue* DesiredState::Route(std::string_view host,
                                 std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    const bool longer =
        best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &queue;
  }
  return best;
}

const Queue* DesiredState::FindQueue(const QueueName& name) const {
  for (const Queue& queue : this->queues) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

const Service* DesiredState::FindService(const ServiceId& id) const {
  for (const Service& service : this->services) {
    if (service.id == id) return &service;
  }
  return nullptr;
}

}  // namespace mustardproxy::jobs
