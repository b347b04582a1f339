#ifndef MUSTARDPROXY_JOBS_JOB_H_
#define MUSTARDPROXY_JOBS_JOB_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/team.h"

/// Jobs consist of steps of tasks that run on workers; each task runs to
/// completion once.
namespace mustardproxy::jobs {

/// Job id chosen by the caller. Submitting the same id again refers to the same
/// job.
using JobId = Id<struct JobTag>;
/// Name of a queue in the desired state.
using QueueName = Id<struct QueueTag>;

/// Number of a run of one task, counted from 1. All members of a gang run share
/// the number.
using RunNumber = std::int64_t;

/// All tasks of one step in one occurrence of a job.
struct StepRef {
  JobId job;
  /// Index of the occurrence of a recurring job; 0 for a job that runs once.
  std::int32_t occurrence = 0;
  std::int32_t step = 0;

  friend bool operator==(const StepRef&, const StepRef&) = default;
  // clang-tidy reports the 0 in the rewritten comparison as a null pointer.
  friend std::strong_ordering operator<=>(const StepRef&,
                                          const StepRef&) = default;  // NOLINT
};

/// One task.
struct TaskRef {
  StepRef step;
  std::int32_t index = 0;

  friend bool operator==(const TaskRef&, const TaskRef&) = default;
  // clang-tidy reports the 0 in the rewritten comparison as a null pointer.
  friend std::strong_ordering operator<=>(const TaskRef&,
                                          const TaskRef&) = default;  // NOLINT
};

/// @return `job.occurrence.step`, for logs
[[nodiscard]] std::string Text(const StepRef& step);
/// @return `job.occurrence.step.index`, for logs
[[nodiscard]] std::string Text(const TaskRef& task);

/// Timing of the external policy service that decides which workers may run a
/// step.
struct AdvicePolicy {
  /// Fixed time that the service takes to answer one question.
  Duration decision{0};
  /// Additional time for each worker named in the question.
  Duration per_worker{0};
  /// How long a permission stays valid.
  Duration validity{0};

  friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
};

/// A queue of the desired state; defines how its jobs are scheduled.
struct Queue {
  QueueName name;
  /// Host name of the requests that are routed to this queue.
  std::string host;
  /// Path prefix of the requests that are routed to this queue; the longest
  /// matching prefix wins.
  std::string path_prefix;
  /// Service whose workers run the tasks.
  ServiceId service;
  /// Priority of the queue; 0 is the highest and may preempt tasks of the
  /// others.
  std::int32_t priority = 0;
  /// Number of failed runs of one task or gang after which the job fails.
  std::int32_t max_attempts = 1;
  /// The target duration of a job is its critical path times this factor, plus
  /// `target`.
  double stretch = 1.0;
  /// Constant part of the target duration; see `stretch`.
  Duration target{0};
  std::optional<AdvicePolicy> advice;
  /// Calls need no API key.
  bool open_to_all = false;

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// A group of identical tasks.
struct Step {
  std::int32_t tasks = 1;
  /// Resources required by each task; slots are not counted.
  Resources each;
  /// Run time of one task as estimated by the caller; may be far off.
  Duration estimate{0};
  /// Indices of earlier steps that must be complete before this one starts.
  std::vector<std::int32_t> after;
  /// Tasks save checkpoints, from which another run can resume.
  bool checkpointing = false;
  /// Gang scheduling: all tasks run at the same time or none does.
  bool gang = false;
  /// Tasks run slower if they are spread over more than one rack.
  bool same_rack = false;
  /// Several copies of one task may run concurrently.
  bool speculative = false;
  /// Tasks run until the job is cancelled and are restarted whenever they end.
  bool long_running = false;
  /// Tasks use only idle processor time; their processors are not counted.
  bool best_effort = false;
  /// Label that a worker must have; empty for any.
  std::string required_label;
  /// Rack that holds the input data; tasks run slower elsewhere. Empty for any.
  std::string near_rack;
  /// Maximum number of tasks on one worker; 0 for no limit.
  std::int32_t max_per_worker = 0;
  /// Image of the tasks; tasks with the same image behave alike.
  std::string image;
  /// Upper bound for the tail response time of a long-running task; 0 for none.
  Duration response_target{0};
  /// Maximum number of tasks of a long-running step that the scheduler may stop
  /// at the same time.
  std::int32_t max_unavailable = 0;

  friend bool operator==(const Step&, const Step&) = default;
};

/// Schedule of a recurring job.
struct JobSchedule {
  /// Unix time of the first occurrence, in milliseconds.
  std::int64_t first_unix_ms = 0;
  std::int64_t interval_ms = 0;
  /// Number of occurrences; 0 runs the job once, immediately.
  std::int32_t occurrences = 0;

  friend bool operator==(const JobSchedule&, const JobSchedule&) = default;
};

/// Job specification as submitted by a caller.
struct JobSpec {
  /// Opaque data that is passed to each task.
  std::string payload;
  std::vector<Step> steps;
  JobSchedule schedule;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// An accepted job.
struct Job {
  JobId id;
  /// The queue as it was when the job was accepted; stays in effect if the
  /// queue is removed.
  Queue queue;
  JobSpec spec;
  /// Unix time of acceptance, in milliseconds, by the clock of the accepting
  /// host.
  std::int64_t accepted_unix_ms = 0;
  /// Who submitted the job.
  JobAccess access = {};
  /// The team's cap when the job was accepted; stays in effect if the team is
  /// removed.
  Resources team_cap = {};
};

/// State of a job as reported to callers.
enum class JobState {
  /// Accepted; no task has started.
  kQueued,
  kRunning,
  /// All tasks have completed successfully.
  kCompleted,
  /// A task or gang has failed as often as its queue allows, or too many
  /// workers were lost while they ran one task.
  kFailed,
  kCancelled,
};

[[nodiscard]] constexpr bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}
/// @return `queued`, `running`, `completed`, `failed` or `cancelled`
[[nodiscard]] std::string_view Name(JobState state);

/// State of a job, the cause of a failure, and who may know of it.
struct JobStatus {
  JobState state = JobState::kQueued;
  /// One sentence that explains a failure. Empty in other states and if the
  /// final state was stored by an earlier version.
  std::string cause;
  JobAccess access = {};

  friend bool operator==(const JobStatus&, const JobStatus&) = default;
};

/// A problem found in a job specification.
struct SpecProblem {
  /// Path of the field, for example `steps[2].after[0]`.
  std::string field;
  /// The value found and the values allowed.
  std::string reason;
};

/// Upper limits for a job specification.
struct SpecLimits {
  std::size_t max_payload_bytes = 4000;
  std::int32_t max_steps = 64;
  /// Total number of tasks. The progress record of a job must fit in one value
  /// of the store and takes about 60 bytes per task.
  std::int32_t max_tasks = 10'000;
  std::int32_t max_occurrences = 100'000;
};

/// Validates a whole job specification.
/// @return the first problem, or `std::nullopt` if there is none
[[nodiscard]] std::optional<SpecProblem> CheckSpec(const JobSpec& spec,
                                                   const SpecLimits& limits);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_H_
