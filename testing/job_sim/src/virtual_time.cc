#include "job_sim/virtual_time.h"

#include <algorithm>

namespace job_sim {

void VirtualTime::After(Duration delay, std::function<void()> event) {
  const Instant at = this->now + std::max(delay, Duration::zero());
  this->events.emplace(std::make_pair(at, this->next++), std::move(event));
}

void VirtualTime::Step() {
  auto first = this->events.begin();
  this->now = std::max(this->now, first->first.first);
  const auto event = std::move(first->second);
  this->events.erase(first);
  event();
}

void VirtualTime::RunFor(Duration time) {
  const Instant end = this->now + time;
  while (!this->events.empty() && this->events.begin()->first.first <= end) {
    this->Step();
  }
  this->now = end;
}

bool VirtualTime::RunUntil(const std::function<bool()>& done, Duration limit) {
  const Instant end = this->now + limit;
  while (!done()) {
    if (this->events.empty() || this->events.begin()->first.first > end) {
      this->now = end;
      return done();
    }
    this->Step();
  }
  return true;
}

}  // namespace job_sim
