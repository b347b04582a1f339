#include "lease_times.h"

#include <cstdint>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Maximum age of the reading of a worker's clock from which a lease is
/// computed: a hold waits for `kMaxHoldWait`, and the calls that follow it time
/// out. Meanwhile a slow clock falls behind the computed one.
constexpr Duration kMaxClockReadingAge = seconds(3);

/// @return the time in which the slowest clock of a worker advances by this
Duration OnSlowestClock(Duration shown) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(shown.count()) /
                                            kSlowestWorkerClock));
}

}  // namespace

Duration MaxGrantedLeaseTime() {
  return OnSlowestClock(kMaxClockReadingAge + kWorkerLease) -
         kMaxClockReadingAge + kLeaseExpiryMargin;
}

Duration MaxFormerOwnerLeaseTime() {
  return kOwnerOutageTolerance + MaxGrantedLeaseTime();
}

}  // namespace mustardproxy::jobs
