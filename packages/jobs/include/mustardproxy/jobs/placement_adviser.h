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

/// A question to the policy service: which of these workers may run a step.
struct AdviceQuestion {
  StepRef step;
  /// At most 100.
  std::vector<WorkerId> workers;
  /// The question fails if it is not answered within this time.
  Duration timeout{0};
};

/// Permission to start tasks of the step on a worker.
struct Permission {
  WorkerId worker;
  std::string ticket;
};

/// Answer to a question. The workers that are not listed may not run the step
/// in their current incarnation.
struct Advice {
  std::vector<Permission> permitted;
  /// How long the permissions are valid after the answer.
  Duration validity{0};
};

/// Client of the policy service, which serves one question at a time for each
/// calling host. `done` is called exactly once, on the control thread.
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
