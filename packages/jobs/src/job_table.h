#ifndef MUSTARDPROXY_JOBS_JOB_TABLE_H_
#define MUSTARDPROXY_JOBS_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "crash_history.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "outage_detector.h"
#include "team_shares.h"

namespace mustardproxy::jobs {

/// State of one task at the owner of its job.
struct TaskEntry {
  bool done = false;
  /// A run was ordered and is not known to have ended.
  bool open = false;
  std::int32_t failed_runs = 0;
  /// Highest run number that was ordered.
  RunNumber last_run = 0;
  /// Highest run number whose failure was counted.
  RunNumber counted_run = 0;
  /// Worker of the open run.
  WorkerIncarnation worker;
  /// Worker of the last failed run; other workers are tried first.
  WorkerId last_failed_worker;
  /// Checkpoint from which the next run resumes.
  std::string checkpoint;
  /// Number of consecutive start orders that were rejected.
  std::int32_t rejected_starts = 0;
  /// Earliest time of the next run.
  Instant not_before;
  /// Number of runs that this owner has preempted, and when it last did so.
  std::int32_t preemptions = 0;
  Instant preempted_at;
  /// Predicted run time that was left then.
  Duration time_left{0};
};

/// Why a step that may begin has nothing running.
struct IdleStep {
  /// Since when; unset while something runs or nothing may begin.
  std::optional<Instant> since;
  /// Questions about it that were sent to the policy service, and those that
  /// named no worker when their turn came.
  std::int32_t questions = 0;
  std::int32_t dropped_questions = 0;
  /// How many of them followed each other without one that was sent.
  std::int32_t dropped_in_a_row = 0;
  /// Reservations of capacity that it gave up.
  std::int32_t reservations_given_up = 0;
};

/// @return for how long nothing of the step has run although it may
[[nodiscard]] inline Duration IdleTime(const IdleStep& idle, Instant now) {
  return idle.since ? std::chrono::duration_cast<Duration>(now - *idle.since)
                    : Duration::zero();
}

/// State of one step of one occurrence.
struct StepEntry {
  std::vector<TaskEntry> tasks;
  std::int32_t done = 0;
  std::int32_t open = 0;
  std::int32_t failed_gang_runs = 0;
  RunNumber counted_gang_run = 0;
  /// Earliest time so far by which the resources of the gang were to be
  /// collected.
  Instant gather_by = Instant::max();
  /// Earliest time to check again whether to query the policy service.
  Instant next_advice_check;
  /// Where the next such check begins among the workers without free capacity.
  std::size_t next_examined_worker = 0;
  IdleStep idle;
  /// Earliest time to log again what the step is waiting for.
  Instant next_wait_report;
  /// Since when tasks of an urgent step have found no capacity; the maximum if
  /// all have found some.
  Instant short_since = Instant::max();
  /// Earliest time to look again for runs to stop for the step.
  Instant next_preemption_check;

  [[nodiscard]] bool Done() const {
    return this->done == static_cast<std::int32_t>(this->tasks.size());
  }
  /// @return true if each task is done or has an open run
  [[nodiscard]] bool AllDoneOrOpen() const {
    return this->done + this->open >=
           static_cast<std::int32_t>(this->tasks.size());
  }
};

struct OccurrenceEntry {
  std::vector<StepEntry> steps;
};

/// State of one job at its owner.
struct JobEntry {
  Job job;
  /// For each step: the longest chain of estimated run times from its start to
  /// the end of the job.
  std::vector<Duration> remaining_path;
  /// The longest of them, from the start of the job.
  Duration critical_path{0};
  JobState state = JobState::kQueued;
  /// Cause of the failure, for callers.
  std::string failure;
  /// A worker has listed a run of the job or confirmed a start.
  bool begun = false;
  /// Open occurrences by number.
  std::map<std::int32_t, OccurrenceEntry> occurrences;
  /// Lost workers by the task that they were running.
  std::map<TaskRef, CrashHistory> crashes;
  /// All earlier occurrences are done.
  std::int32_t first_open = 0;
  /// All earlier occurrences are open or done.
  std::int32_t next_to_open = 0;
  /// When this owner first read the job.
  Instant learned_at;
  /// Its team had submitted as many jobs in that second as it is entitled to.
  bool exceeds_share = false;
  /// Number of its team in TeamShares, once known.
  std::optional<TeamNumber> team_number;
  /// State reported to callers; a final state is reported only after it is
  /// stored.
  JobState published_state = JobState::kQueued;
  /// Revision of the progress record; 0 if there is none.
  Revision progress_revision = 0;
  /// The job is known to be in the store. Before that, its tasks may be placed,
  /// but none is started, reported or counted.
  bool stored = true;
  /// Start actions that wait until the job is stored.
  std::vector<std::function<void()>> on_stored;
};

/// Effects of the end of a run.
struct EndEffect {
  /// The end belongs to the open run of a task.
  bool matched = false;
  /// The progress must be stored before the end is acknowledged to the worker.
  bool durable = false;
  /// The job became final.
  bool job_final = false;
  /// The other members of the gang run are no longer useful.
  bool gang_ended = false;
};

/// All jobs of a placement group and the state of their tasks. The table does
/// not depend on a clock and refers to workers by their identity only.
class JobTable {
 public:
  /// @return the new or existing entry
  JobEntry* Add(Job job, Instant now);
  [[nodiscard]] JobEntry* Find(const JobId& id);
  [[nodiscard]] const JobEntry* Find(const JobId& id) const;
  /// Removes a final job.
  void Remove(const JobId& id);

  /// Opens the occurrences that are due.
  /// @return true if at least one was opened
  static bool OpenDueOccurrences(JobEntry* entry, std::int64_t unix_ms);
  /// @return Unix time of the next occurrence in milliseconds, if any
  [[nodiscard]] static std::optional<std::int64_t> NextDueMs(
      const JobEntry& entry);

  /// @return true if all steps that this step depends on are done
  [[nodiscard]] static bool Ready(const JobEntry& entry,
                                  const OccurrenceEntry& occurrence,
                                  std::int32_t step);
  /// @return indices of the tasks that may start now; for a gang all or none
  [[nodiscard]] static std::vector<std::int32_t> Startable(
      const JobEntry& entry, const StepEntry& step, std::int32_t number,
      Instant now);

  /// Registers runs that are about to be ordered; the members of a gang share
  /// one run number.
  /// @param workers the worker of each of `tasks`
  /// @return the runs, in the order of `tasks`
  std::vector<RunRef> Begin(JobEntry* entry, const StepRef& step,
                            std::span<const std::int32_t> tasks,
                            std::span<const WorkerIncarnation> workers);
  /// Withdraws a run that was never started anywhere.
  void Withdraw(const RunRef& run);
  /// Processes the end of a run.
  EndEffect End(const RunRef& run, RunEnd end, std::string_view checkpoint,
                Instant now);
  /// Records the loss of a worker with an open run. The end of the run is
  /// processed separately afterwards.
  void NoteLoss(const RunRef& run, const WorkerLoss& loss);
  /// Confirms the loss of a worker after another incarnation responded.
  /// @return the tasks for which the loss was recorded
  std::vector<TaskRef> ConfirmLoss(const WorkerIncarnation& worker);
  /// Removes the recorded losses of a worker that responded.
  void NoteAlive(const WorkerIncarnation& worker);
  /// Discounts the losses in an outage for all jobs that cannot have caused it.
  /// @return the number of tasks whose losses changed
  std::size_t Discount(const Outage& outage);
  /// Records that an open run is on a later incarnation of its worker.
  void Relocate(const RunRef& run, const WorkerIncarnation& worker);
  /// @return the lost workers of the task, or null if there are none
  [[nodiscard]] const CrashHistory* FindCrashes(const TaskRef& task) const;
  /// Records that a worker reported a run of the job.
  void NoteBegun(const JobId& id);
  /// Records a checkpoint of an open run.
  void NoteCheckpoint(const RunRef& run, std::string_view checkpoint);
  /// Marks a job that is not final as failed.
  /// @param cause one sentence for callers
  void Fail(JobEntry* entry, std::string cause);
  /// @return true if it was not final before
  bool Cancel(JobEntry* entry);

  /// @return the task if `run` is its open run, or null
  [[nodiscard]] TaskEntry* FindOpen(const RunRef& run);
  [[nodiscard]] TaskEntry* FindTask(const TaskRef& task);
  [[nodiscard]] const Step* FindStep(const StepRef& step) const;
  /// @return the state of a step of an open occurrence, or null
  [[nodiscard]] StepEntry* FindStepEntry(const StepRef& step);

  /// Jobs that are not final, in the order in which they were added.
  [[nodiscard]] const std::vector<JobEntry*>& Active() const {
    return this->active;
  }
  [[nodiscard]] const std::unordered_map<JobId, std::unique_ptr<JobEntry>>&
  All() const {
    return this->jobs;
  }
  /// Excludes a job from the active jobs until Reactivate is called.
  void Deactivate(JobEntry* entry);
  void Reactivate(JobEntry* entry);
  /// Sets the state of a job; a final job stops being active.
  void SetState(JobEntry* entry, JobState state);
  /// Returns an occurrence, and creates its steps if it has none.
  static OccurrenceEntry* OpenOccurrence(JobEntry* entry, std::int32_t number);

 private:
  EndEffect EndDone(JobEntry* entry, const RunRef& run);
  EndEffect EndFailed(JobEntry* entry, const RunRef& run);
  void CloseFinished(JobEntry* entry);

  std::unordered_map<JobId, std::unique_ptr<JobEntry>> jobs;
  std::vector<JobEntry*> active;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_TABLE_H_
