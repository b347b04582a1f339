#include "mustardproxy/core/resource_math.h"

#include <algorithm>

namespace mustardproxy {
namespace {

std::int64_t CountComponent(std::int64_t task, std::int64_t room) {
  if (task <= 0) return kUnboundedCount;
  return room <= 0 ? 0 : room / task;
}

double ComponentShare(std::int64_t used, std::int64_t total) {
  if (total <= 0) return 0.0;
  return static_cast<double>(used) / static_cast<double>(total);
}

}  // namespace

Resources ComponentMax(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_milli, b.cpu_milli),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

Resources ComponentMin(const Resources& a, const Resources& b) {
  return {std::min(a.cpu_milli, b.cpu_milli),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators), std::min(a.slots, b.slots)};
}

Resources ClampToZero(const Resources& resources) {
  return ComponentMax(resources, Resources{});
}

Resources Multiply(const Resources& resources, std::int64_t count) {
  return {resources.cpu_milli * count, resources.memory_mb * count,
          resources.accelerators * count, resources.slots * count};
}

std::int64_t CountFitting(const Resources& task, const Resources& room) {
  return std::min({CountComponent(task.cpu_milli, room.cpu_milli),
                   CountComponent(task.memory_mb, room.memory_mb),
                   CountComponent(task.accelerators, room.accelerators),
                   CountComponent(task.slots, room.slots)});
}

double DominantShare(const Resources& used, const Resources& total) {
  return std::max({ComponentShare(used.cpu_milli, total.cpu_milli),
                   ComponentShare(used.memory_mb, total.memory_mb),
                   ComponentShare(used.accelerators, total.accelerators),
                   ComponentShare(used.slots, total.slots)});
}

}  // namespace mustardproxy
