#ifndef JOB_LOAD_SRC_LOAD_H_
#define JOB_LOAD_SRC_LOAD_H_

#include "job_load/deployment.h"
#include "job_sim/random.h"

namespace job_load {

/// A job as drawn from the description of its kind.
struct DrawnJob {
  jobs::JobSpec spec;
  /// Actual run times, as a multiple of the declared ones.
  double length_factor = 1.0;
  bool hopeless = false;
  /// Its tasks take their workers down.
  bool crashing = false;
};

/// @return a value around the mean, at least 1 where `whole` values count
double Draw(job_sim::Random* random, const Spread& spread);
DrawnJob DrawJob(job_sim::Random* random, const QueueLoad& load);
/// @return time until the next job of this kind
Duration DrawPause(job_sim::Random* random, const QueueLoad& load,
                   Duration since_start);
/// @return the longest chain of a job's steps, with actual run times
Duration LongestChain(const DrawnJob& job);
/// @return processor seconds of all its tasks
double CoreSeconds(const DrawnJob& job);

}  // namespace job_load

#endif  // JOB_LOAD_SRC_LOAD_H_
