#include "job_sim/random.h"

#include <algorithm>

namespace job_sim {

double Random::Draw() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->generator);
}

bool Random::Chance(double probability) { return this->Draw() < probability; }

Duration Random::DrawBetween(Duration least, Duration most) {
  const auto span = static_cast<double>((most - least).count());
  return least + Duration(static_cast<std::int64_t>(this->Draw() * span));
}

std::size_t Random::DrawIndex(std::size_t count) {
  const auto index =
      static_cast<std::size_t>(this->Draw() * static_cast<double>(count));
  return std::min(index, count - 1);
}

}  // namespace job_sim
