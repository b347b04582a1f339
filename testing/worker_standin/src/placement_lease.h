#ifndef MUSTARDPROXY_STANDIN_PLACEMENT_LEASE_H_
#define MUSTARDPROXY_STANDIN_PLACEMENT_LEASE_H_

#include <string>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "refusal.h"

namespace mustardproxy::standin {

/// One run of one entry process.
struct Holder {
  std::string process;
  Incarnation incarnation = 0;

  friend bool operator==(const Holder&, const Holder&) = default;
};

/// The lease that lets one entry process place on this worker: highest epoch
/// accepted, who holds it, and until when on the worker's own clock.
class PlacementLease {
 public:
  /// Accepted if the epoch is above the highest one and no other holder's lease
  /// is unexpired, or if it repeats the lease in force.
  MaybeRefusal Attach(Instant now, const Holder& holder, Epoch epoch,
                      Duration length);
  /// Accepted if the epoch is the highest one, attached and not released.
  MaybeRefusal Renew(Instant now, Epoch epoch, Duration length);
  /// Renews the lease by its last length, as an accepted start does.
  MaybeRefusal RenewByStart(Instant now, Epoch epoch);
  MaybeRefusal Release(Instant now, Epoch epoch);
  /// Checks the epoch of an order that renews nothing.
  [[nodiscard]] MaybeRefusal Check(Instant now, Epoch epoch) const;

  /// Off: behaves as a worker that compares no epochs.
  void CheckEpochs(bool check) { this->checks_epoch = check; }
  [[nodiscard]] Refusal Refuse(Instant now, RefusalReason reason) const;
  [[nodiscard]] Epoch HighestEpoch() const { return this->highest; }

 private:
  [[nodiscard]] bool InForce(Instant now) const;

  Epoch highest = 0;
  Holder holder;
  Duration length{0};
  Instant expires;
  bool attached = false;
  bool checks_epoch = true;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_PLACEMENT_LEASE_H_
