#ifndef JOB_LOAD_DEPLOYMENT_H_
#define JOB_LOAD_DEPLOYMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"

/// Experiments: a described deployment under a described load.
namespace job_load {

namespace jobs = mustardproxy::jobs;
using mustardproxy::Duration;

/// How one figure of the load varies: around its mean, by the spread of the
/// logarithm, and never above the most.
struct Spread {
  double mean = 1.0;
  double spread = 0.0;
  double most = 1.0;
};

/// More load than usual for a while.
struct Burst {
  Duration at{0};
  Duration length{0};
  double factor = 1.0;
};

/// Jobs of one kind, and the queue that they are handed to.
struct QueueLoad {
  jobs::Queue queue;
  /// Share of the workers that the policy service permits for a step; used if
  /// the queue has a policy.
  double permitted_share = 1.0;
  double jobs_per_second = 1.0;
  Spread steps;
  /// Tasks of a step.
  Spread tasks;
  Spread cpu_milli;
  Spread memory_mb;
  Spread run_ms;
  /// Share of the steps that are gangs.
  double gang_share = 0.0;
  /// Share of the jobs that can never be done.
  double hopeless_share = 0.0;
  /// Share of the jobs whose tasks take down each worker that starts them …
  double crashing_share = 0.0;
  /// … after this time.
  Duration crash_after{0};
  /// Declared run times are off by up to this share, either way.
  double estimate_error = 0.0;
  /// Tasks are long-running services: the job never ends by itself.
  bool long_running = false;
  std::vector<Burst> bursts;
};

/// What goes wrong, and when.
struct PlannedFault {
  enum class Kind {
    kKillOwner,
    kStoreSilent,
    kStoreSlow,
    kCrashWorkers,
    kCutWorkers,
  };
  Kind kind = Kind::kKillOwner;
  Duration at{0};
  Duration length{0};
  /// Of the workers, where it strikes workers.
  double share = 0.1;
};

/// Everything that an experiment needs to know.
struct Deployment {
  std::uint64_t seed = 1;
  /// How long jobs are handed in.
  Duration length{0};
  std::size_t processes = 3;
  /// What the store takes from all processes together.
  std::int64_t store_writes_per_second = 400;
  std::size_t workers = 16;
  std::size_t workers_per_rack = 8;
  std::int64_t worker_cpu_milli = 16'000;
  std::int64_t worker_memory_mb = 65'536;
  std::vector<QueueLoad> queues;
  std::vector<PlannedFault> faults;
};

/// What is wrong with a description.
struct DeploymentProblem {
  /// For example `queues[1].run_ms.mean`.
  std::string field;
  std::string reason;
};

/// Reads and checks a description: JSON with comments, see
/// docs/EXPERIMENTS.md.
/// @return the deployment, or the first problem
[[nodiscard]] std::variant<Deployment, DeploymentProblem> ParseDeployment(
    std::string_view text);

}  // namespace job_load

#endif  // JOB_LOAD_DEPLOYMENT_H_
