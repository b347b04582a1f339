#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_PACKED_ROOM_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_PACKED_ROOM_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "mustardproxy/core/resources.h"

namespace mustardproxy::detail {

/// Largest part of a capacity that is counted; more is cut off when a worker
/// opens.
inline constexpr std::int64_t kLargestPart = 1'000'000'000;

/// Resources in half the space, so that searches touch less memory and compare
/// all parts at once.
struct PackedRoom {
  static constexpr std::size_t kParts = 4;
  std::array<std::int32_t, kParts> parts{};

  /// A need above `kLargestPart` packs to more than any room.
  static PackedRoom Pack(const Resources& resources) {
    const auto part = [](std::int64_t amount) {
      return static_cast<std::int32_t>(
          std::clamp<std::int64_t>(amount, 0, kLargestPart + 1));
    };
    return {{part(resources.cpu_milli), part(resources.memory_mb),
             part(resources.accelerators), part(resources.slots)}};
  }

  [[nodiscard]] Resources Unpack() const {
    return {this->parts[0], this->parts[1], this->parts[2], this->parts[3]};
  }

  /// Without branches, since their outcome can not be foreseen.
  [[nodiscard]] bool FitsIn(const PackedRoom& room) const {
    int too_large = 0;
    for (std::size_t i = 0; i < kParts; ++i) {
      too_large |= static_cast<int>(this->parts[i] > room.parts[i]);
    }
    return too_large == 0;
  }

  void RaiseTo(const PackedRoom& other) {
    for (std::size_t i = 0; i < kParts; ++i) {
      this->parts[i] = std::max(this->parts[i], other.parts[i]);
    }
  }

  /// @return true if some part is at least as large as that of `other`
  [[nodiscard]] bool Touches(const PackedRoom& other) const {
    int touching = 0;
    for (std::size_t i = 0; i < kParts; ++i) {
      touching |= static_cast<int>(this->parts[i] >= other.parts[i]);
    }
    return touching != 0;
  }
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_PACKED_ROOM_H_
