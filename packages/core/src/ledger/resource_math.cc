#include "mustardproxy/core/resource_math.h"

#include <algorithm>

namespace mustardproxy {
namespace {

std::int64_t CountComponent(std::int64_t task, std::int64_t available) {
  if (task <= 0) return kUnboundedCount;
  return available <= 0 ? 0 : available / task;
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

std::int64_t CountFitting(const Resources& task, const Resources& available) {
  return std::min({CountComponent(task.cpu_milli, available.cpu_milli),
                   CountComponent(task.memory_mb, available.memory_mb),
                   CountComponent(task.accelerators, available.accelerators),
                   CountComponent(task.slots, available.slots)});
}

double DominantShare(const Resources& used, const Resources& total) {
  return std::max({ComponentShare(used.cpu_milli, total.cpu_milli),
                   ComponentShare(used.memory_mb, total.memory_mb),
                   ComponentShare(used.accelerators, total.accelerators),
                   ComponentShare(used.slots, total.slots)});
}

}  // namespace mustardproxy
