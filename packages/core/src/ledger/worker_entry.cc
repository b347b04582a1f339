#include "ledger/worker_entry.h"

#include <algorithm>
#include <cmath>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// A worker that returns from ejection gets at least one slot; without a task
/// it could never demonstrate that it is healthy.
std::int64_t SlotLimit(std::int64_t slots, double share) {
  if (share >= 1.0) return slots;
  if (share <= 0.0) return 0;
  const double allowed = std::floor(static_cast<double>(slots) * share);
  return std::min(slots, std::max<std::int64_t>(1, std::lround(allowed)));
}

}  // namespace

Resources WorkerEntry::Free() const {
  if (!this->registered || !this->placeable) return {};
  Resources free = this->capacity - this->used;
  const std::int64_t allowed = SlotLimit(this->capacity.slots, this->share);
  free.slots = std::min(free.slots, allowed - this->used.slots);
  return ClampToZero(free);
}

bool WorkerEntry::AddTask(const TaskId& task, const Resources& resources) {
  if (!this->tasks.emplace(task, resources).second) return false;
  this->used += resources;
  return true;
}

void WorkerEntry::RemoveTask(const TaskId& task) {
  const auto found = this->tasks.find(task);
  if (found == this->tasks.end()) return;
  this->used -= found->second;
  this->tasks.erase(found);
}

}  // namespace mustardproxy::detail
