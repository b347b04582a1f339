#include "preemption_pass.h"

#include <algorithm>

#include "permission_broker.h"
#include "placement.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// Minimum time between two searches for runs to stop for the same step.
constexpr Duration kPreemptionCheckInterval = milliseconds(50);

/// Maximum numbers of units and of such searches in one pass, in order of rank.
/// Each looks at every worker of the service.
constexpr std::size_t kMaxUnits = 64;
constexpr std::size_t kMaxSearches = 8;

/// @return true if only its worker keeps the run from ending
bool IsBeingStopped(const SessionRun& run, Instant now) {
  return run.stopping && !run.blocked &&
         now < run.stopping_since + kMaxStopTime;
}

/// @return true if the run is certain to be running and may be stopped
bool IsRunning(const SessionRun& run) {
  return run.phase == RunPhase::kStarted && !run.stopping && !run.blocked &&
         !run.quarantined && !run.order_in_flight;
}

/// @return the end of a run by its progress so far, if that is known
std::optional<Instant> EndByProgress(const RunRef& run,
                                     const SessionRun& record) {
  // Progress counts from the start of the task, so that it shows the speed only
  // of its first run.
  const bool known = record.percent > 0 && run.run == 1 && record.ordered_at;
  if (!known) return std::nullopt;
  const Duration elapsed = record.last_progress_at - *record.ordered_at;
  const std::int64_t left = 100 - std::min(100, record.percent);
  return record.last_progress_at + elapsed * left / record.percent;
}

}  // namespace

PreemptionPass::PreemptionPass(OwnerContext* context,
                               const PassCapacity& capacities,
                               const ServiceId& service, Instant now,
                               FindDeadlines find_deadlines)
    : context(context),
      now(now),
      find_deadlines(std::move(find_deadlines)),
      units_left(kMaxUnits),
      searches_left(kMaxSearches) {
  this->AddWorkers(capacities.OfService(service),
                   capacities.Capacity(service).cpu_milli);
}

bool PreemptionPass::MayPreempt(const SchedulingUnit& unit) {
  // A unit that ranks after steps of lower priority would not get the capacity.
  return unit.queue->priority == 0 && !unit.quarantined &&
         !unit.step->long_running && !unit.entry->exceeds_share &&
         unit.deadline_status == DeadlineStatus::kOnTime;
}

bool PreemptionPass::Handle(const SchedulingUnit& unit) {
  StepEntry& progress = *unit.progress;
  const bool first = progress.short_since == Instant::max();
  if (first) progress.short_since = this->now;
  if (this->units_left == 0) return first;
  --this->units_left;
  const std::vector<UrgentPlace> places = this->Places(unit);
  UrgentTasks urgent;
  urgent.demand = TaskDemand(*unit.step);
  urgent.tasks = std::ssize(unit.tasks);
  urgent.gang = unit.step->gang;
  urgent.latest_start = unit.deadlines.on_time;
  urgent.places = places;
  const bool search = this->now >= progress.next_preemption_check &&
                      this->searches_left > 0 && this->decision->MayStopMore();
  urgent.short_since = search ? progress.short_since : this->now;
  const bool may_preempt = urgent.MayPreempt(this->now);
  if (may_preempt) {
    --this->searches_left;
    progress.next_preemption_check = this->now + kPreemptionCheckInterval;
    this->AddVictims();
  }
  const PreemptionPlan plan = this->decision->Plan(urgent);
  for (const std::size_t victim : plan.victims) {
    for (const auto& [session, run] : this->runs[victim]) {
      const StepFacts& step = this->FactsOf(run.task.step);
      const SessionRun& record = *session->FindRun(run);
      const Duration lost = this->MakeVictim(step, run, record).Lost(this->now);
      this->context->runs->Preempt(session, run, unit.ref, lost);
      const auto found = this->index_of.find(session->Number());
      if (found != this->index_of.end()) this->preempting[found->second] = true;
    }
  }
  this->Hold(unit, plan);
  return first || may_preempt;
}

void PreemptionPass::AddWorkers(std::span<WorkerCapacity* const> all,
                                std::int64_t total_cpu_milli) {
  std::int64_t preempted_cpu_milli = 0;
  std::vector<PreemptionWorker> found;
  for (WorkerCapacity* capacity : all) {
    PreemptionWorker worker{.free = capacity->free, .freeing = {}};
    bool preempts = false;
    for (const auto& [run, record] : capacity->session->runs) {
      const bool stopping = IsBeingStopped(record, this->now);
      // Failure: estimates are far off, and urgent tasks wait for ends that do
      // not come until they are late.
      const std::optional<Instant> end = EndByProgress(run, record);
      const bool ends = !record.stopping && end && *end > this->now &&
                        *end <= this->now + kExpectedStopTime;
      if (stopping || ends) worker.freeing += record.resources;
      if (!stopping || !record.preempted) continue;
      preempts = true;
      preempted_cpu_milli += record.resources.cpu_milli;
    }
    this->index_of.emplace(capacity->session->Number(), this->workers.size());
    this->workers.push_back(capacity);
    this->preempting.push_back(preempts);
    found.push_back(worker);
  }
  this->decision.emplace(this->now, total_cpu_milli, preempted_cpu_milli);
  for (const PreemptionWorker& worker : found) {
    (void)this->decision->AddWorker(worker);
  }
}

void PreemptionPass::AddVictims() {
  if (std::exchange(this->has_victims, true)) return;
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    const WorkerIncarnation& worker = this->workers[i]->session->Incarnation();
    WorkerSession* session = this->context->workers.Find(worker);
    if (session != nullptr) this->AddVictimsAt(i, session);
  }
  this->AddGangs();
}

void PreemptionPass::AddVictimsAt(std::size_t worker, WorkerSession* session) {
  for (const auto& [run, record] : session->runs) {
    if (!IsRunning(record)) continue;
    const TaskEntry* task = this->context->jobs.FindOpen(run);
    if (task == nullptr) continue;
    const StepFacts& step = this->FactsOf(run.task.step);
    if (IsFinal(step.entry->state)) continue;
    PreemptionVictim victim = this->MakeVictim(step, run, record);
    victim.members.push_back({worker, record.resources});
    if (!step.step->gang) {
      (void)this->decision->AddVictim(std::move(victim));
      this->runs.push_back({{session, run}});
      continue;
    }
    auto [found, added] = this->gangs.try_emplace({run.task.step, run.run});
    auto& [gang, members] = found->second;
    members.emplace_back(session, run);
    if (added) {
      gang = std::move(victim);
    } else {
      gang.members.push_back({worker, record.resources});
    }
  }
}

void PreemptionPass::AddGangs() {
  for (auto& [key, gang] : this->gangs) {
    auto& [victim, members] = gang;
    const Step& step = *this->FactsOf(key.first).step;
    // A member whose state is unknown could not be stopped with the others.
    if (std::ssize(members) != step.tasks) continue;
    (void)this->decision->AddVictim(std::move(victim));
    this->runs.push_back(std::move(members));
  }
}

const PreemptionPass::StepFacts& PreemptionPass::FactsOf(const StepRef& step) {
  const auto [found, added] = this->facts.try_emplace(step);
  if (added) {
    StepFacts& facts = found->second;
    facts.entry = this->context->jobs.Find(step.job);
    facts.step = this->context->jobs.FindStep(step);
    facts.deadlines = this->find_deadlines(facts.entry, step);
  }
  return found->second;
}

PreemptionVictim PreemptionPass::MakeVictim(const StepFacts& facts,
                                            const RunRef& run,
                                            const SessionRun& record) const {
  const Step& step = *facts.step;
  const TaskEntry* task = this->context->jobs.FindOpen(run);
  PreemptionVictim victim;
  victim.priority = this->context->QueueOf(*facts.entry).priority;
  victim.gang = step.gang;
  victim.long_running = step.long_running;
  victim.checkpointing = step.checkpointing;
  victim.started_at = record.started_at;
  if (!record.ordered_at) {
    // A previous owner started the run, and it is not known when.
    victim.started_at = std::min(record.started_at, this->now - step.estimate);
  }
  victim.expected_end =
      EndByProgress(run, record).value_or(record.expected_end);
  victim.deadline_status = facts.deadlines.At(victim.started_at);
  if (task != nullptr) {
    victim.preemptions = task->preemptions;
    victim.preempted_at = task->preempted_at;
  }
  return victim;
}

std::vector<UrgentPlace> PreemptionPass::Places(const SchedulingUnit& unit) {
  std::vector<UrgentPlace> places;
  const StepAdvice* advice = this->context->advice->Find(unit.ref);
  const Step& step = *unit.step;
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    const WorkerSession& session = *this->workers[i]->session;
    if (!session.HasLabel(step.required_label)) continue;
    const bool permitted =
        !unit.queue->advice ||
        (advice != nullptr && advice->TicketFor(session.Number()) != nullptr);
    if (!permitted) continue;
    UrgentPlace place{.worker = i};
    if (step.max_per_worker > 0) {
      const auto siblings = std::count_if(
          unit.progress->tasks.begin(), unit.progress->tasks.end(),
          [&](const TaskEntry& task) {
            return task.open &&
                   MayBeSameIncarnation(task.worker, session.Incarnation());
          });
      place.max_tasks =
          std::max<std::int64_t>(0, step.max_per_worker - siblings);
    }
    places.push_back(place);
  }
  return places;
}

// Failure: part of a task's room is free and the rest is being freed. A step of
// lower rank takes the free part, and the run was stopped in vain.
void PreemptionPass::Hold(const SchedulingUnit& unit,
                          const PreemptionPlan& plan) {
  const Resources demand = TaskDemand(*unit.step);
  for (const std::size_t worker : plan.workers) {
    if (!this->preempting[worker]) continue;
    Resources& free = this->workers[worker]->free;
    free -= ComponentMin(ClampToZero(free), demand);
  }
}

}  // namespace mustardproxy::jobs
