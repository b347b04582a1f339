#ifndef MUSTARDPROXY_JOBS_PLACEMENT_H_
#define MUSTARDPROXY_JOBS_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resource_math.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/jobs/job.h"
#include "worker_session.h"

namespace mustardproxy::jobs {

/// Free capacity of a worker that accepts tasks, during one pass over the
/// queue.
struct WorkerCapacity {
  const WorkerSession* session = nullptr;
  Resources free;
  /// Something runs there or is about to.
  bool in_use = false;
  /// Whether lower-ranked steps must leave the capacity free for a waiting gang
  /// until `held_until`.
  bool held = false;
  Instant held_until;
};

/// Capacity that may take tasks of one step.
struct Candidate {
  WorkerCapacity* capacity = nullptr;
  /// Tasks of the same step that already run there.
  std::int32_t siblings = 0;
};

/// @return the resources that one task takes on a worker
[[nodiscard]] Resources TaskDemand(const Step& step);

/// @return how many tasks of the step fit into `free`, at most `limit`
[[nodiscard]] std::int64_t CountFitting(const Step& step, const Resources& free,
                                        std::int64_t limit);

/// @return how many tasks of the step fit on a candidate, at most `limit`
[[nodiscard]] std::int64_t CountPlaceable(const Step& step,
                                          const Candidate& candidate,
                                          std::int64_t limit = kUnboundedCount);

/// Chooses workers for `tasks` tasks of a step: on the rack of the data first,
/// otherwise on a single rack if one fits all, with best fit within a rack.
/// Deducts the capacity from `candidates`.
/// @return one worker per task; fewer if capacity is short, and none for a gang
///   that does not fit whole
[[nodiscard]] std::vector<WorkerIncarnation> PlaceTasks(
    const Step& step, std::int32_t tasks, std::span<Candidate> candidates);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PLACEMENT_H_
