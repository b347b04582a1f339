#ifndef MUSTARDPROXY_CORE_RESOURCES_H_
#define MUSTARDPROXY_CORE_RESOURCES_H_

#include <cstdint>

namespace mustardproxy {

/// Amount of each resource of a worker. A task always takes one slot, and one
/// connection while its answer is awaited.
struct Resources {
  /// Thousandths of a processor.
  std::int64_t cpu_milli = 0;
  /// Megabytes of memory.
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  std::int64_t slots = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  Resources& operator+=(const Resources& other) {
    this->cpu_milli += other.cpu_milli;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    this->slots += other.slots;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    this->cpu_milli -= other.cpu_milli;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    this->slots -= other.slots;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }

  /// @return true if no component exceeds that of `available`
  [[nodiscard]] bool FitsIn(const Resources& available) const {
    return this->cpu_milli <= available.cpu_milli &&
           this->memory_mb <= available.memory_mb &&
           this->accelerators <= available.accelerators &&
           this->slots <= available.slots;
  }
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_RESOURCES_H_
