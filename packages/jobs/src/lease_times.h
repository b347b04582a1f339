#ifndef MUSTARDPROXY_JOBS_LEASE_TIMES_H_
#define MUSTARDPROXY_JOBS_LEASE_TIMES_H_

#include "mustardproxy/core/time.h"

namespace mustardproxy::jobs {

/// @return how long the lease granted by an order may last after the owner has
///   sent the order. The lease ends at a time on the worker's clock, so an
///   order that arrives late does not extend it.
[[nodiscard]] Duration MaxGrantedLeaseTime();

/// @return how long the leases granted by a former owner may last after it was
///   replaced, if nothing else is known of it. An owner that is cut off from
///   the store grants leases for `kOwnerOutageTolerance` after its last renewal
///   there.
[[nodiscard]] Duration MaxFormerOwnerLeaseTime();

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_LEASE_TIMES_H_
