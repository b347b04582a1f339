#include "dispatcher.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "advice_selection.h"
#include "ask_candidates.h"
#include "evacuations.h"
#include "gang_hold.h"
#include "gang_reservations.h"
#include "load_forecast.h"
#include "options.h"
#include "permission_broker.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// Multiple of its objective after which a job has no value any more.
constexpr std::int64_t kExpiryFactor = 3;
/// Maximum number of gangs that hold capacity at the same time. With more, a
/// burst of gangs would keep the whole cell idle for each other.
constexpr std::int32_t kMaxHolds = 2;
/// Time allowed for a gang to gather its capacity, as a multiple of the time
/// needed if nothing else starts. Steps of higher rank do start meanwhile.
constexpr std::int64_t kGatherTimeFactor = 2;
/// Run time after which a run of a step proves the step harmless, so that its
/// other tasks may start.
constexpr Duration kProvenStepRunTime = milliseconds(200);
/// How long a suspicious task waits for a worker on which all runs are proven.
constexpr Duration kQuietWorkerWait = milliseconds(2000);
/// A suspicious task that has waited this long precedes all others.
constexpr Duration kMaxTrialWait = milliseconds(1000);
/// Minimum time between two checks of whether a question about a step would
/// help.
constexpr Duration kAskInterval = milliseconds(50);
/// The same after a question about the step turned out to be pointless.
constexpr Duration kPointlessAskInterval = milliseconds(250);
/// After so many dropped questions in a row a question counts as no help. The
/// first ones are dropped while workers come and go.
constexpr std::int32_t kRepeatedDrops = 3;
/// Maximum number of such checks in one pass, in order of rank: the policy
/// service answers a few dozen questions in the time between two passes, and a
/// check looks at every worker.
constexpr std::size_t kMaxAskChecks = 32;
/// Maximum number of steps that ask for the first time in one pass.
constexpr std::size_t kMaxFirstAsks = 64;

/// How much earlier than its deadline demands a step with preempted tasks ranks
/// among steps of its class.
constexpr Duration kPreemptedAdvance = seconds(5);

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

/// Moves workers on which one of the tasks failed last to the end.
/// @return the number of candidates before them
std::size_t MoveFailedWorkersLast(const SchedulingUnit& unit,
                                  std::vector<Candidate>* candidates) {
  const auto failed_there = [&](const Candidate& candidate) {
    const WorkerId& worker = candidate.capacity->session->Incarnation().id;
    return std::any_of(
        unit.tasks.begin(), unit.tasks.end(), [&](std::int32_t index) {
          return unit.progress->tasks[static_cast<std::size_t>(index)]
                     .last_failed_worker == worker;
        });
  };
  const auto first_failed = std::stable_partition(
      candidates->begin(), candidates->end(),
      [&](const Candidate& candidate) { return !failed_there(candidate); });
  return static_cast<std::size_t>(first_failed - candidates->begin());
}

std::int32_t CountSiblings(const StepEntry& progress,
                           const WorkerIncarnation& worker) {
  return static_cast<std::int32_t>(std::count_if(
      progress.tasks.begin(), progress.tasks.end(), [&](const TaskEntry& task) {
        return task.open && MayBeSameIncarnation(task.worker, worker);
      }));
}

/// @return the share of the processors of a service that is free
double FreeShare(const PassCapacity& capacities, const ServiceId& service) {
  const std::int64_t free = capacities.Free(service).cpu_milli;
  const std::int64_t all = capacities.Capacity(service).cpu_milli;
  return all == 0 ? 0.0 : static_cast<double>(free) / static_cast<double>(all);
}

/// @return how many of the unit's tasks fit on the candidates now
std::int64_t CountPlaceableTasks(const SchedulingUnit& unit,
                                 const std::vector<Candidate>& candidates) {
  std::int64_t room = 0;
  for (const Candidate& one : candidates) {
    room += CountPlaceable(*unit.step, one, std::ssize(unit.tasks));
  }
  return room;
}

}  // namespace

Dispatcher::Dispatcher(OwnerContext* context)
    : context(context),
      waits(context->log, context->metrics),
      share_order(context),
      pass_capacity(context),
      ask_capacity(context) {}

void Dispatcher::SchedulePass() {
  if (std::exchange(this->pass_scheduled, true)) return;
  const Instant now = this->context->executor->Now();
  const Duration delay =
      std::max<Duration>(Duration::zero(), this->pacer.NextAt() - now);
  this->context->executor->After(delay,
                                 this->guard.Wrap([this] { this->Pass(); }));
}

void Dispatcher::Pass() {
  const ControlLoad::Scope scope(this->context->load, ControlWork::kPass);
  this->pass_scheduled = false;
  const Instant now = this->context->executor->Now();
  this->PlaceAll(now);
  this->pacer.Note(now, scope.Elapsed());
}

void Dispatcher::PlaceAll(Instant now) {
  this->UpdateEjected(now);
  this->pass_capacity.Begin();
  const PassCapacity& capacities = this->pass_capacity;
  std::vector<SchedulingUnit> units = this->CollectUnits(now);
  this->RemoveCapped(&units, now);
  this->AdvanceGangStartTimes(&units, capacities, now);
  std::stable_sort(units.begin(), units.end(),
                   [](const SchedulingUnit& a, const SchedulingUnit& b) {
                     return std::tie(a.deadline_status, a.beyond_share,
                                     a.queue->priority, a.start_by) <
                            std::tie(b.deadline_status, b.beyond_share,
                                     b.queue->priority, b.start_by);
                   });
  // Failure: later suspicious tasks that are not late yet take every worker
  // that may be quarantined, and one that has waited for long never starts.
  const auto usual = std::stable_partition(
      units.begin(), units.end(), [&](const SchedulingUnit& unit) {
        return unit.quarantined && now >= unit.waiting_since + kMaxTrialWait;
      });
  std::stable_sort(units.begin(), usual,
                   [](const SchedulingUnit& a, const SchedulingUnit& b) {
                     return a.waiting_since < b.waiting_since;
                   });
  std::map<ServiceId, PreemptionPass> preemption;
  std::int32_t holds = 0;
  this->held.clear();
  this->ask_checks_left = kMaxAskChecks;
  this->first_asks_left = kMaxFirstAsks;
  this->share_order.Begin(
      &units, static_cast<std::size_t>(usual - units.begin()), capacities);
  while (SchedulingUnit* next = this->share_order.Next()) {
    SchedulingUnit& unit = *next;
    if (!this->LimitToCap(&unit)) {
      this->ReportCapped(unit, now);
      continue;
    }
    this->PlaceUnit(&unit, capacities, now);
    this->MakeRoom(unit, capacities, now, &preemption);
    if (unit.tasks.empty()) continue;
    if (this->waits.Due(unit, now)) {
      this->waits.Write(unit, this->CollectWaitFacts(unit, capacities, now),
                        now);
    }
    if (unit.queue->advice) this->RequestAdviceIfUseful(unit, capacities, now);
    const bool holds_room =
        unit.step->gang && unit.deadline_status != DeadlineStatus::kExpired;
    if (holds_room && holds < kMaxHolds) {
      this->HoldForGang(unit, capacities, now);
      ++holds;
    }
  }
  this->share_order.End(now);
  LoadForecast* forecast = this->context->forecast;
  if (forecast != nullptr && forecast->Due(now)) {
    this->ForecastLoad(units, capacities, now);
  }
}

void Dispatcher::MakeRoom(const SchedulingUnit& unit,
                          const PassCapacity& capacities, Instant now,
                          std::map<ServiceId, PreemptionPass>* passes) {
  if (!this->context->overload.preemption) return;
  if (!PreemptionPass::MayPreempt(unit)) return;
  if (unit.tasks.empty()) {
    unit.progress->short_since = Instant::max();
    return;
  }
  const ServiceId& service = unit.queue->service;
  const auto [pass, added] =
      passes->try_emplace(service, this->context, capacities, service, now,
                          [this, now](JobEntry* entry, const StepRef& ref) {
                            return this->DeadlinesOf(entry, ref, now);
                          });
  if (!pass->second.Handle(unit)) return;
  this->context->executor->After(
      kShortageWait, this->guard.Wrap([this] { this->SchedulePass(); }));
}

void Dispatcher::ForecastLoad(const std::vector<SchedulingUnit>& units,
                              const PassCapacity& capacities, Instant now) {
  if (!this->context->desired) return;
  std::vector<ServiceUse> services;
  std::unordered_map<ServiceId, Resources> capacity_of;
  for (const Service& service : this->context->desired->services) {
    const Resources capacity = capacities.Capacity(service.id);
    Resources used = capacity;
    for (const WorkerCapacity* one : capacities.OfService(service.id)) {
      used -= one->free;
    }
    services.push_back({service.id, capacity, DominantShare(used, capacity)});
    capacity_of.emplace(service.id, capacity);
  }
  std::unordered_map<QueueName, double> ratio_of;
  std::vector<WaitingWork> waiting;
  waiting.reserve(units.size());
  for (const SchedulingUnit& unit : units) {
    if (unit.tasks.empty() || unit.step->long_running) continue;
    const QueueName& name = unit.queue->name;
    const auto [ratio, added] = ratio_of.try_emplace(name, 1.0);
    if (added) {
      constexpr Duration kUnit = seconds(1);
      const Duration actual =
          this->context->run_times.PredictRunTime(name, kUnit);
      ratio->second = static_cast<double>(actual.count()) /
                      static_cast<double>(kUnit.count());
    }
    const Resources all =
        Multiply(TaskDemand(*unit.step), std::ssize(unit.tasks));
    const double share = DominantShare(all, capacity_of[unit.queue->service]);
    waiting.push_back(
        {.queue = unit.queue,
         .team = unit.entry->job.access.team,
         .exceeds_share = unit.entry->exceeds_share,
         .deadline_status = unit.deadline_status,
         .start_by = unit.start_by,
         .slack =
             std::max(Duration::zero(), unit.start_by - unit.entry->learned_at),
         .work = Scale(unit.step->estimate, share * ratio->second)});
  }
  const Forecast made =
      this->context->forecast->Make(waiting, services, ratio_of, now);
  for (const ShortageChange& change : made.changes) {
    this->context->log->Write(
        "load", change.is_short ? "capacity-short" : "capacity-suffices",
        {{"service", change.service.Text()},
         {"used", change.used},
         {"waiting_ms", WholeMilliseconds(change.waiting)},
         {"late_ms", WholeMilliseconds(change.late)},
         {"workers", std::ssize(capacities.OfService(change.service))}});
  }
  this->context->publish_load(made.report);
}

bool Dispatcher::LimitToCap(SchedulingUnit* unit) const {
  const JobEntry& entry = *unit->entry;
  const TeamId& team = entry.job.access.team;
  if (team.Empty()) return true;
  const std::int64_t allowed = CountUnderCap(
      this->context->CapOf(entry), this->context->workers.Usage().Of(team),
      unit->step->each, std::ssize(unit->tasks));
  if (allowed == std::ssize(unit->tasks)) return true;
  // A gang that is stopped by the cap keeps its tasks for the report.
  if (unit->step->gang || allowed == 0) return false;
  unit->tasks.resize(static_cast<std::size_t>(allowed));
  return true;
}

void Dispatcher::RemoveCapped(std::vector<SchedulingUnit>* units, Instant now) {
  std::erase_if(*units, [&](SchedulingUnit& unit) {
    if (this->LimitToCap(&unit)) return false;
    this->ReportCapped(unit, now);
    return true;
  });
}

void Dispatcher::ReportCapped(const SchedulingUnit& unit, Instant now) {
  if (!this->waits.Due(unit, now)) return;
  const auto tasks = static_cast<std::int64_t>(unit.tasks.size());
  WaitFacts facts;
  facts.gang = unit.step->gang;
  facts.needed = facts.gang ? tasks : 1;
  facts.capped = true;
  facts.cap = this->context->CapOf(*unit.entry);
  facts.team_used =
      this->context->workers.Usage().Of(unit.entry->job.access.team);
  facts.exceeds_cap = CountUnderCap(facts.cap, {}, unit.step->each,
                                    facts.needed) < facts.needed;
  this->waits.Write(unit, facts, now);
}

void Dispatcher::UpdateEjected(Instant now) {
  WorkerHealth& health = this->context->health;
  for (const WorkerId& worker : health.TakeChanged(now)) {
    WorkerSession* session = this->context->workers.FindLatest(worker);
    if (session == nullptr) continue;
    const bool ejected = !health.Availability(now, worker).placeable;
    if (std::exchange(session->ejected, ejected) == ejected) continue;
    this->context->log->Write("workers",
                              ejected ? "worker-ejected" : "worker-readmitted",
                              {{"worker", Text(session->Incarnation())},
                               {"runs", session->runs.size()}});
  }
}

std::vector<SchedulingUnit> Dispatcher::CollectUnits(Instant now) {
  std::vector<SchedulingUnit> units;
  for (JobEntry* entry : this->context->jobs.Active()) {
    this->CollectUnits(entry, now, &units);
  }
  return units;
}

SchedulingUnit Dispatcher::MakeUnit(JobEntry* entry, const StepRef& ref) const {
  SchedulingUnit unit;
  unit.entry = entry;
  unit.queue = &this->context->QueueOf(*entry);
  unit.ref = ref;
  const auto index = static_cast<std::size_t>(ref.step);
  unit.step = &entry->job.spec.steps[index];
  unit.progress = &entry->occurrences.at(ref.occurrence).steps[index];
  unit.beyond_share =
      entry->exceeds_share && !this->context->overload.team_shares;
  return unit;
}

void Dispatcher::CollectUnits(JobEntry* entry, Instant now,
                              std::vector<SchedulingUnit>* units) {
  // The objective is the same for all steps of the job.
  std::optional<Duration> objective;
  for (const auto& [number, occurrence] : entry->occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const auto index = static_cast<std::int32_t>(i);
      const StepEntry& progress = occurrence.steps[i];
      if (progress.AllDoneOrOpen()) continue;
      if (!JobTable::Ready(*entry, occurrence, index)) continue;
      std::vector<std::int32_t> tasks =
          JobTable::Startable(*entry, progress, index, now);
      if (tasks.empty()) continue;
      SchedulingUnit unit =
          this->MakeUnit(entry, {entry->job.id, number, index});
      unit.tasks = std::move(tasks);
      const bool idle = progress.open == 0 && !progress.idle.since;
      if (idle) unit.progress->idle = {.since = now};
      if (!objective) objective = this->Objective(unit);
      this->Rank(&unit, *objective, now);
      if (this->context->overload.preemption) AdvancePreempted(&unit);
      std::optional<SchedulingUnit> quarantine_unit =
          this->SplitSuspicious(&unit);
      if (quarantine_unit) units->push_back(std::move(*quarantine_unit));
      if (!unit.tasks.empty()) units->push_back(std::move(unit));
    }
  }
}

std::optional<SchedulingUnit> Dispatcher::SplitSuspicious(
    SchedulingUnit* unit) const {
  if (unit->step->gang) return std::nullopt;
  const bool may_be_silent =
      this->pass_capacity.AnySilent() && unit->progress->open > 0;
  if (unit->entry->crashes.empty() && !may_be_silent) return std::nullopt;
  const auto first = std::stable_partition(
      unit->tasks.begin(), unit->tasks.end(), [&](std::int32_t index) {
        const CrashHistory* crashes =
            this->context->jobs.FindCrashes({unit->ref, index});
        return crashes == nullptr || !crashes->Suspicious();
      });
  const std::vector<std::int32_t> suspicious(first, unit->tasks.end());
  unit->tasks.erase(first, unit->tasks.end());
  // Failure: every task of a step crashes its worker, and all of them are tried
  // at the same time.
  if (this->IsUnproven(*unit)) unit->tasks.clear();
  if (suspicious.empty() || this->HasQuarantined(*unit->entry)) {
    return std::nullopt;
  }
  SchedulingUnit quarantine_unit = *unit;
  const std::int32_t task = suspicious.front();
  quarantine_unit.tasks = {task};
  quarantine_unit.quarantined = true;
  quarantine_unit.waiting_since =
      unit->progress->tasks[static_cast<std::size_t>(task)].not_before;
  return quarantine_unit;
}

bool Dispatcher::IsUnproven(const SchedulingUnit& unit) const {
  if (unit.progress->done > 0) return false;
  const auto& crashes = unit.entry->crashes;
  const bool suspicious =
      std::any_of(crashes.begin(), crashes.end(), [&](const auto& one) {
        return one.first.step == unit.ref && one.second.Suspicious();
      });
  if (!suspicious && !this->MayHaveCrashedWorker(unit)) return false;
  const std::vector<TaskEntry>& tasks = unit.progress->tasks;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const SessionRun* run = this->FindRun(unit, i);
    const bool sound = run != nullptr && !run->quarantined &&
                       run->Survived() >= kProvenStepRunTime;
    if (sound) return false;
  }
  return true;
}

bool Dispatcher::MayHaveCrashedWorker(const SchedulingUnit& unit) const {
  // It takes seconds until a silent worker is known to be lost.
  const std::vector<TaskEntry>& tasks = unit.progress->tasks;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    if (!tasks[i].open) continue;
    const WorkerSession* session = this->context->workers.Find(tasks[i].worker);
    if (session == nullptr || !session->unresponsive) continue;
    const SessionRun* run = this->FindRun(unit, i);
    if (run != nullptr && run->ordered_at && !run->seen_running) return true;
  }
  return false;
}

const SessionRun* Dispatcher::FindRun(const SchedulingUnit& unit,
                                      std::size_t index) const {
  const TaskRef task{unit.ref, static_cast<std::int32_t>(index)};
  return this->FindRun(task, unit.progress->tasks[index]);
}

const SessionRun* Dispatcher::FindRun(const TaskRef& ref,
                                      const TaskEntry& task) const {
  if (!task.open) return nullptr;
  WorkerSession* session = this->context->workers.Find(task.worker);
  return session == nullptr ? nullptr : session->FindRun({ref, task.last_run});
}

bool Dispatcher::HasQuarantined(const JobEntry& entry) const {
  return std::any_of(
      entry.crashes.begin(), entry.crashes.end(), [&](const auto& one) {
        const TaskEntry* task = this->context->jobs.FindTask(one.first);
        if (task == nullptr) return false;
        const SessionRun* run = this->FindRun(one.first, *task);
        return run != nullptr && run->quarantined;
      });
}

bool Dispatcher::MayQuarantine() const {
  std::size_t kept = 0;
  std::size_t down = 0;
  std::size_t idle = 0;
  for (const auto& [id, session] : this->context->workers) {
    if (session->Quarantined()) ++(session->unresponsive ? down : kept);
    if (session->fenced && session->runs.empty()) ++idle;
  }
  const auto all = static_cast<double>(this->context->workers.Size());
  const auto share = static_cast<std::size_t>(kMaxQuarantinedShare * all);
  // At most half of the idle workers are used, to leave the rest for work that
  // arrives meanwhile. Quarantined workers that are down could run nothing
  // else, but their number is bounded too.
  const std::size_t most = std::max({share, idle / 2, std::size_t{1}});
  return kept < most && kept + down < 2 * most;
}

void Dispatcher::PlaceQuarantined(SchedulingUnit* unit,
                                  const PassCapacity& capacities, Instant now) {
  if (!this->MayQuarantine()) return;
  std::vector<Candidate> candidates =
      unit->queue->advice
          ? this->Permitted(*unit, capacities, now, PermitFilter::kValid)
          : this->Candidates(*unit, capacities, now);
  std::erase_if(candidates, [&](const Candidate& one) {
    return CountPlaceable(*unit->step, one) == 0;
  });
  if (candidates.empty()) return;
  const auto load = [&](const Candidate& one) {
    const WorkerSession& session = *one.capacity->session;
    return std::pair(session.CountUnproven(), session.runs.size());
  };
  const auto chosen =
      std::min_element(candidates.begin(), candidates.end(),
                       [&](const Candidate& a, const Candidate& b) {
                         return load(a) < load(b);
                       });
  const bool alone = load(*chosen).first == 0;
  if (!alone && now < unit->waiting_since + kQuietWorkerWait) return;
  chosen->capacity->free = Resources{};
  this->Start(unit, {chosen->capacity->session->Incarnation()});
}

Duration Dispatcher::Objective(const SchedulingUnit& unit) const {
  const JobEntry& entry = *unit.entry;
  const Duration chain = this->context->run_times.PredictRunTime(
      entry.job.queue.name, entry.critical_path);
  return Scale(chain, unit.queue->stretch) + unit.queue->target;
}

void Dispatcher::Rank(SchedulingUnit* unit, Duration objective,
                      Instant now) const {
  const Instant due = unit->entry->learned_at + objective;
  unit->start_by = due;
  if (unit->step->long_running) return;
  const auto step = static_cast<std::size_t>(unit->ref.step);
  const Duration chain = this->context->run_times.PredictRunTime(
      unit->entry->job.queue.name, unit->entry->remaining_path[step]);
  unit->start_by = due - chain;
  const Instant expires_at =
      unit->entry->learned_at + kExpiryFactor * objective;
  unit->deadlines = {.on_time = due - chain, .useful = expires_at - chain};
  unit->deadline_status = unit->deadlines.At(now);
}

void Dispatcher::AdvancePreempted(SchedulingUnit* unit) {
  const bool preempted = std::any_of(
      unit->tasks.begin(), unit->tasks.end(), [&](std::int32_t index) {
        return unit->progress->tasks[static_cast<std::size_t>(index)]
                   .preemptions > 0;
      });
  if (preempted) unit->start_by -= kPreemptedAdvance;
}

StartDeadlines Dispatcher::DeadlinesOf(JobEntry* entry, const StepRef& ref,
                                       Instant now) const {
  SchedulingUnit unit = this->MakeUnit(entry, ref);
  this->Rank(&unit, this->Objective(unit), now);
  return unit.deadlines;
}

void Dispatcher::AdvanceGangStartTimes(std::vector<SchedulingUnit>* units,
                                       const PassCapacity& capacities,
                                       Instant now) const {
  for (SchedulingUnit& unit : *units) {
    if (!unit.step->gang || unit.deadline_status == DeadlineStatus::kExpired)
      continue;
    std::vector<Candidate> candidates =
        this->GangCandidates(unit, capacities, now);
    const auto fit =
        FindGangFit(*unit.step, static_cast<std::int64_t>(unit.tasks.size()),
                    candidates, now);
    if (!fit) continue;
    // Failure: a wide gang gets priority only when it could just start in time,
    // begins to gather capacity then, and is late before it has it. The
    // capacity that it has gathered must not reduce its urgency: others would
    // take that capacity, and it would stay idle alternately for each of them.
    Instant& gather_by = unit.progress->gather_by;
    gather_by = std::min(gather_by,
                         unit.start_by - kGatherTimeFactor * (fit->at - now));
    unit.start_by = gather_by;
  }
}

Instant Dispatcher::ExpectedEnd(const SchedulingUnit& unit, Instant now) const {
  return now + this->context->run_times.PredictRunTime(
                   unit.entry->job.queue.name, unit.step->estimate);
}

void Dispatcher::AddCandidate(const SchedulingUnit& unit,
                              WorkerCapacity* capacity, Instant end,
                              std::vector<Candidate>* candidates) const {
  if (capacity->held && end > capacity->held_until) return;
  if (!capacity->session->HasLabel(unit.step->required_label)) return;
  if (!TaskDemand(*unit.step).FitsIn(capacity->free) && !unit.step->gang)
    return;
  Candidate candidate{.capacity = capacity};
  if (unit.step->max_per_worker > 0) {
    candidate.siblings =
        CountSiblings(*unit.progress, capacity->session->Incarnation());
  }
  candidates->push_back(candidate);
}

std::vector<Candidate> Dispatcher::Candidates(const SchedulingUnit& unit,
                                              const PassCapacity& capacities,
                                              Instant now) const {
  std::vector<Candidate> candidates;
  const Instant end = this->ExpectedEnd(unit, now);
  for (WorkerCapacity* capacity : capacities.OfService(unit.queue->service)) {
    this->AddCandidate(unit, capacity, end, &candidates);
  }
  return candidates;
}

std::vector<Candidate> Dispatcher::Permitted(const SchedulingUnit& unit,
                                             const PassCapacity& capacities,
                                             Instant now,
                                             PermitFilter need) const {
  std::vector<Candidate> candidates;
  const StepAdvice* advice = this->context->advice->Find(unit.ref);
  if (advice == nullptr) return candidates;
  const Instant end = this->ExpectedEnd(unit, now);
  const Instant valid_at = now + kTicketMargin;
  for (const PermittedWorker& one : advice->permitted) {
    const bool holds = one.ticket.expires > valid_at;
    if (need == PermitFilter::kValid && !holds) continue;
    WorkerCapacity* capacity = capacities.At(one.session);
    // The queue may have been assigned to another service meanwhile.
    const bool serves = capacity != nullptr &&
                        capacity->session->info.service == unit.queue->service;
    if (serves) this->AddCandidate(unit, capacity, end, &candidates);
  }
  return candidates;
}

void Dispatcher::PlaceUnit(SchedulingUnit* unit, const PassCapacity& capacities,
                           Instant now) {
  if (!capacities.MayFitTask(unit->queue->service, *unit->step)) return;
  if (unit->quarantined) {
    this->PlaceQuarantined(unit, capacities, now);
    return;
  }
  if (!unit->queue->advice) {
    this->PlaceOn(unit, this->Candidates(*unit, capacities, now));
    return;
  }
  this->PlaceOn(unit,
                this->Permitted(*unit, capacities, now, PermitFilter::kValid));
  if (!unit->step->gang || unit->tasks.empty()) return;
  // Most waiting gangs lack capacity, and a pass examines about a hundred of
  // them. The search for places is far more expensive than these checks.
  if (!this->MayReserveCapacity(*unit, capacities)) return;
  if (!this->HasCapacity(*unit, capacities, now)) return;
  this->PlaceOn(unit, this->GangCandidates(*unit, capacities, now));
}

bool Dispatcher::HasCapacity(const SchedulingUnit& unit,
                             const PassCapacity& capacities,
                             Instant now) const {
  return CountPlaceableTasks(unit,
                             this->GangCandidates(unit, capacities, now)) >=
         std::ssize(unit.tasks);
}

bool Dispatcher::MayReserveCapacity(const SchedulingUnit& unit,
                                    const PassCapacity& capacities) const {
  const ServiceId& service = unit.queue->service;
  return this->context->reservations->MayAdd(capacities.Capacity(service),
                                             capacities.Free(service));
}

void Dispatcher::PlaceOn(SchedulingUnit* unit,
                         std::vector<Candidate> candidates) {
  if (candidates.empty()) return;
  // Failure: a worker fails some of its runs, and the failed task is placed on
  // it again until its attempts are used up.
  const std::size_t others = MoveFailedWorkersLast(*unit, &candidates);
  const auto count = static_cast<std::int32_t>(unit->tasks.size());
  std::vector<WorkerIncarnation> workers =
      PlaceTasks(*unit->step, count, std::span(candidates).first(others));
  if (workers.empty()) workers = PlaceTasks(*unit->step, count, candidates);
  if (workers.empty()) return;
  this->Start(unit, workers);
  if (unit->entry->crashes.empty()) return;
  // Nothing else is placed beside a suspicious task in this pass.
  for (Candidate& one : candidates) {
    if (one.capacity->session->Quarantined()) one.capacity->free = Resources{};
  }
}

void Dispatcher::Start(SchedulingUnit* unit,
                       const std::vector<WorkerIncarnation>& workers) {
  const std::span<const std::int32_t> tasks(unit->tasks.data(), workers.size());
  const std::vector<RunRef> runs =
      this->context->jobs.Begin(unit->entry, unit->ref, tasks, workers);
  this->NoteStart(*unit, std::ssize(workers));
  this->pass_capacity.NoteTaken(
      unit->queue->service,
      Multiply(TaskDemand(*unit->step), std::ssize(workers)));
  unit->entry->published_state = unit->entry->state;
  this->context->runs->Begin(*unit->entry, runs, workers);
  unit->tasks.erase(unit->tasks.begin(),
                    unit->tasks.begin() + std::ssize(workers));
}

void Dispatcher::NoteStart(const SchedulingUnit& unit,
                           std::int64_t tasks) const {
  LoadForecast* forecast = this->context->forecast;
  if (forecast == nullptr || unit.step->long_running) return;
  forecast->NoteStart(*unit.queue, Multiply(TaskDemand(*unit.step), tasks),
                      this->context->run_times.PredictRunTime(
                          unit.queue->name, unit.step->estimate));
  if (unit.entry->published_state != JobState::kQueued) return;
  forecast->NoteFirstStart(
      *unit.queue, this->context->executor->Now() - unit.entry->learned_at);
}

void Dispatcher::RequestAdviceIfUseful(const SchedulingUnit& unit,
                                       const PassCapacity& capacities,
                                       Instant now) {
  const StepAdvice* advice = this->context->advice->Find(unit.ref);
  if (advice != nullptr) {
    if (advice->asking || now < unit.progress->next_advice_check) return;
    if (this->ask_checks_left == 0) return;
    --this->ask_checks_left;
    unit.progress->next_advice_check = now + kAskInterval;
    if (this->WorkersToAsk(unit, capacities, now, AskPurpose::kLearn).empty()) {
      unit.progress->next_examined_worker += kMaxExaminedWorkers;
      return;
    }
  } else {
    if (this->first_asks_left == 0) return;
    --this->first_asks_left;
  }
  this->context->advice->RequestPermissions(
      {.step = unit.ref,
       .queue = unit.queue->name,
       .policy = *unit.queue->advice,
       .deadlines = unit.deadlines,
       .start_by = unit.start_by,
       .work = DeclaredWork(*unit.step, std::ssize(unit.tasks)),
       .exceeds_share = unit.beyond_share,
       .yields = unit.beyond_share && this->context->overload.team_shares});
}

std::vector<AskedWorker> Dispatcher::WorkersToAsk(
    const SchedulingUnit& unit, const PassCapacity& capacities, Instant now,
    AskPurpose purpose) const {
  // Failure: the decision to ask and the decision to take capacity count
  // different permissions, and a gang with enough for the one and too little
  // for the other waits forever. So a gang either takes its capacity or asks,
  // and both decisions examine the same capacity.
  if (unit.step->gang && this->HasCapacity(unit, capacities, now)) return {};
  const AdvicePolicy& policy = *unit.queue->advice;
  const auto tasks = static_cast<std::int64_t>(unit.tasks.size());
  AdviceSelectionInput input;
  input.step = unit.step;
  input.tasks = tasks;
  input.advice = this->context->advice->Find(unit.ref);
  input.permitted_share =
      this->context->advice->PermittedShare(unit.queue->name);
  if (policy.per_worker > Duration::zero()) {
    input.workers_per_fixed_cost =
        static_cast<std::size_t>(policy.decision / policy.per_worker);
  }
  input.now = now;
  input.answer_due = now + policy.decision + policy.per_worker * tasks;
  input.may_preempt =
      this->context->overload.preemption && PreemptionPass::MayPreempt(unit);
  input.in_flight = this->context->advice->QuestionsInFlight();
  input.must_start = purpose == AskPurpose::kStart;
  const std::vector<Candidate> candidates =
      this->CandidatesToAsk(unit, capacities, input);
  return SelectWorkersToAsk(input, candidates);
}

std::vector<Candidate> Dispatcher::CandidatesToAsk(
    const SchedulingUnit& unit, const PassCapacity& capacities,
    const AdviceSelectionInput& asked) const {
  std::vector<WorkerCapacity*> permitted;
  if (asked.advice != nullptr) {
    for (const PermittedWorker& one : asked.advice->permitted) {
      WorkerCapacity* capacity = capacities.At(one.session);
      const bool serves =
          capacity != nullptr &&
          capacity->session->info.service == unit.queue->service;
      if (serves) permitted.push_back(capacity);
    }
  }
  std::vector<Candidate> candidates = SelectAskCandidates(
      {.step = unit.step,
       .tasks = asked.tasks,
       .advice = asked.advice,
       .permitted_share = asked.permitted_share,
       .end = this->ExpectedEnd(unit, asked.answer_due),
       .workers = capacities.OfService(unit.queue->service),
       .permitted = permitted,
       .in_flight = this->context->advice->QuestionsInFlight(),
       .first = std::hash<JobId>{}(unit.ref.job) +
                unit.progress->next_examined_worker});
  if (unit.step->max_per_worker > 0) this->SetSiblings(unit, &candidates);
  return candidates;
}

// Failure: tasks that must run on different workers count capacity beside each
// other as theirs when they could ask about further workers.
void Dispatcher::SetSiblings(const SchedulingUnit& unit,
                             std::vector<Candidate>* candidates) const {
  std::unordered_map<SessionNumber, std::int32_t> siblings;
  for (const TaskEntry& task : unit.progress->tasks) {
    const WorkerSession* session =
        task.open ? this->context->workers.Find(task.worker) : nullptr;
    if (session != nullptr) ++siblings[session->Number()];
  }
  for (Candidate& one : *candidates) {
    const auto found = siblings.find(one.capacity->session->Number());
    if (found != siblings.end()) one.siblings = found->second;
  }
}

std::vector<AskedWorker> Dispatcher::ChooseForAdvice(const StepRef& ref) {
  if (this->context->reservations->Holds(ref)) {
    return this->context->reservations->WorkersToAsk(ref);
  }
  JobEntry* entry = this->context->jobs.Find(ref.job);
  if (entry == nullptr || IsFinal(entry->state)) return {};
  if (!entry->occurrences.contains(ref.occurrence)) return {};
  const Instant now = this->context->executor->Now();
  SchedulingUnit unit = this->MakeUnit(entry, ref);
  unit.tasks = JobTable::Startable(*entry, *unit.progress, ref.step, now);
  const bool known = this->context->advice->Find(ref) != nullptr;
  if (unit.tasks.empty() || !unit.queue->advice || !known) return {};
  if (!this->LimitToCap(&unit)) return {};
  this->ask_capacity.Begin();
  std::vector<AskedWorker> workers =
      this->WorkersToAsk(unit, this->ask_capacity, now, AskPurpose::kLearn);
  if (workers.empty() && this->ApplyHolds(ref)) {
    workers =
        this->WorkersToAsk(unit, this->ask_capacity, now, AskPurpose::kStart);
  }
  if (workers.empty()) {
    unit.progress->next_advice_check = now + kPointlessAskInterval;
    ++unit.progress->idle.dropped_questions;
    ++unit.progress->idle.dropped_in_a_row;
  } else {
    unit.progress->idle.dropped_in_a_row = 0;
    ++unit.progress->idle.questions;
  }
  return workers;
}

std::vector<Candidate> Dispatcher::GangCandidates(
    const SchedulingUnit& unit, const PassCapacity& capacities,
    Instant now) const {
  return unit.queue->advice
             ? this->Permitted(unit, capacities, now, PermitFilter::kKnown)
             : this->Candidates(unit, capacities, now);
}

void Dispatcher::HoldForGang(const SchedulingUnit& unit,
                             const PassCapacity& capacities, Instant now) {
  std::vector<Candidate> candidates =
      this->GangCandidates(unit, capacities, now);
  const std::vector<std::size_t> held =
      HoldCapacity(*unit.step, static_cast<std::int64_t>(unit.tasks.size()),
                   candidates, now);
  for (const std::size_t index : held) {
    const WorkerCapacity& capacity = *candidates[index].capacity;
    this->held.push_back(
        {capacity.session->Number(), capacity.held_until, unit.ref});
  }
}

// Failure: a pass finds too little capacity for a gang beside what others hold
// and has it ask. When its turn to ask comes, what is held counts as free, so
// there seems to be enough, and the question is dropped, again and again.
bool Dispatcher::ApplyHolds(const StepRef& step) {
  bool any = false;
  for (const HeldCapacity& one : this->held) {
    if (one.holder == step) continue;
    WorkerCapacity* capacity = this->ask_capacity.At(one.session);
    if (capacity == nullptr) continue;
    capacity->held = true;
    capacity->held_until = one.until;
    any = true;
  }
  return any;
}

WaitFacts Dispatcher::CollectWaitFacts(const SchedulingUnit& unit,
                                       const PassCapacity& capacities,
                                       Instant now) const {
  const auto tasks = static_cast<std::int64_t>(unit.tasks.size());
  const StepAdvice* advice = this->context->advice->Find(unit.ref);
  WaitFacts facts;
  facts.gang = unit.step->gang;
  facts.free_share = FreeShare(capacities, unit.queue->service);
  facts.quarantined = unit.quarantined;
  facts.needed = facts.gang ? tasks : 1;
  facts.beyond_share = this->share_order.Delays(unit);
  facts.has_policy = unit.queue->advice.has_value();
  if (advice != nullptr) {
    facts.permitted = std::ssize(advice->permitted);
    facts.refused = std::ssize(advice->refused);
  }
  const auto count_fitting = [&](const WorkerSession& session) {
    if (!session.HasLabel(unit.step->required_label)) return std::int64_t{0};
    return CountFitting(*unit.step, session.info.capacity, tasks);
  };
  const auto is_permitted = [&](const WorkerSession& session) {
    return !facts.has_policy ||
           (advice != nullptr && advice->TicketFor(session.Number()));
  };
  for (const WorkerCapacity* capacity :
       capacities.OfService(unit.queue->service)) {
    const WorkerSession& session = *capacity->session;
    const std::int64_t fits = count_fitting(session);
    if (fits == 0) continue;
    ++facts.eligible;
    if (capacity->held) ++facts.held;
    if (is_permitted(session)) facts.could_fit += fits;
    const bool refused = advice != nullptr && advice->Refuses(session.Number());
    if (!facts.gang && !refused) facts.fits_later = true;
  }
  if (!this->context->evacuations->Empty()) {
    for (const auto& [id, session] : this->context->workers) {
      const bool evacuated =
          session->info.service == unit.queue->service &&
          this->context->evacuations->Contains(session->info.data_center);
      if (!evacuated || !is_permitted(*session)) continue;
      facts.evacuated_fit += count_fitting(*session);
    }
  }
  facts.room =
      CountPlaceableTasks(unit, this->GangCandidates(unit, capacities, now));
  facts.fresh_room =
      facts.has_policy
          ? CountPlaceableTasks(unit, this->Permitted(unit, capacities, now,
                                                      PermitFilter::kValid))
          : facts.room;
  facts.asking = advice != nullptr && advice->asking;
  // Failure: a pass would have the step ask, each question is dropped when its
  // turn comes, and the report names a question as what ends the wait.
  const bool would_ask =
      advice == nullptr ||
      (unit.progress->idle.dropped_in_a_row < kRepeatedDrops &&
       !this->WorkersToAsk(unit, capacities, now, AskPurpose::kLearn).empty());
  facts.helped_by_question = facts.has_policy && would_ask;
  if (facts.gang) {
    facts.room_taken_by_gangs = !this->MayReserveCapacity(unit, capacities);
    std::vector<Candidate> candidates =
        this->GangCandidates(unit, capacities, now);
    facts.fits_later =
        FindGangFit(*unit.step, tasks, candidates, now).has_value();
  }
  return facts;
}

}  // namespace mustardproxy::jobs
