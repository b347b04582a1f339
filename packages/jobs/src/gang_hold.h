#ifndef MUSTARDPROXY_JOBS_GANG_HOLD_H_
#define MUSTARDPROXY_JOBS_GANG_HOLD_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "placement.h"

namespace mustardproxy::jobs {

/// When and where a gang should fit, as running tasks end.
struct GangFit {
  Instant at;
  /// Positions of the candidates that are to give room.
  std::vector<std::size_t> candidates;
};

/// @return the earliest fit if nothing else is started meanwhile; nothing if
/// the
///   gang does not fit even when all that runs has ended
[[nodiscard]] std::optional<GangFit> FindGangFit(
    const Step& step, std::int64_t tasks, std::span<Candidate> candidates,
    Instant now);

/// Holds room for a gang that does not fit now, until the earliest moment at
/// which it should. Lower-ranked tasks still fill the gaps if they end before
/// (backfill).
///
/// Failure guarded against: small tasks take each gap as it opens, and a gang
/// that needs a third of the workers at once never starts.
void HoldCapacity(const Step& step, std::int64_t tasks,
                  std::span<Candidate> candidates, Instant now);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_GANG_HOLD_H_
