#include "simulation.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::fault_matrix {

void Simulation::At(Instant when, std::function<void()> what) {
  this->queue.push(
      {std::max(when, this->now), ++this->last_order, std::move(what)});
}

bool Simulation::Step(Instant end) {
  if (this->queue.empty() || this->queue.top().when > end) {
    this->now = end;
    return false;
  }
  const std::function<void()> what = this->queue.top().what;
  this->now = this->queue.top().when;
  this->queue.pop();
  what();
  return true;
}

std::int64_t Simulation::Draw(std::int64_t low, std::int64_t high) {
  const auto range = static_cast<std::uint64_t>(high - low) + 1;
  return low + static_cast<std::int64_t>(this->random() % range);
}

Duration Simulation::Draw(Duration low, Duration high) {
  return Duration(this->Draw(low.count(), high.count()));
}

bool Simulation::Chance(double probability) {
  constexpr std::int64_t kParts = 1'000'000;
  return static_cast<double>(this->Draw(0, kParts - 1)) <
         probability * static_cast<double>(kParts);
}

}  // namespace mustardproxy::fault_matrix
