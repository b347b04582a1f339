#ifndef MUSTARDPROXY_JOBS_PLACEMENT_ADVISER_H_
#define MUSTARDPROXY_JOBS_PLACEMENT_ADVISER_H_

#include <functional>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// Asks which of these workers may run a step.
struct AdviceQuestion {
  StepRef step;
  /// 100 at most.
  std::vector<WorkerId> workers;
  /// When the answer is given up on.
  Duration timeout{0};
};

/// Permission to start tasks of the step on a worker.
struct Permission {
  WorkerId worker;
  std::string ticket;
};

/// The workers that may run the step; the others may not in this life of
/// theirs.
struct Advice {
  std::vector<Permission> permitted;
  /// How long the permissions hold from the answer on.
  Duration validity{0};
};

/// Client of the policy service. It serves one question at a time for each
/// calling host. `done` is called once, on the control thread.
class PlacementAdviser {
 public:
  PlacementAdviser() = default;
  PlacementAdviser(const PlacementAdviser&) = delete;
  PlacementAdviser& operator=(const PlacementAdviser&) = delete;
  virtual ~PlacementAdviser() = default;

  virtual void Ask(AdviceQuestion question,
                   std::function<void(Result<Advice>)> done) = 0;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PLACEMENT_ADVISER_H_
