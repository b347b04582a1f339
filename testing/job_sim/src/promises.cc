#include "job_sim/promises.h"

#include <algorithm>
#include <utility>

#include "mustardproxy/jobs/key_digest.h"
#include "mustardproxy/jobs/team.h"

namespace job_sim {
namespace {

/// After a cancellation is acknowledged nothing starts later than this.
constexpr Duration kCancelBound = std::chrono::seconds(3);
/// A change of the desired state has to be in force after this.
constexpr Duration kApplyBound = std::chrono::seconds(3);
/// An acknowledged job has to be known to all processes after this.
constexpr Duration kVisibleBound = std::chrono::seconds(3);
/// A state that was replaced may be in force for this long.
constexpr Duration kLongestInForce = std::chrono::seconds(9);
/// What a team may have running above its cap, beside one task.
constexpr double kCapOverage = 1.1;
/// A task under which so many workers have crashed may be given up.
constexpr std::int32_t kCrashesToGiveUp = 2;
/// Once so many workers have crashed under a task …
constexpr std::int32_t kMostCrashes = 3;
/// … it may be started so often more.
constexpr std::int32_t kStartsAfterCrashes = 2;

std::string Describe(const jobs::RunRef& run) {
  return jobs::Text(run.task) + " run " + std::to_string(run.run);
}

}  // namespace

SimJob* Promises::Add(jobs::Job job) {
  const jobs::JobId id = job.id;
  SimJob& entry = this->jobs[id];
  entry.job = std::move(job);
  return &entry;
}

SimJob* Promises::Find(const jobs::JobId& id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

const jobs::Step* Promises::StepOf(const jobs::StepRef& ref) const {
  const auto found = this->jobs.find(ref.job);
  if (found == this->jobs.end()) return nullptr;
  return &found->second.job.spec.steps.at(static_cast<std::size_t>(ref.step));
}

Duration Promises::LengthOf(const jobs::StepRef& ref) const {
  const auto found = this->jobs.find(ref.job);
  const auto declared =
      static_cast<double>(this->StepOf(ref)->estimate.count());
  return Duration(
      static_cast<std::int64_t>(declared * found->second.length_factor));
}

void Promises::Break(const std::string& promise, const std::string& detail) {
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->time->Now().time_since_epoch());
  this->broken.push_back(promise + ": " + detail + " at " +
                         std::to_string(at.count()) + " ms");
}

void Promises::CheckOrder(const jobs::RunRef& run) {
  const jobs::StepRef& ref = run.task.step;
  for (const std::int32_t earlier : this->StepOf(ref)->after) {
    const jobs::StepRef before{ref.job, ref.occurrence, earlier};
    for (std::int32_t i = 0; i < this->StepOf(before)->tasks; ++i) {
      if (this->done.contains({before, i})) continue;
      this->Break("started before an earlier step was done", Describe(run));
      return;
    }
  }
}

void Promises::OnEvacuation(const mustardproxy::DataCenterId& data_center,
                            bool begins) {
  if (begins) {
    this->evacuated.emplace(data_center, this->time->Now());
  } else {
    this->evacuated.erase(data_center);
  }
}

void Promises::CheckEvacuation(const mustardproxy::DataCenterId& data_center,
                               const jobs::RunRef& run, bool late) {
  const auto since = this->evacuated.find(data_center);
  if (since == this->evacuated.end() || late || !this->in_touch()) return;
  if (this->time->Now() <= since->second + this->evacuation_bound) return;
  this->Break("started in an evacuated data centre", Describe(run));
}

void Promises::OnTeams(std::vector<jobs::Team> teams) {
  this->team_history.push_back({this->time->Now(), std::move(teams)});
}

bool Promises::WasInForce(const jobs::KeyDigest& key, Instant moment) const {
  for (std::size_t i = 0; i < this->team_history.size(); ++i) {
    const bool replaced = i + 1 < this->team_history.size() &&
                          this->team_history[i + 1].since < moment;
    if (replaced) continue;
    for (const jobs::Team& team : this->team_history[i].teams) {
      if (std::find(team.keys.begin(), team.keys.end(), key) !=
          team.keys.end()) {
        return true;
      }
    }
  }
  return false;
}

void Promises::OnServed(const std::string& key, Instant sent, bool in_touch) {
  if (this->team_history.empty()) return;
  const jobs::KeyDigest digest = jobs::KeyDigest::Of(key);
  if (!this->WasInForce(digest, Instant())) {
    this->Break("served a key that was never in force", digest.Fingerprint());
  } else if (in_touch && !this->WasInForce(digest, sent - kApplyBound)) {
    this->Break("served a key that is no longer in force",
                digest.Fingerprint());
  }
}

void Promises::CheckCap(const jobs::RunRef& run) {
  const jobs::JobAccess& access = this->Find(run.task.step.job)->job.access;
  if (access.team.Empty()) return;
  std::int64_t used = 0;
  for (const auto& [task, runs] : this->running) {
    if (this->Find(task.step.job)->job.access.team != access.team) continue;
    used += this->StepOf(task.step)->each.cpu_milli * std::ssize(runs);
  }
  std::int64_t most = 0;
  for (std::size_t i = 0; i < this->team_history.size(); ++i) {
    const bool over =
        i + 1 < this->team_history.size() &&
        this->team_history[i + 1].since + kLongestInForce < this->time->Now();
    if (over) continue;
    for (const jobs::Team& team : this->team_history[i].teams) {
      if (team.id != access.team) continue;
      if (team.cap.cpu_milli == 0) return;
      most = std::max(most, team.cap.cpu_milli);
    }
  }
  // A team that is gone keeps the cap with which its jobs were accepted.
  if (most == 0) return;
  const std::int64_t bound =
      static_cast<std::int64_t>(kCapOverage * static_cast<double>(most)) +
      this->StepOf(run.task.step)->each.cpu_milli;
  if (used <= bound) return;
  this->Break("above the cap of " + access.team.Text(),
              Describe(run) + " brings it to " + std::to_string(used) + " of " +
                  std::to_string(most));
}

void Promises::OnStart(const std::string& worker, const jobs::RunRef& run,
                       bool late) {
  this->log->Write("sim", "run-begins",
                   {{"task", jobs::Text(run.task)},
                    {"run", run.run},
                    {"worker", worker},
                    {"late", late ? 1 : 0}});
  ++this->runs;
  SimJob* job = this->Find(run.task.step.job);
  if (job == nullptr) {
    this->Break("started what nobody handed in", Describe(run));
    return;
  }
  if (!job->first_start) job->first_start = this->time->Now();
  std::set<jobs::RunNumber>& now = this->running[run.task];
  if (!now.empty()) this->Break("two runs at once", Describe(run));
  now.insert(run.run);
  if (this->noted_done.contains(run.task)) {
    this->Break("started after a noted end", Describe(run));
  }
  const auto failed = this->noted_failed.find(run.task);
  const bool used_up =
      failed != this->noted_failed.end() &&
      std::ssize(failed->second) >= job->job.queue.max_attempts;
  if (used_up) this->Break("started beyond the attempts", Describe(run));
  const bool too_late = job->cancelled && !late &&
                        this->time->Now() > job->cancelled_at + kCancelBound;
  if (too_late) this->Break("started after a cancellation", Describe(run));
  this->CheckOrder(run);
  this->CheckCap(run);
  if (!late) this->CheckCrashBudget(run);
}

bool Promises::Crashes(const jobs::TaskRef& task) const {
  const auto found = this->jobs.find(task.step.job);
  if (found == this->jobs.end() || !found->second.crashing) return false;
  return found->second.crashing->index.value_or(task.index) == task.index;
}

void Promises::CheckCrashBudget(const jobs::RunRef& run) {
  const auto found = this->crashes.find(run.task);
  if (found == this->crashes.end() || found->second < kMostCrashes) return;
  // Long-running tasks are restarted without a limit.
  if (this->StepOf(run.task.step)->long_running) return;
  if (++this->starts_after_crashes[run.task] <= kStartsAfterCrashes) return;
  this->Break("started on and on though workers crash under it", Describe(run));
}

void Promises::OnTaskCrash(const std::string& worker, const jobs::RunRef& run) {
  this->log->Write(
      "sim", "task-crashes-worker",
      {{"task", jobs::Text(run.task)}, {"run", run.run}, {"worker", worker}});
  ++this->crashes[run.task];
  ++this->task_crashes;
}

bool Promises::HasUsedUpAttempts(const SimJob& job) const {
  std::map<jobs::StepRef, std::set<jobs::RunNumber>> gang_runs;
  for (const auto& [task, runs] : this->failed) {
    if (task.step.job != job.job.id) continue;
    if (std::ssize(runs) >= job.job.queue.max_attempts) return true;
    if (this->StepOf(task.step)->gang) {
      gang_runs[task.step].insert(runs.begin(), runs.end());
    }
  }
  return std::any_of(gang_runs.begin(), gang_runs.end(), [&](const auto& one) {
    return std::ssize(one.second) >= job.job.queue.max_attempts;
  });
}

void Promises::OnShownFailed(const jobs::JobId& id) {
  const SimJob* job = this->Find(id);
  if (job == nullptr) {
    this->Break("shown though nobody handed it in", id.Text());
    return;
  }
  const bool cause =
      job->hopeless || job->crashing || this->HasUsedUpAttempts(*job);
  if (cause) return;
  if (this->MayBeGivenUp(*job)) {
    this->given_up_wrongly.insert(id);
  } else {
    this->Break("shown as failed without cause", id.Text());
  }
}

bool Promises::MayBeGivenUp(const SimJob& job) const {
  return std::any_of(this->crashed_under.begin(), this->crashed_under.end(),
                     [&](const auto& one) {
                       return one.first.step.job == job.job.id &&
                              one.second >= kCrashesToGiveUp;
                     });
}

void Promises::OnWorkerCrash(const jobs::RunRef& run) {
  ++this->crashed_under[run.task];
}

void Promises::OnEnd(const std::string& worker, const jobs::RunRef& run,
                     jobs::RunEnd end) {
  this->log->Write("sim", "run-ends",
                   {{"task", jobs::Text(run.task)},
                    {"run", run.run},
                    {"worker", worker},
                    {"end", Name(end)}});
  this->running[run.task].erase(run.run);
  if (end == jobs::RunEnd::kFailed) this->failed[run.task].insert(run.run);
  if (end != jobs::RunEnd::kDone) return;
  SimJob* job = this->Find(run.task.step.job);
  const bool first = this->done.insert(run.task).second;
  if (!first || job == nullptr) return;
  std::int64_t tasks = 0;
  for (const jobs::Step& step : job->job.spec.steps) tasks += step.tasks;
  if (++job->tasks_done == tasks) job->done_at = this->time->Now();
}

void Promises::OnNoted(const jobs::RunRef& run, jobs::RunEnd end) {
  this->log->Write(
      "sim", "end-noted",
      {{"task", jobs::Text(run.task)}, {"run", run.run}, {"end", Name(end)}});
  if (end == jobs::RunEnd::kDone) {
    this->noted_done.insert(run.task);
    // A newer run that goes on was started after that end.
    if (!this->running[run.task].empty()) {
      this->Break("runs again though its end is noted", Describe(run));
    }
  }
  if (end == jobs::RunEnd::kFailed) {
    this->noted_failed[run.task].insert(run.run);
  }
}

void Promises::OnOvercommit(const std::string& worker,
                            const jobs::RunRef& run) {
  this->Break("more than the worker has", worker + ", " + Describe(run));
}

void Promises::OnShownCompleted(const jobs::JobId& id) {
  const SimJob* job = this->Find(id);
  if (job == nullptr) {
    this->Break("shown though nobody handed it in", id.Text());
    return;
  }
  const auto& steps = job->job.spec.steps;
  for (std::size_t s = 0; s < steps.size(); ++s) {
    for (std::int32_t i = 0; i < steps[s].tasks; ++i) {
      const jobs::TaskRef task{{id, 0, static_cast<std::int32_t>(s)}, i};
      if (this->done.contains(task)) continue;
      this->Break("shown as completed too early", jobs::Text(task));
      return;
    }
  }
}

void Promises::OnShownUnknown(const jobs::JobId& id, Instant asked,
                              bool in_touch) {
  const SimJob* job = this->Find(id);
  if (job == nullptr || !job->accepted_at) return;
  if (job->cancelled || !in_touch) return;
  if (asked <= *job->accepted_at + kVisibleBound) return;
  this->Break("told that an accepted job does not exist", id.Text());
}

void Promises::OnUnfinished(const jobs::JobId& id, jobs::JobState state) {
  this->Break("not ended", id.Text() + " is " + std::string(Name(state)));
}

}  // namespace job_sim
