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

/// A worker that may take tasks, during one pass over the queue.
struct WorkerCapacity {
  const WorkerSession* session = nullptr;
  Resources free;
  /// What lower-ranked steps must leave free for a gang that waits, until
  /// `held_until`.
  bool held = false;
  Instant held_until;
};

/// A room that may take tasks of one step.
struct Candidate {
  WorkerCapacity* capacity = nullptr;
  /// Tasks of the same step that are there already.
  std::int32_t siblings = 0;
};

/// @return what one task takes of a worker's room
[[nodiscard]] Resources TaskDemand(const Step& step);

/// @return how many tasks of the step fit into `free`, at most `limit`
[[nodiscard]] std::int64_t CountFitting(const Step& step, const Resources& free,
                                        std::int64_t limit);

/// @return how many tasks of the step a candidate takes, at most `limit`
[[nodiscard]] std::int64_t CountPlaceable(const Step& step,
                                          const Candidate& candidate,
                                          std::int64_t limit = kUnboundedCount);

/// Chooses workers for `tasks` tasks of a step: the data's rack first, else one
/// rack if it holds all, best fit within. Takes the room in `candidates`.
/// @return one worker a task; fewer if room is short, and none of a gang then
[[nodiscard]] std::vector<WorkerIncarnation> PlaceTasks(
    const Step& step, std::int32_t tasks, std::span<Candidate> candidates);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PLACEMENT_H_
