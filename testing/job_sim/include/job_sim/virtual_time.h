#ifndef JOB_SIM_VIRTUAL_TIME_H_
#define JOB_SIM_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "mustardproxy/core/time.h"

namespace job_sim {

using mustardproxy::Duration;
using mustardproxy::Instant;

/// The one clock of a simulated cell, and all that is to happen. A run repeats
/// to the letter for the same seed.
class VirtualTime {
 public:
  explicit VirtualTime(std::uint64_t seed) : random(seed) {}

  [[nodiscard]] Instant Now() const { return this->now; }
  void After(Duration delay, std::function<void()> event);
  /// Lets everything happen that is due within `time`.
  void RunFor(Duration time);
  /// The same until `done` holds.
  /// @return false if it did not hold within `limit`
  bool RunUntil(const std::function<bool()>& done, Duration limit);

  /// @return a number in 0..1
  double Draw();
  [[nodiscard]] bool Chance(double probability);
  Duration DrawBetween(Duration least, Duration most);
  std::size_t DrawIndex(std::size_t count);

 private:
  void Step();

  Instant now{std::chrono::seconds(1000)};
  std::uint64_t next = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> events;
  std::mt19937_64 random;
};

}  // namespace job_sim

#endif  // JOB_SIM_VIRTUAL_TIME_H_
