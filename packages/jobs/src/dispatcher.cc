#include "dispatcher.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "advice_desk.h"
#include "gang_hold.h"
#include "options.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// A job that takes more than this times its objective is worth nothing.
constexpr std::int64_t kWorthlessAfter = 3;
/// Gangs that may hold room at the same time. With more, a burst of gangs would
/// hold the whole cell empty for each other.
constexpr std::int32_t kMaxHolds = 2;
/// Time allowed for a gang to gather its room, as a multiple of what it takes
/// if nothing else starts: steps of higher rank do start meanwhile. With 1 a
/// gang of three quarters of a cell at 2.5 times its load came 0.3 s too late
/// (cell_basic/a_wide_gang_is_not_starved_by_small_tasks).
constexpr std::int64_t kGatherMargin = 2;
/// Room asked about, as a multiple of what the step needs: what is permitted
/// varies, and room may go while the question is answered.
constexpr double kAskedRoom = 1.6;
/// Fewest workers in a first question: one more costs a hundredth of the
/// question's fixed part.
constexpr std::size_t kMinAsked = 6;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

/// Moves workers on which one of the tasks failed last to the end.
/// @return how many candidates come before them
std::size_t PutFailedLast(const Unit& unit,
                          std::vector<Candidate>* candidates) {
  const auto failed_there = [&](const Candidate& candidate) {
    const WorkerId& worker = candidate.room->session->info.id;
    return std::any_of(
        unit.tasks.begin(), unit.tasks.end(), [&](std::int32_t index) {
          return unit.progress->tasks[static_cast<std::size_t>(index)]
                     .failed_at == worker;
        });
  };
  const auto first_failed = std::stable_partition(
      candidates->begin(), candidates->end(),
      [&](const Candidate& candidate) { return !failed_there(candidate); });
  return static_cast<std::size_t>(first_failed - candidates->begin());
}

std::int32_t CountSiblings(const StepEntry& progress, const WorkerId& worker) {
  return static_cast<std::int32_t>(std::count_if(
      progress.tasks.begin(), progress.tasks.end(), [&](const TaskEntry& task) {
        return task.open && task.worker == worker;
      }));
}

/// What a question about a step has to bring.
struct AdviceWish {
  std::int64_t tasks = 0;
  /// Which share of the workers asked about is permitted as a rule.
  double permitted_share = 0.0;
};

/// A worker that may be asked about.
struct AskChoice {
  const Room* room = nullptr;
  bool known_permitted = false;
  std::int64_t fitting = 0;
};

/// @return workers that are likely to have room for the step's tasks: those
///   known to be permitted first, then those with most room
std::vector<AskedWorker> ChooseAsked(const Unit& unit, const StepAdvice& advice,
                                     std::span<Room* const> rooms,
                                     const AdviceWish& wish) {
  std::vector<AskChoice> choices;
  for (const Room* room : rooms) {
    const SessionNumber session = room->session->Number();
    if (advice.Refuses(session)) continue;
    if (!room->session->HasLabel(unit.step->required_label)) continue;
    choices.push_back({room, advice.TicketFor(session) != nullptr,
                       CountFitting(*unit.step, room->free, wish.tasks)});
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const AskChoice& a, const AskChoice& b) {
                     return std::make_pair(!a.known_permitted, -a.fitting) <
                            std::make_pair(!b.known_permitted, -b.fitting);
                   });
  const double wanted = kAskedRoom * static_cast<double>(wish.tasks);
  double expected = 0;
  std::vector<AskedWorker> workers;
  for (const AskChoice& choice : choices) {
    const bool enough = expected >= wanted && workers.size() >= kMinAsked;
    if (enough || workers.size() == kMaxAdviceWorkers) break;
    const WorkerSession& session = *choice.room->session;
    workers.push_back({session.info.id, session.Number()});
    expected += static_cast<double>(choice.fitting) *
                (choice.known_permitted ? 1.0 : wish.permitted_share);
  }
  return workers;
}

}  // namespace

Dispatcher::Dispatcher(OwnerContext* context) : context(context) {}

void Dispatcher::Kick() {
  if (std::exchange(this->kicked, true)) return;
  const Instant now = this->context->executor->Now();
  const Duration delay =
      std::max(Duration::zero(), this->last_pass + kPassInterval - now);
  this->context->executor->After(delay,
                                 this->guard.Wrap([this] { this->Pass(); }));
}

void Dispatcher::Pass() {
  this->kicked = false;
  const Instant now = this->context->executor->Now();
  this->last_pass = now;
  std::vector<Unit> units = this->CollectUnits(now);
  this->NoteEjected(now);
  const PassRooms rooms(this->context->workers);
  this->AllowForGathering(&units, rooms, now);
  std::stable_sort(units.begin(), units.end(),
                   [](const Unit& a, const Unit& b) {
                     return std::tie(a.hope, a.queue->priority, a.begin_by) <
                            std::tie(b.hope, b.queue->priority, b.begin_by);
                   });
  std::int32_t holds = 0;
  for (Unit& unit : units) {
    this->PlaceUnit(&unit, rooms, now);
    if (unit.tasks.empty()) continue;
    if (unit.queue->advice) this->ConsiderAdvice(unit, rooms, now);
    const bool holds_room = unit.step->gang && unit.hope != Unit::Hope::kNone;
    if (holds_room && holds < kMaxHolds) {
      this->HoldForGang(unit, rooms, now);
      ++holds;
    }
  }
}

void Dispatcher::NoteEjected(Instant now) {
  WorkerHealth& health = this->context->health;
  for (const WorkerId& worker : health.TakeChanged(now)) {
    WorkerSession* session = this->context->workers.Find(worker);
    if (session == nullptr) continue;
    const bool ejected = !health.Standing(now, worker).placeable;
    if (std::exchange(session->ejected, ejected) == ejected) continue;
    this->context->log->Write(
        "workers", ejected ? "worker-ejected" : "worker-readmitted",
        {{"worker", worker.Text()}, {"runs", session->runs.size()}});
  }
}

std::vector<Unit> Dispatcher::CollectUnits(Instant now) {
  std::vector<Unit> units;
  for (JobEntry* entry : this->context->jobs.Active()) {
    this->CollectUnits(entry, now, &units);
  }
  return units;
}

Unit Dispatcher::MakeUnit(JobEntry* entry, const StepRef& ref) const {
  Unit unit;
  unit.entry = entry;
  unit.queue = &this->context->QueueOf(*entry);
  unit.ref = ref;
  const auto index = static_cast<std::size_t>(ref.step);
  unit.step = &entry->job.spec.steps[index];
  unit.progress = &entry->occurrences.at(ref.occurrence).steps[index];
  return unit;
}

void Dispatcher::CollectUnits(JobEntry* entry, Instant now,
                              std::vector<Unit>* units) {
  // The same for all steps of the job.
  std::optional<Duration> objective;
  for (const auto& [number, occurrence] : entry->occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const auto index = static_cast<std::int32_t>(i);
      const StepEntry& progress = occurrence.steps[i];
      if (progress.AllUnderWay()) continue;
      if (!JobTable::Ready(*entry, occurrence, index)) continue;
      std::vector<std::int32_t> tasks =
          JobTable::Startable(*entry, progress, index, now);
      if (tasks.empty()) continue;
      Unit unit = this->MakeUnit(entry, {entry->job.id, number, index});
      unit.tasks = std::move(tasks);
      if (!objective) objective = this->Objective(unit);
      this->Rank(&unit, *objective, now);
      units->push_back(std::move(unit));
    }
  }
}

Duration Dispatcher::Objective(const Unit& unit) const {
  const JobEntry& entry = *unit.entry;
  const Duration chain =
      this->context->run_times.Expect(entry.job.queue.name, entry.whole_chain);
  return Scale(chain, unit.queue->stretch) + unit.queue->target;
}

void Dispatcher::Rank(Unit* unit, Duration objective, Instant now) const {
  const Instant due = unit->entry->learnt + objective;
  unit->begin_by = due;
  if (unit->step->long_running) return;
  const auto step = static_cast<std::size_t>(unit->ref.step);
  const Duration chain = this->context->run_times.Expect(
      unit->entry->job.queue.name, unit->entry->chains[step]);
  unit->begin_by = due - chain;
  const Instant end = now + chain;
  const Instant worthless = unit->entry->learnt + kWorthlessAfter * objective;
  if (end > worthless) {
    unit->hope = Unit::Hope::kNone;
  } else if (end > due) {
    unit->hope = Unit::Hope::kLate;
  }
}

void Dispatcher::AllowForGathering(std::vector<Unit>* units,
                                   const PassRooms& rooms, Instant now) const {
  for (Unit& unit : *units) {
    if (!unit.step->gang || unit.hope == Unit::Hope::kNone) continue;
    std::vector<Candidate> candidates = this->GangCandidates(unit, rooms, now);
    const auto fit =
        FindGangFit(*unit.step, static_cast<std::int64_t>(unit.tasks.size()),
                    candidates, now);
    if (!fit) continue;
    // Failure: a wide gang comes first only when it could just start in time,
    // begins to gather room then, and is late before it has it. And what it has
    // gathered must not make it less urgent, or others would take that room
    // and all would stand empty by turns.
    Instant& gather_by = unit.progress->gather_by;
    gather_by =
        std::min(gather_by, unit.begin_by - kGatherMargin * (fit->at - now));
    unit.begin_by = gather_by;
  }
}

Instant Dispatcher::ExpectedEnd(const Unit& unit, Instant now) const {
  return now + this->context->run_times.Expect(unit.entry->job.queue.name,
                                               unit.step->estimate);
}

void Dispatcher::AddCandidate(const Unit& unit, Room* room, Instant end,
                              std::vector<Candidate>* candidates) const {
  if (room->held && end > room->held_until) return;
  if (!room->session->HasLabel(unit.step->required_label)) return;
  if (!Takes(*unit.step).FitsIn(room->free) && !unit.step->gang) return;
  Candidate candidate{.room = room};
  if (unit.step->max_per_worker > 0) {
    candidate.siblings = CountSiblings(*unit.progress, room->session->info.id);
  }
  candidates->push_back(candidate);
}

std::vector<Candidate> Dispatcher::Candidates(const Unit& unit,
                                              const PassRooms& rooms,
                                              Instant now) const {
  std::vector<Candidate> candidates;
  const Instant end = this->ExpectedEnd(unit, now);
  for (Room* room : rooms.OfService(unit.queue->service)) {
    this->AddCandidate(unit, room, end, &candidates);
  }
  return candidates;
}

std::vector<Candidate> Dispatcher::Permitted(const Unit& unit,
                                             const PassRooms& rooms,
                                             Instant now,
                                             Instant valid_at) const {
  std::vector<Candidate> candidates;
  const StepAdvice* advice = this->context->advice->Find(unit.ref);
  if (advice == nullptr) return candidates;
  const Instant end = this->ExpectedEnd(unit, now);
  for (const PermittedWorker& one : advice->permitted) {
    if (one.ticket.expires <= valid_at) continue;
    Room* room = rooms.At(one.session);
    // The queue may have been given to another service meanwhile.
    const bool serves =
        room != nullptr && room->session->info.service == unit.queue->service;
    if (serves) this->AddCandidate(unit, room, end, &candidates);
  }
  return candidates;
}

void Dispatcher::PlaceUnit(Unit* unit, const PassRooms& rooms, Instant now) {
  if (!rooms.MayFit(unit->queue->service, *unit->step)) return;
  std::vector<Candidate> candidates =
      unit->queue->advice
          ? this->Permitted(*unit, rooms, now, now + kTicketMargin)
          : this->Candidates(*unit, rooms, now);
  if (candidates.empty()) return;
  // Failure: a worker fails part of what it runs, and the task that failed
  // there goes back to it until its attempts are used up.
  const std::size_t others = PutFailedLast(*unit, &candidates);
  const auto count = static_cast<std::int32_t>(unit->tasks.size());
  std::vector<WorkerId> workers =
      PlaceTasks(*unit->step, count, std::span(candidates).first(others));
  if (workers.empty()) workers = PlaceTasks(*unit->step, count, candidates);
  if (workers.empty()) return;
  this->Start(unit, workers);
}

void Dispatcher::Start(Unit* unit, const std::vector<WorkerId>& workers) {
  const std::span<const std::int32_t> tasks(unit->tasks.data(), workers.size());
  const std::vector<RunRef> runs =
      this->context->jobs.Begin(unit->entry, unit->ref, tasks, workers);
  unit->entry->shown = unit->entry->state;
  this->context->runs->Begin(*unit->entry, runs, workers);
  unit->tasks.erase(unit->tasks.begin(),
                    unit->tasks.begin() + std::ssize(workers));
}

void Dispatcher::ConsiderAdvice(const Unit& unit, const PassRooms& rooms,
                                Instant now) {
  const StepAdvice* advice = this->context->advice->Find(unit.ref);
  if (advice != nullptr && advice->asking) return;
  // Permissions lapse while room is short. They are asked for again only once
  // there would be room, or the policy service would be asked all the time.
  const bool useful = advice == nullptr || advice->permitted.empty() ||
                      this->RoomIfPermitted(unit, *advice, rooms, now);
  if (!useful) return;
  this->context->advice->Want(
      {unit.ref, unit.queue->name, unit.queue->priority, *unit.queue->advice});
}

bool Dispatcher::RoomIfPermitted(const Unit& unit, const StepAdvice& advice,
                                 const PassRooms& rooms, Instant now) const {
  if (!rooms.MayFit(unit.queue->service, *unit.step)) return false;
  const auto tasks = static_cast<std::int64_t>(unit.tasks.size());
  std::int64_t missing = unit.step->gang ? tasks : 1;
  const Instant end = this->ExpectedEnd(unit, now);
  std::vector<Candidate> one;
  for (Room* room : rooms.OfService(unit.queue->service)) {
    if (advice.Refuses(room->session->Number())) continue;
    one.clear();
    this->AddCandidate(unit, room, end, &one);
    if (one.empty()) continue;
    missing -= RoomFor(*unit.step, one.front(), missing);
    if (missing <= 0) return true;
  }
  return false;
}

std::vector<AskedWorker> Dispatcher::ChooseForAdvice(const StepRef& ref) {
  JobEntry* entry = this->context->jobs.Find(ref.job);
  if (entry == nullptr || IsFinal(entry->state)) return {};
  if (!entry->occurrences.contains(ref.occurrence)) return {};
  const Instant now = this->context->executor->Now();
  const Unit unit = this->MakeUnit(entry, ref);
  const auto tasks = static_cast<std::int64_t>(
      JobTable::Startable(*entry, *unit.progress, ref.step, now).size());
  const StepAdvice* advice = this->context->advice->Find(ref);
  if (tasks == 0 || advice == nullptr) return {};
  const PassRooms rooms(this->context->workers);
  const double share = this->context->advice->PermittedShare(unit.queue->name);
  return ChooseAsked(unit, *advice, rooms.OfService(unit.queue->service),
                     {.tasks = tasks, .permitted_share = share});
}

std::vector<Candidate> Dispatcher::GangCandidates(const Unit& unit,
                                                  const PassRooms& rooms,
                                                  Instant now) const {
  return unit.queue->advice ? this->Permitted(unit, rooms, now, Instant::min())
                            : this->Candidates(unit, rooms, now);
}

void Dispatcher::HoldForGang(const Unit& unit, const PassRooms& rooms,
                             Instant now) {
  std::vector<Candidate> candidates = this->GangCandidates(unit, rooms, now);
  HoldRooms(*unit.step, static_cast<std::int64_t>(unit.tasks.size()),
            candidates, now);
}

}  // namespace mustardproxy::jobs
