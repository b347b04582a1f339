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

/// When and where a gang is expected to fit, as running tasks end.
struct GangFit {
  Instant at;
  /// Indexes of the candidates that provide capacity.
  std::vector<std::size_t> candidates;
};

/// @return the earliest fit if nothing else starts meanwhile; nothing if the
///   gang does not fit even after all runs have ended
[[nodiscard]] std::optional<GangFit> FindGangFit(
    const Step& step, std::int64_t tasks, std::span<Candidate> candidates,
    Instant now);

/// Holds capacity for a gang that does not fit now until the earliest time at
/// which it should. Lower-ranked tasks may still use that capacity if they end
/// earlier (backfill).
///
/// Failure guarded against: small tasks take each gap as it opens, and a gang
/// that needs a third of the workers at once never starts.
/// @return indices of the candidates whose capacity is held
std::vector<std::size_t> HoldCapacity(const Step& step, std::int64_t tasks,
                                      std::span<Candidate> candidates,
                                      Instant now);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_GANG_HOLD_H_
