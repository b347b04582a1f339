#include "ledger/worker_entry.h"

#include <algorithm>
#include <cmath>

#include "ledger/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// A worker that returns from ejection gets one task at least, or it could
/// never prove itself.
std::int64_t AllowedSlots(std::int64_t slots, double share) {
  if (share >= 1.0) return slots;
  if (share <= 0.0) return 0;
  const double allowed = std::floor(static_cast<double>(slots) * share);
  return std::min(slots, std::max<std::int64_t>(1, std::lround(allowed)));
}

}  // namespace

Resources WorkerEntry::Free() const {
  if (!this->open || !this->placeable) return {};
  Resources free = this->capacity - this->used;
  const std::int64_t allowed = AllowedSlots(this->capacity.slots, this->share);
  free.slots = std::min(free.slots, allowed - this->used.slots);
  return ClampToZero(free);
}

Resources WorkerEntry::Unheld() const {
  return ClampToZero(this->Free() - this->held);
}

}  // namespace mustardproxy::detail
