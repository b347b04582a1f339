#include "lifecycle/request_table.h"

#include <utility>

namespace mustardproxy::detail {
namespace {

/// Maximum number of remembered ids of answered requests; bounds the memory.
constexpr std::size_t kRememberedIds = 20000;

}  // namespace

ActiveRequest* RequestTable::Add(ActiveRequest request) {
  const RequestId id = request.request.id;
  this->deadlines.Set(id, request.deadline);
  return &this->active.insert_or_assign(id, std::move(request)).first->second;
}

ActiveRequest* RequestTable::Find(const RequestId& request) {
  const auto found = this->active.find(request);
  return found == this->active.end() ? nullptr : &found->second;
}

void RequestTable::Remove(const RequestId& request) {
  const auto removed = this->active.extract(request);
  if (removed.empty()) {
    return;
  }
  const RequestId& id = removed.key();
  this->deadlines.Clear(id);
  if (!this->answered.insert(id).second) {
    return;
  }
  this->answered_order.push_back(id);
  if (this->answered_order.size() > kRememberedIds) {
    this->answered.erase(this->answered_order.front());
    this->answered_order.pop_front();
  }
}

bool RequestTable::Seen(const RequestId& request) const {
  return this->active.contains(request) || this->answered.contains(request);
}

std::vector<RequestId> RequestTable::TakeExpired(Instant now) {
  return this->deadlines.TakeDue(now);
}

}  // namespace mustardproxy::detail
