#include "control_queue.h"

#include <chrono>
#include <utility>

#include "mustardproxy/telemetry/clock.h"

namespace mustardproxy {
namespace {

/// Longest sleep; keeps the arithmetic on times far away small.
constexpr Duration kMaxSleep = std::chrono::seconds(60);

}  // namespace

bool IsFromStranger(const Event& event) {
  return std::holds_alternative<RequestArrived>(event) ||
         std::holds_alternative<QueryArrived>(event);
}

ControlQueue::Admission ControlQueue::Push(Event* event) {
  Instant posted = SteadyNow();
  bool was_empty = false;
  {
    std::lock_guard lock(this->mutex);
    if (this->closed) return Admission::kClosed;
    bool stranger = IsFromStranger(*event);
    if (stranger && this->strangers >= this->max_strangers) {
      return Admission::kFull;
    }
    if (stranger) ++this->strangers;
    was_empty = this->events.empty();
    this->events.push_back({std::move(*event), posted});
  }
  if (was_empty) this->changed.notify_one();
  return Admission::kTaken;
}

bool ControlQueue::TakeAll(Instant deadline, std::vector<PostedEvent>* events) {
  events->clear();
  std::unique_lock lock(this->mutex);
  Duration left = std::min(deadline - SteadyNow(), kMaxSleep);
  if (left > Duration::zero()) {
    this->changed.wait_for(
        lock, left, [this] { return this->closed || !this->events.empty(); });
  }
  events->swap(this->events);
  this->strangers = 0;
  return !this->closed;
}

void ControlQueue::Close() {
  {
    std::lock_guard lock(this->mutex);
    this->closed = true;
    this->events.clear();
  }
  this->changed.notify_all();
}

}  // namespace mustardproxy
