#include <algorithm>

#include "start_calls.h"

namespace mustardproxy::worker_detail {
namespace {

/// Connections of a worker that has not told its own number.
constexpr std::int32_t kDefaultLimit = 64;
constexpr std::size_t kMaxLoads = 8192;

}  // namespace

bool InFlight::Enter(const WorkerId& worker) {
  const std::lock_guard lock(this->mutex);
  if (this->closed) return false;
  if (this->loads.size() >= kMaxLoads) {
    std::erase_if(this->loads,
                  [](const auto& load) { return load.second.in_flight == 0; });
  }
  Load& load = this->loads[worker];
  const std::int32_t limit = load.limit > 0 ? load.limit : kDefaultLimit;
  if (load.in_flight >= limit) return false;
  ++load.in_flight;
  ++this->total;
  return true;
}

void InFlight::Leave(const WorkerId& worker) {
  const std::lock_guard lock(this->mutex);
  --this->loads[worker].in_flight;
  --this->total;
  if (this->total == 0) this->changed.notify_all();
}

void InFlight::Limit(const WorkerId& worker, std::int32_t connections) {
  const std::lock_guard lock(this->mutex);
  this->loads[worker].limit = std::min(connections, kDefaultLimit);
}

void InFlight::Close() {
  std::unique_lock lock(this->mutex);
  this->closed = true;
  this->changed.wait(lock, [this] { return this->total == 0; });
}

bool InFlight::Closed() const {
  const std::lock_guard lock(this->mutex);
  return this->closed;
}

}  // namespace mustardproxy::worker_detail
