#include "job_table.h"

#include <algorithm>
#include <utility>

#include "options.h"

namespace mustardproxy::jobs {
namespace {

/// Losses of workers that are kept of a long-running task.
constexpr std::size_t kMaxKeptLosses = 8;

bool AllDone(const OccurrenceEntry& occurrence) {
  return std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                     [](const StepEntry& step) { return step.Done(); });
}

void CloseRun(StepEntry* step, TaskEntry* task) {
  task->open = false;
  task->worker = {};
  --step->open;
}

/// @return the longest estimated time from the start of `step` to the end of
///   the job
Duration CriticalPathFrom(const JobSpec& spec, std::size_t step) {
  std::vector<Duration> longest(spec.steps.size(), Duration::zero());
  Duration most{0};
  for (std::size_t i = step; i < spec.steps.size(); ++i) {
    Duration before{0};
    bool follows = i == step;
    for (const std::int32_t earlier : spec.steps[i].after) {
      const auto index = static_cast<std::size_t>(earlier);
      if (index < step || longest[index] == Duration::zero()) continue;
      before = std::max(before, longest[index]);
      follows = true;
    }
    if (!follows) continue;
    longest[i] = before + spec.steps[i].estimate;
    most = std::max(most, longest[i]);
  }
  return most;
}

void ComputeCriticalPaths(JobEntry* entry) {
  const JobSpec& spec = entry->job.spec;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    entry->remaining_path.push_back(CriticalPathFrom(spec, i));
    entry->critical_path =
        std::max(entry->critical_path, entry->remaining_path.back());
  }
}

void MarkDone(StepEntry* step, TaskEntry* task) {
  if (task->done) return;
  task->done = true;
  task->checkpoint.clear();
  ++step->done;
}

}  // namespace

JobEntry* JobTable::Add(Job job, Instant now) {
  auto& slot = this->jobs[job.id];
  if (slot) return slot.get();
  slot = std::make_unique<JobEntry>();
  slot->job = std::move(job);
  slot->learned_at = now;
  ComputeCriticalPaths(slot.get());
  this->active.push_back(slot.get());
  if (slot->job.spec.schedule.occurrences == 0) {
    OpenOccurrence(slot.get(), 0);
    slot->next_to_open = 1;
  }
  return slot.get();
}

JobEntry* JobTable::Find(const JobId& id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : found->second.get();
}

const JobEntry* JobTable::Find(const JobId& id) const {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : found->second.get();
}

void JobTable::Remove(const JobId& id) {
  JobEntry* entry = this->Find(id);
  if (entry == nullptr) return;
  std::erase(this->active, entry);
  this->jobs.erase(id);
}

OccurrenceEntry* JobTable::OpenOccurrence(JobEntry* entry,
                                          std::int32_t number) {
  OccurrenceEntry& occurrence = entry->occurrences[number];
  if (!occurrence.steps.empty()) return &occurrence;
  for (const Step& step : entry->job.spec.steps) {
    StepEntry& made = occurrence.steps.emplace_back();
    made.tasks.resize(static_cast<std::size_t>(step.tasks));
  }
  return &occurrence;
}

std::optional<std::int64_t> JobTable::NextDueMs(const JobEntry& entry) {
  const JobSchedule& schedule = entry.job.spec.schedule;
  if (entry.next_to_open >= schedule.occurrences) return std::nullopt;
  return schedule.first_unix_ms + entry.next_to_open * schedule.interval_ms;
}

bool JobTable::OpenDueOccurrences(JobEntry* entry, std::int64_t unix_ms) {
  bool opened = false;
  for (auto due = NextDueMs(*entry); due && *due <= unix_ms;
       due = NextDueMs(*entry)) {
    OpenOccurrence(entry, entry->next_to_open);
    ++entry->next_to_open;
    opened = true;
  }
  return opened;
}

bool JobTable::Ready(const JobEntry& entry, const OccurrenceEntry& occurrence,
                     std::int32_t step) {
  const Step& spec = entry.job.spec.steps[static_cast<std::size_t>(step)];
  return std::all_of(
      spec.after.begin(), spec.after.end(), [&](std::int32_t earlier) {
        return occurrence.steps[static_cast<std::size_t>(earlier)].Done();
      });
}

std::vector<std::int32_t> JobTable::Startable(const JobEntry& entry,
                                              const StepEntry& step,
                                              std::int32_t number,
                                              Instant now) {
  std::vector<std::int32_t> indices;
  const Step& spec = entry.job.spec.steps[static_cast<std::size_t>(number)];
  // A new run of a gang must not overlap with members of the previous one.
  if (spec.gang && step.open > 0) return indices;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskEntry& task = step.tasks[i];
    if (task.done || task.open) continue;
    if (task.not_before > now) {
      if (spec.gang) return {};
      continue;
    }
    indices.push_back(static_cast<std::int32_t>(i));
  }
  return indices;
}

std::vector<RunRef> JobTable::Begin(
    JobEntry* entry, const StepRef& step, std::span<const std::int32_t> tasks,
    std::span<const WorkerIncarnation> workers) {
  StepEntry* steps = this->FindStepEntry(step);
  const bool gang =
      entry->job.spec.steps[static_cast<std::size_t>(step.step)].gang;
  RunNumber shared = 0;
  for (const TaskEntry& task : steps->tasks) {
    shared = std::max(shared, task.last_run);
  }
  ++shared;
  std::vector<RunRef> runs;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    TaskEntry& task = steps->tasks[static_cast<std::size_t>(tasks[i])];
    task.last_run = gang ? shared : task.last_run + 1;
    task.open = true;
    task.worker = workers[i];
    ++steps->open;
    runs.push_back({TaskRef{step, tasks[i]}, task.last_run});
  }
  if (entry->state == JobState::kQueued) entry->state = JobState::kRunning;
  return runs;
}

void JobTable::Withdraw(const RunRef& run) {
  TaskEntry* task = this->FindOpen(run);
  if (task == nullptr) return;
  CloseRun(this->FindStepEntry(run.task.step), task);
}

EndEffect JobTable::End(const RunRef& run, RunEnd end,
                        std::string_view checkpoint, Instant now) {
  JobEntry* entry = this->Find(run.task.step.job);
  TaskEntry* task = this->FindOpen(run);
  if (entry == nullptr) return {};
  const Step* spec = this->FindStep(run.task.step);
  // A long-running task is restarted however it ends.
  const bool counts = spec != nullptr && !spec->long_running;
  // A success that is reported after the run was considered lost still counts,
  // unless a newer run has begun.
  if (task == nullptr) {
    TaskEntry* known = this->FindTask(run.task);
    const bool late = counts && known != nullptr && !known->done &&
                      !known->open && known->last_run == run.run &&
                      end == RunEnd::kDone;
    if (!late || IsFinal(entry->state)) return {};
    EndEffect effect = this->EndDone(entry, run);
    effect.matched = false;
    return effect;
  }
  StepEntry* step = this->FindStepEntry(run.task.step);
  if (end == RunEnd::kFailed) task->last_failed_worker = task->worker.id;
  CloseRun(step, task);
  if (!checkpoint.empty()) this->NoteCheckpoint(run, checkpoint);
  EndEffect effect;
  effect.matched = true;
  if (IsFinal(entry->state)) return effect;
  if (end == RunEnd::kDone && counts) {
    effect = this->EndDone(entry, run);
  } else if (end == RunEnd::kFailed && counts) {
    effect = this->EndFailed(entry, run);
  }
  effect.matched = true;
  if (end != RunEnd::kDone) {
    effect.gang_ended = spec->gang;
    task->not_before = now + kTaskRetryDelay;
  }
  return effect;
}

void JobTable::NoteLoss(const RunRef& run, const WorkerLoss& loss) {
  JobEntry* entry = this->Find(run.task.step.job);
  if (entry == nullptr || this->FindOpen(run) == nullptr) return;
  const bool long_running = this->FindStep(run.task.step)->long_running;
  if (long_running && loss.survived >= kMaxProbationPeriod) {
    entry->crashes.erase(run.task);
    return;
  }
  CrashHistory& history = entry->crashes[run.task];
  history.Note(loss);
  // The number of starts is not limited.
  if (long_running) history.KeepNewest(kMaxKeptLosses);
}

std::vector<TaskRef> JobTable::ConfirmLoss(const WorkerIncarnation& worker) {
  std::vector<TaskRef> tasks;
  for (JobEntry* entry : this->active) {
    for (auto& [task, history] : entry->crashes) {
      if (history.Confirm(worker)) tasks.push_back(task);
    }
  }
  return tasks;
}

void JobTable::NoteAlive(const WorkerIncarnation& worker) {
  for (JobEntry* entry : this->active) {
    for (auto& [task, history] : entry->crashes) history.NoteAlive(worker);
  }
}

std::size_t JobTable::Discount(const Outage& outage) {
  std::size_t discounted = 0;
  if (outage.workers.empty()) return discounted;
  for (JobEntry* entry : this->active) {
    if (entry->crashes.empty() || !outage.RulesOutAsCause(entry->job.id))
      continue;
    for (auto& [task, history] : entry->crashes) {
      if (history.Discount(outage.workers)) ++discounted;
    }
  }
  return discounted;
}

void JobTable::Relocate(const RunRef& run, const WorkerIncarnation& worker) {
  TaskEntry* task = this->FindOpen(run);
  if (task != nullptr) task->worker = worker;
}

const CrashHistory* JobTable::FindCrashes(const TaskRef& task) const {
  const JobEntry* entry = this->Find(task.step.job);
  if (entry == nullptr) return nullptr;
  const auto found = entry->crashes.find(task);
  return found == entry->crashes.end() ? nullptr : &found->second;
}

EndEffect JobTable::EndDone(JobEntry* entry, const RunRef& run) {
  StepEntry* step = this->FindStepEntry(run.task.step);
  const Step* spec = this->FindStep(run.task.step);
  const std::int32_t before = step->done;
  if (spec->gang) {
    // Gang members complete together, so the success of one stands for all.
    for (TaskEntry& member : step->tasks) MarkDone(step, &member);
  } else {
    MarkDone(step, this->FindTask(run.task));
  }
  const bool changed = step->done != before;
  if (changed) this->CloseFinished(entry);
  return {.durable = changed, .job_final = IsFinal(entry->state)};
}

EndEffect JobTable::EndFailed(JobEntry* entry, const RunRef& run) {
  StepEntry* step = this->FindStepEntry(run.task.step);
  TaskEntry* task = this->FindTask(run.task);
  const bool gang = this->FindStep(run.task.step)->gang;
  if (run.run > task->counted_run) {
    task->counted_run = run.run;
    ++task->failed_runs;
  }
  if (gang && run.run > step->counted_gang_run) {
    step->counted_gang_run = run.run;
    ++step->failed_gang_runs;
  }
  const std::int32_t failed = gang ? step->failed_gang_runs : task->failed_runs;
  if (failed >= entry->job.queue.max_attempts) {
    const std::string which =
        gang ? "gang " + Text(run.task.step) : "task " + Text(run.task);
    this->Fail(entry, which + " failed " + std::to_string(failed) +
                          (failed == 1 ? " time" : " times"));
  }
  return {.durable = true, .job_final = IsFinal(entry->state)};
}

void JobTable::CloseFinished(JobEntry* entry) {
  while (!entry->occurrences.empty()) {
    const auto first = entry->occurrences.begin();
    if (first->first != entry->first_open || !AllDone(first->second)) break;
    std::erase_if(entry->crashes, [&](const auto& one) {
      return one.first.step.occurrence == first->first;
    });
    // Gang members completed by the end of another member still have to report
    // their own end.
    entry->occurrences.erase(first);
    ++entry->first_open;
  }
  const std::int32_t all = std::max(1, entry->job.spec.schedule.occurrences);
  if (entry->first_open >= all) {
    this->SetState(entry, JobState::kCompleted);
  }
}

void JobTable::NoteBegun(const JobId& id) {
  JobEntry* entry = this->Find(id);
  if (entry != nullptr) entry->begun = true;
}

void JobTable::NoteCheckpoint(const RunRef& run, std::string_view checkpoint) {
  StepEntry* step = this->FindStepEntry(run.task.step);
  if (step == nullptr || checkpoint.empty()) return;
  TaskEntry& task = step->tasks[static_cast<std::size_t>(run.task.index)];
  if (task.done || task.last_run != run.run) return;
  if (!this->FindStep(run.task.step)->gang) {
    task.checkpoint = checkpoint;
    return;
  }
  // The checkpoint of one member applies to the whole gang, and all members
  // must start with the same one.
  for (TaskEntry& member : step->tasks) member.checkpoint = checkpoint;
}

void JobTable::Fail(JobEntry* entry, std::string cause) {
  if (IsFinal(entry->state)) return;
  entry->failure = std::move(cause);
  this->SetState(entry, JobState::kFailed);
}

bool JobTable::Cancel(JobEntry* entry) {
  if (IsFinal(entry->state)) return false;
  this->SetState(entry, JobState::kCancelled);
  return true;
}

void JobTable::Deactivate(JobEntry* entry) { std::erase(this->active, entry); }

void JobTable::Reactivate(JobEntry* entry) {
  this->Deactivate(entry);
  if (!IsFinal(entry->state)) this->active.push_back(entry);
}

void JobTable::SetState(JobEntry* entry, JobState state) {
  entry->state = state;
  if (!IsFinal(state)) return;
  std::erase(this->active, entry);
}

TaskEntry* JobTable::FindTask(const TaskRef& ref) {
  StepEntry* step = this->FindStepEntry(ref.step);
  if (step == nullptr || ref.index < 0) return nullptr;
  const auto index = static_cast<std::size_t>(ref.index);
  return index < step->tasks.size() ? &step->tasks[index] : nullptr;
}

TaskEntry* JobTable::FindOpen(const RunRef& run) {
  TaskEntry* task = this->FindTask(run.task);
  const bool open = task != nullptr && task->open && task->last_run == run.run;
  return open ? task : nullptr;
}

const Step* JobTable::FindStep(const StepRef& ref) const {
  const JobEntry* entry = this->Find(ref.job);
  if (entry == nullptr || ref.step < 0) return nullptr;
  const auto index = static_cast<std::size_t>(ref.step);
  const std::vector<Step>& steps = entry->job.spec.steps;
  return index < steps.size() ? &steps[index] : nullptr;
}

StepEntry* JobTable::FindStepEntry(const StepRef& ref) {
  JobEntry* entry = this->Find(ref.job);
  if (entry == nullptr || ref.step < 0) return nullptr;
  const auto found = entry->occurrences.find(ref.occurrence);
  if (found == entry->occurrences.end()) return nullptr;
  const auto index = static_cast<std::size_t>(ref.step);
  return index < found->second.steps.size() ? &found->second.steps[index]
                                            : nullptr;
}

}  // namespace mustardproxy::jobs
