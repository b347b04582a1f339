#ifndef JOB_SIM_VIRTUAL_TIME_H_
#define JOB_SIM_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "job_sim/random.h"
#include "mustardproxy/core/time.h"

namespace job_sim {

using mustardproxy::Instant;

/// The one clock of a simulated cell, and all that is to happen. A run repeats
/// to the letter for the same seed.
class VirtualTime : public Random {
 public:
  explicit VirtualTime(std::uint64_t seed) : Random(seed) {}

  [[nodiscard]] Instant Now() const { return this->now; }
  void After(Duration delay, std::function<void()> event);
  /// Lets everything happen that is due within `time`.
  void RunFor(Duration time);
  /// The same until `done` holds.
  /// @return false if it did not hold within `limit`
  bool RunUntil(const std::function<bool()>& done, Duration limit);

 private:
  void Step();

  Instant now{std::chrono::seconds(1000)};
  std::uint64_t next = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> events;
};

}  // namespace job_sim

#endif  // JOB_SIM_VIRTUAL_TIME_H_
