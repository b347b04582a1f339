#ifndef JOB_SIM_RANDOM_H_
#define JOB_SIM_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "mustardproxy/core/time.h"

namespace job_sim {

using mustardproxy::Duration;

/// Draws that repeat for the same seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : generator(seed) {}

  /// @return a number in 0..1
  double Draw();
  [[nodiscard]] bool Chance(double probability);
  Duration DrawBetween(Duration least, Duration most);
  std::size_t DrawIndex(std::size_t count);

 private:
  std::mt19937_64 generator;
};

}  // namespace job_sim

#endif  // JOB_SIM_RANDOM_H_
