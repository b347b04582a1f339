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

double VirtualTime::Draw() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

bool VirtualTime::Chance(double probability) {
  return this->Draw() < probability;
}

Duration VirtualTime::DrawBetween(Duration least, Duration most) {
  const auto span = static_cast<double>((most - least).count());
  return least + Duration(static_cast<std::int64_t>(this->Draw() * span));
}

std::size_t VirtualTime::DrawIndex(std::size_t count) {
  const auto index =
      static_cast<std::size_t>(this->Draw() * static_cast<double>(count));
  return std::min(index, count - 1);
}

}  // namespace job_sim
