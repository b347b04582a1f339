#include "placement_lease.h"

#include <algorithm>

namespace mustardproxy::standin {

bool PlacementLease::InForce(Instant now) const {
  return this->attached && now < this->expires;
}

Refusal PlacementLease::Refuse(Instant now, RefusalReason reason) const {
  Refusal refusal;
  refusal.reason = reason;
  refusal.highest_epoch = this->highest;
  if (this->InForce(now)) {
    refusal.holder = this->holder.process;
    refusal.lease_left = this->expires - now;
  }
  return refusal;
}

MaybeRefusal PlacementLease::Attach(Instant now, const Holder& by, Epoch epoch,
                                    Duration lease) {
  const bool repeat =
      this->InForce(now) && by == this->holder && epoch == this->highest;
  if (this->checks_epoch && !repeat) {
    if (epoch <= this->highest) {
      return this->Refuse(now, RefusalReason::kStaleEpoch);
    }
    if (this->InForce(now) && by != this->holder) {
      return this->Refuse(now, RefusalReason::kLeaseHeld);
    }
  }
  this->highest = std::max(this->highest, epoch);
  this->holder = by;
  this->length = lease;
  this->expires = now + lease;
  this->attached = true;
  return {};
}

MaybeRefusal PlacementLease::Renew(Instant now, Epoch epoch, Duration lease) {
  if (auto refusal = this->Check(now, epoch)) return refusal;
  this->length = lease;
  this->expires = now + lease;
  return {};
}

MaybeRefusal PlacementLease::RenewByStart(Instant now, Epoch epoch) {
  return this->Renew(now, epoch, this->length);
}

MaybeRefusal PlacementLease::Release(Instant now, Epoch epoch) {
  if (auto refusal = this->Check(now, epoch)) return refusal;
  this->attached = false;
  return {};
}

MaybeRefusal PlacementLease::Check(Instant now, Epoch epoch) const {
  if (!this->checks_epoch) return {};
  if (this->attached && epoch == this->highest) return {};
  return this->Refuse(now, RefusalReason::kStaleEpoch);
}

}  // namespace mustardproxy::standin
