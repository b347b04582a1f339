#include "mustardproxy/telemetry/clock.h"

#include <chrono>
#include <limits>
#include <utility>

namespace mustardproxy {
namespace {

/// Furthest that a remote reading may be ahead of the local wall clock.
constexpr std::uint64_t kMaxAheadMicros = 60'000'000;

std::uint64_t SystemMicros() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

}  // namespace

Instant SteadyNow() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(since_start));
}

HybridClock::HybridClock() : HybridClock(SystemMicros) {}

HybridClock::HybridClock(std::function<std::uint64_t()> wall_micros)
    : wall_micros(std::move(wall_micros)) {}

HybridTime HybridClock::Now() {
  const std::lock_guard lock(this->mutex);
  const std::uint64_t wall = this->wall_micros();
  if (wall > this->last.wall_micros) {
    this->last = {wall, 0};
  } else if (this->last.counter == std::numeric_limits<std::uint32_t>::max()) {
    this->last = {this->last.wall_micros + 1, 0};
  } else {
    ++this->last.counter;
  }
  return this->last;
}

void HybridClock::Observe(const HybridTime& remote) {
  const std::lock_guard lock(this->mutex);
  // Failure: one machine's clock jumps far ahead and its messages drag every
  // other clock along, for good. It shows as time line entries from the future.
  // A bounded lead keeps the jump on the machine that has it.
  if (remote.wall_micros > this->wall_micros() + kMaxAheadMicros) return;
  if (remote > this->last) this->last = remote;
}

}  // namespace mustardproxy
