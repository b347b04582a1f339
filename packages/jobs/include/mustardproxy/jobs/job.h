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

/// Jobs: steps of tasks that run on workers, each task once to its end.
namespace mustardproxy::jobs {

/// Chosen by the caller; the same id handed in again is the same job.
using JobId = Id<struct JobTag>;
/// A queue's name in the desired state.
using QueueName = Id<struct QueueTag>;

/// Counts the starts of one task from 1. All members of one start of a gang
/// share the number.
using RunNumber = std::int64_t;

/// All tasks of one step in one occurrence of a job.
struct StepRef {
  JobId job;
  /// Which repetition of a scheduled job; 0 for a job that runs once.
  std::int32_t occurrence = 0;
  std::int32_t step = 0;

  friend bool operator==(const StepRef&, const StepRef&) = default;
  // clang-tidy takes the 0 of its own rewriting for a null pointer.
  friend std::strong_ordering operator<=>(const StepRef&,
                                          const StepRef&) = default;  // NOLINT
};

/// One task.
struct TaskRef {
  StepRef step;
  std::int32_t index = 0;

  friend bool operator==(const TaskRef&, const TaskRef&) = default;
  // clang-tidy takes the 0 of its own rewriting for a null pointer.
  friend std::strong_ordering operator<=>(const TaskRef&,
                                          const TaskRef&) = default;  // NOLINT
};

/// @return `job.occurrence.step`, for logs
[[nodiscard]] std::string Text(const StepRef& step);
/// @return `job.occurrence.step.index`, for logs
[[nodiscard]] std::string Text(const TaskRef& task);

/// How an outside policy service decides which workers may run a step.
struct AdvicePolicy {
  /// What one question costs there, whatever it asks.
  Duration decision{0};
  /// What each worker named in the question adds.
  Duration per_worker{0};
  /// How long a permission holds.
  Duration validity{0};

  friend bool operator==(const AdvicePolicy&, const AdvicePolicy&) = default;
};

/// A queue of the desired state: how its jobs are treated.
struct Queue {
  QueueName name;
  /// Callers choose the queue by this host name …
  std::string host;
  /// … and the longest of these that their path begins with.
  std::string path_prefix;
  /// Whose workers run the tasks.
  ServiceId service;
  /// 0 comes first and may preempt others.
  std::int32_t priority = 0;
  /// Failed runs of one task, or gang, that fail the job.
  std::int32_t max_attempts = 1;
  /// A job should take this times its longest chain of work …
  double stretch = 1.0;
  /// … and so much more.
  Duration target{0};
  std::optional<AdvicePolicy> advice;

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// Tasks that are all alike.
struct Step {
  std::int32_t tasks = 1;
  /// What each task takes; slots are not counted.
  Resources each;
  /// The caller's estimate of a run, which may be far off.
  Duration estimate{0};
  /// Earlier steps that must be done first.
  std::vector<std::int32_t> after;
  /// Saves its progress, so that another run can resume.
  bool checkpointing = false;
  /// All tasks run at the same time or none does.
  bool gang = false;
  /// Slower on more than one rack.
  bool same_rack = false;
  /// Copies of a task may run beside each other.
  bool speculative = false;
  /// Runs until the job is cancelled and is started again however it ends.
  bool long_running = false;
  /// Takes processor time that others leave; its processors are not counted.
  bool best_effort = false;
  /// Label that the worker must have; empty for any.
  std::string required_label;
  /// Rack where the data is; slower elsewhere. Empty for any.
  std::string near_rack;
  /// Most tasks on one worker; 0 for any number.
  std::int32_t max_per_worker = 0;
  /// Tasks of one image behave alike.
  std::string image;
  /// Bound on the tail of a long-running task's response times; 0 for none.
  Duration response_target{0};
  /// Tasks of a long-running step that the scheduler may take away at once.
  std::int32_t max_unavailable = 0;

  friend bool operator==(const Step&, const Step&) = default;
};

/// When a job that repeats is due.
struct JobSchedule {
  /// Milliseconds since 1970 of the first occurrence.
  std::int64_t first_unix_ms = 0;
  std::int64_t interval_ms = 0;
  /// 0: the job runs once, at once.
  std::int32_t occurrences = 0;

  friend bool operator==(const JobSchedule&, const JobSchedule&) = default;
};

/// What a caller hands in.
struct JobSpec {
  /// Opaque; each task gets it.
  std::string payload;
  std::vector<Step> steps;
  JobSchedule schedule;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// An accepted job.
struct Job {
  JobId id;
  /// As it stood when the job was accepted; used on if the queue is removed.
  Queue queue;
  JobSpec spec;
  /// By the clock of the host that accepted it.
  std::int64_t accepted_unix_ms = 0;
};

/// What callers are told of a job.
enum class JobState {
  /// Accepted; no task has started.
  kQueued,
  kRunning,
  /// All tasks have ended well.
  kCompleted,
  /// A task or gang has failed as often as its queue allows.
  kFailed,
  kCancelled,
};

[[nodiscard]] constexpr bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}
/// @return `queued`, `running`, `completed`, `failed` or `cancelled`
[[nodiscard]] std::string_view Name(JobState state);

/// A job's state, and why it came to that.
struct JobStatus {
  JobState state = JobState::kQueued;
  /// One sentence on why it failed; empty for other states, and if an earlier
  /// version has stored the end.
  std::string cause;

  friend bool operator==(const JobStatus&, const JobStatus&) = default;
};

/// What is wrong with a job.
struct SpecProblem {
  /// The field, for example `steps[2].after[0]`.
  std::string field;
  /// What was found and what is allowed.
  std::string reason;
};

/// Largest values that a job may have.
struct SpecLimits {
  std::size_t max_payload_bytes = 4000;
  std::int32_t max_steps = 64;
  /// Tasks of all steps; the progress of a job has to fit in one value of the
  /// store, at about 60 bytes a task.
  std::int32_t max_tasks = 10'000;
  std::int32_t max_occurrences = 100'000;
};

/// Checks what a caller hands in, whole.
/// @return the first problem, or nothing
[[nodiscard]] std::optional<SpecProblem> CheckSpec(const JobSpec& spec,
                                                   const SpecLimits& limits);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_H_
