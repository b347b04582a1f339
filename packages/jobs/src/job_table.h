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

namespace mustardproxy::jobs {

/// One task as its owner knows it.
struct TaskEntry {
  bool done = false;
  /// A run was ordered whose end is not known.
  bool open = false;
  std::int32_t failed_runs = 0;
  /// Highest run that was ever ordered.
  RunNumber last_run = 0;
  /// Highest run whose failure is counted.
  RunNumber counted_run = 0;
  /// Where the open run is.
  WorkerIncarnation worker;
  /// Where it failed last; another worker is tried first.
  WorkerId failed_at;
  /// Where the next run resumes.
  std::string checkpoint;
  /// Starts in a row that workers turned down.
  std::int32_t refusals = 0;
  /// No new run before.
  Instant not_before;
};

/// One step of one occurrence.
struct StepEntry {
  std::vector<TaskEntry> tasks;
  std::int32_t done = 0;
  std::int32_t open = 0;
  std::int32_t failed_gang_runs = 0;
  RunNumber counted_gang_run = 0;
  /// Earliest moment at which the gang's room was to be gathered so far.
  Instant gather_by = Instant::max();
  /// No look before at whether the policy service should be asked.
  Instant ask_after;
  /// No line in the log before about what it waits for.
  Instant report_after;

  [[nodiscard]] bool Done() const {
    return this->done == static_cast<std::int32_t>(this->tasks.size());
  }
  /// @return true if each task is done or has an open run
  [[nodiscard]] bool AllUnderWay() const {
    return this->done + this->open >=
           static_cast<std::int32_t>(this->tasks.size());
  }
};

struct OccurrenceEntry {
  std::vector<StepEntry> steps;
};

/// One job as its owner knows it.
struct JobEntry {
  Job job;
  /// By step: the longest chain of declared run times from its start on.
  std::vector<Duration> remaining_path;
  /// The longest of them, from the start of the job.
  Duration critical_path{0};
  JobState state = JobState::kQueued;
  /// Why it failed, for callers.
  std::string failure;
  /// A worker has listed a run of it, or said that it started one.
  bool begun = false;
  /// Open occurrences by number.
  std::map<std::int32_t, OccurrenceEntry> occurrences;
  /// Of the tasks under which workers were lost.
  std::map<TaskRef, CrashHistory> crashes;
  /// Those before are done.
  std::int32_t first_open = 0;
  /// Those before are open or done.
  std::int32_t next_to_open = 0;
  /// When this owner learnt of it.
  Instant learned_at;
  /// What callers are told: a final state only once it is stored.
  JobState published_state = JobState::kQueued;
  /// Of its progress record; 0 if there is none.
  Revision progress_revision = 0;
  /// Its key is known to be in the store. Before, it may be placed, but nothing
  /// of it is started, shown or counted.
  bool stored = true;
  /// Starts that wait for that.
  std::vector<std::function<void()>> on_stored;
};

/// What an end changes.
struct EndEffect {
  /// It ended the open run of a task.
  bool matched = false;
  /// The progress must be stored before the worker may forget the end.
  bool durable = false;
  /// The job became final.
  bool job_final = false;
  /// Members of the same gang run are of no use any more.
  bool gang_over = false;
};

/// All jobs of a placement group: which tasks may start, run and have ended.
/// Knows nothing of workers but their names, and of no clock.
class JobTable {
 public:
  /// @return the entry, new or old
  JobEntry* Add(Job job, Instant now);
  [[nodiscard]] JobEntry* Find(const JobId& id);
  [[nodiscard]] const JobEntry* Find(const JobId& id) const;
  /// Forgets a final job.
  void Remove(const JobId& id);

  /// Opens the occurrences that are due.
  /// @return true if there are new ones
  static bool OpenDueOccurrences(JobEntry* entry, std::int64_t unix_ms);
  /// @return time of day of the next occurrence, if any
  [[nodiscard]] static std::optional<std::int64_t> NextDueMs(
      const JobEntry& entry);

  /// @return true if all earlier steps are done
  [[nodiscard]] static bool Ready(const JobEntry& entry,
                                  const OccurrenceEntry& occurrence,
                                  std::int32_t step);
  /// @return indices of tasks that may start now; for a gang all or none
  [[nodiscard]] static std::vector<std::int32_t> Startable(
      const JobEntry& entry, const StepEntry& step, std::int32_t number,
      Instant now);

  /// Records that runs are about to be ordered; the members of a gang share
  /// one number.
  /// @param workers one for each of `tasks`
  /// @return the runs, in that order
  std::vector<RunRef> Begin(JobEntry* entry, const StepRef& step,
                            std::span<const std::int32_t> tasks,
                            std::span<const WorkerIncarnation> workers);
  /// Takes back a run that was never started anywhere.
  void Withdraw(const RunRef& run);
  /// Takes in the end of a run.
  EndEffect End(const RunRef& run, RunEnd end, std::string_view checkpoint,
                Instant now);
  /// Records that a worker was lost under an open run, whose end is taken in
  /// afterwards.
  void NoteLoss(const RunRef& run, const WorkerLoss& loss);
  /// Another life has answered in place of a worker that was silent.
  /// @return the tasks under which it was lost
  std::vector<TaskRef> ConfirmLoss(const WorkerIncarnation& worker);
  /// A worker has answered: it is not lost, whatever it was taken for.
  void NoteAlive(const WorkerIncarnation& worker);
  /// Workers went down together: of jobs that can't have caused it, their loss
  /// counts little.
  /// @return of how many tasks one did not count little before
  std::size_t Discount(const Outage& outage);
  /// An open run has turned out to be at a later life of its worker.
  void Relocate(const RunRef& run, const WorkerIncarnation& worker);
  /// @return null if no worker was lost under the task
  [[nodiscard]] const CrashHistory* FindCrashes(const TaskRef& task) const;
  /// A worker tells of a run of the job.
  void NoteBegun(const JobId& id);
  /// Notes progress of an open run.
  void NoteCheckpoint(const RunRef& run, std::string_view checkpoint);
  /// Gives a job up that is not final.
  /// @param cause one sentence for callers
  void Fail(JobEntry* entry, std::string cause);
  /// @return true if it was not final before
  bool Cancel(JobEntry* entry);

  /// @return the open run of a task, if `run` is it
  [[nodiscard]] TaskEntry* FindOpen(const RunRef& run);
  [[nodiscard]] TaskEntry* FindTask(const TaskRef& task);
  [[nodiscard]] const Step* FindStep(const StepRef& step) const;

  /// Jobs that are not final, in the order in which they were learnt.
  [[nodiscard]] const std::vector<JobEntry*>& Active() const {
    return this->active;
  }
  [[nodiscard]] const std::unordered_map<JobId, std::unique_ptr<JobEntry>>&
  All() const {
    return this->jobs;
  }
  /// Takes a job off the active ones until it is resumed.
  void Deactivate(JobEntry* entry);
  void Reactivate(JobEntry* entry);
  /// Takes a job off the active ones after its state was set from a record.
  void SetState(JobEntry* entry, JobState state);
  /// Makes the steps of an occurrence, if it has none.
  static OccurrenceEntry* Open(JobEntry* entry, std::int32_t number);

 private:
  StepEntry* FindStepEntry(const StepRef& step);
  EndEffect EndDone(JobEntry* entry, const RunRef& run);
  EndEffect EndFailed(JobEntry* entry, const RunRef& run);
  void CloseFinished(JobEntry* entry);

  std::unordered_map<JobId, std::unique_ptr<JobEntry>> jobs;
  std::vector<JobEntry*> active;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_TABLE_H_
