#ifndef MUSTARDPROXY_FAULT_MATRIX_SIMULATION_H_
#define MUSTARDPROXY_FAULT_MATRIX_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "mustardproxy/core/time.h"

namespace mustardproxy::fault_matrix {

/// Virtual time of one schedule, with everything that is still to happen, and
/// its one source of randomness.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random(seed) {}

  [[nodiscard]] Instant Now() const { return this->now; }
  /// Does `what` at `when`; equal moments keep their order.
  void At(Instant when, std::function<void()> what);
  void After(Duration pause, std::function<void()> what) {
    this->At(this->now + pause, std::move(what));
  }
  /// Does the next thing.
  /// @return false if nothing is left before `end`
  bool Step(Instant end);

  /// @return a number from `low` to `high`, both included
  std::int64_t Draw(std::int64_t low, std::int64_t high);
  Duration Draw(Duration low, Duration high);
  bool Chance(double probability);

 private:
  struct Entry {
    Instant when;
    std::uint64_t order = 0;
    std::function<void()> what;
    friend bool operator<(const Entry& a, const Entry& b) {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };

  Instant now{std::chrono::seconds(1)};
  std::uint64_t last_order = 0;
  std::priority_queue<Entry> queue;
  std::mt19937_64 random;
};

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_SIMULATION_H_
