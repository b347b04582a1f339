#ifndef MUSTARDPROXY_JOBS_GANG_HOLD_H_
#define MUSTARDPROXY_JOBS_GANG_HOLD_H_

#include <cstdint>
#include <span>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "placement.h"

namespace mustardproxy::jobs {

/// Holds room for a gang that does not fit now, until the earliest moment at
/// which it should, as running tasks end. Lower-ranked tasks still fill the
/// gaps if they end before (backfill).
///
/// Failure guarded against: small tasks take each gap as it opens, and a gang
/// that needs a third of the workers at once never starts.
void HoldRooms(const Step& step, std::int64_t tasks,
               std::span<Candidate> candidates, Instant now);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_GANG_HOLD_H_
