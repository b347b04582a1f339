#ifndef JOB_LOAD_EXPERIMENT_H_
#define JOB_LOAD_EXPERIMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "job_load/deployment.h"

namespace job_load {

/// What became of one job.
struct JobOutcome {
  std::string job;
  /// Position of its queue in the deployment.
  std::size_t queue = 0;
  /// Since the experiment began.
  Duration handed_in{0};
  /// From handing in; nothing if it did not happen.
  std::optional<Duration> first_start;
  std::optional<Duration> done;
  /// The time in which its queue wants it done.
  Duration objective{0};
  /// Work of all its tasks, in core seconds.
  double core_seconds = 0.0;
  bool hopeless = false;
};

/// The cell at one moment.
struct CellSample {
  Duration at{0};
  /// Processors in use, of those there are.
  double cores_used = 0.0;
  double cores = 0.0;
  std::int64_t tasks_running = 0;
  std::int64_t jobs_waiting = 0;
};

/// What an experiment showed.
struct ExperimentResult {
  std::vector<JobOutcome> jobs;
  std::vector<CellSample> samples;
  /// Workers that tasks took down, tasks that were given up for it, and those
  /// of them that did not take any down.
  std::int64_t task_crashes = 0;
  std::size_t given_up = 0;
  std::size_t sound_given_up = 0;
  /// Promises that were broken.
  std::vector<std::string> broken;
  std::int64_t runs = 0;
  /// Processor time that the processes' control threads took, without sockets
  /// and codecs, which the simulation has none of.
  double control_cpu_seconds = 0.0;
  /// Of that, the most that one process took.
  double owner_cpu_seconds = 0.0;
  /// Virtual time that was played.
  Duration played{0};
  /// Lines of the structured log.
  std::vector<std::string> log;
};

/// Plays a deployment from its description. The same description gives the
/// same result, but for processor time.
[[nodiscard]] ExperimentResult RunExperiment(const Deployment& deployment);

}  // namespace job_load

#endif  // JOB_LOAD_EXPERIMENT_H_
