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

/// @return longest expected time from the start of `step` to the job's end
Duration ChainFrom(const Job& job, const RunTimes& times, std::size_t step) {
  std::vector<Duration> longest(job.spec.steps.size(), Duration::zero());
  Duration most{0};
  for (std::size_t i = step; i < job.spec.steps.size(); ++i) {
    const Step& spec = job.spec.steps[i];
    Duration before{0};
    bool follows = i == step;
    for (const std::int32_t earlier : spec.after) {
      const auto index = static_cast<std::size_t>(earlier);
      if (index < step || longest[index] == Duration::zero()) continue;
      before = std::max(before, longest[index]);
      follows = true;
    }
    if (!follows) continue;
    longest[i] = before + times.Expect(job.queue.name, spec.estimate);
    most = std::max(most, longest[i]);
  }
  return most;
}

/// @return the longest chain of the whole job
Duration WholeChain(const Job& job, const RunTimes& times) {
  Duration most{0};
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    if (!job.spec.steps[i].after.empty()) continue;
    most = std::max(most, ChainFrom(job, times, i));
  }
  return most;
}

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
  std::vector<Room> rooms = this->CollectRooms(now);
  this->AllowForGathering(&units, &rooms, now);
  std::stable_sort(units.begin(), units.end(),
                   [](const Unit& a, const Unit& b) {
                     return std::tie(a.hope, a.queue->priority, a.begin_by) <
                            std::tie(b.hope, b.queue->priority, b.begin_by);
                   });
  std::int32_t holds = 0;
  for (Unit& unit : units) {
    this->PlaceUnit(&unit, &rooms, now);
    if (unit.tasks.empty()) continue;
    if (unit.queue->advice) this->ConsiderAdvice(unit, &rooms, now);
    const bool holds_room = unit.step->gang && unit.hope != Unit::Hope::kNone;
    if (holds_room && holds < kMaxHolds) {
      this->HoldForGang(unit, &rooms, now);
      ++holds;
    }
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
      if (progress.Done()) continue;
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
  const Duration chain = WholeChain(unit.entry->job, this->context->run_times);
  return Scale(chain, unit.queue->stretch) + unit.queue->target;
}

void Dispatcher::Rank(Unit* unit, Duration objective, Instant now) const {
  const Job& job = unit->entry->job;
  const RunTimes& times = this->context->run_times;
  const Instant due = unit->entry->learnt + objective;
  unit->begin_by = due;
  if (unit->step->long_running) return;
  const Duration chain =
      ChainFrom(job, times, static_cast<std::size_t>(unit->ref.step));
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
                                   std::vector<Room>* rooms,
                                   Instant now) const {
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

std::vector<Room> Dispatcher::CollectRooms(Instant now) {
  std::vector<Room> rooms;
  for (const auto& [id, session] : this->context->workers) {
    const bool usable = session->listed && !session->gone && session->fenced &&
                        !session->suspect && !session->info.draining;
    if (!usable || !this->context->health.Standing(now, id).placeable) continue;
    Room room;
    room.session = session.get();
    room.free = session->Free();
    rooms.push_back(room);
  }
  return rooms;
}

std::vector<Candidate> Dispatcher::Candidates(const Unit& unit,
                                              std::vector<Room>* rooms,
                                              Instant now) const {
  std::vector<Candidate> candidates;
  const Instant end = now + this->context->run_times.Expect(
                                unit.queue->name, unit.step->estimate);
  for (Room& room : *rooms) {
    if (room.session->info.service != unit.queue->service) continue;
    if (!room.session->HasLabel(unit.step->required_label)) continue;
    if (room.held && end > room.held_until) continue;
    Candidate candidate{.room = &room};
    if (unit.step->max_per_worker > 0) {
      candidate.siblings = CountSiblings(*unit.progress, room.session->info.id);
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

void Dispatcher::PlaceUnit(Unit* unit, std::vector<Room>* rooms, Instant now) {
  std::vector<Candidate> candidates = this->Candidates(*unit, rooms, now);
  if (unit->queue->advice) {
    const StepAdvice* advice = this->context->advice->Find(unit->ref);
    if (advice == nullptr) return;
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return advice->Valid(candidate.room->session->info.id,
                           now + kTicketMargin) == nullptr;
    });
  }
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

std::vector<Candidate> Dispatcher::Unrefused(const Unit& unit,
                                             const StepAdvice& advice,
                                             std::vector<Room>* rooms,
                                             Instant now) const {
  std::vector<Candidate> candidates = this->Candidates(unit, rooms, now);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return advice.refused.contains(candidate.room->session->info.id);
  });
  return candidates;
}

void Dispatcher::ConsiderAdvice(const Unit& unit, std::vector<Room>* rooms,
                                Instant now) {
  const StepAdvice* advice = this->context->advice->Find(unit.ref);
  if (advice != nullptr && advice->asking) return;
  const AdviceNeed need{unit.ref, unit.queue->name, unit.queue->priority,
                        *unit.queue->advice};
  if (advice == nullptr || advice->permitted.empty()) {
    this->context->advice->Want(need);
    return;
  }
  // Permissions lapse while room is short. They are asked for again only once
  // there would be room, or the policy service would be asked all the time.
  std::vector<Room> trial = *rooms;
  std::vector<Candidate> candidates =
      this->Unrefused(unit, *advice, &trial, now);
  const auto count = static_cast<std::int32_t>(unit.tasks.size());
  if (PlaceTasks(*unit.step, count, candidates).empty()) return;
  this->context->advice->Want(need);
}

std::vector<WorkerId> Dispatcher::ChooseForAdvice(const StepRef& ref) {
  JobEntry* entry = this->context->jobs.Find(ref.job);
  if (entry == nullptr || IsFinal(entry->state)) return {};
  if (!entry->occurrences.contains(ref.occurrence)) return {};
  const Instant now = this->context->executor->Now();
  const Unit unit = this->MakeUnit(entry, ref);
  const auto tasks = static_cast<std::int64_t>(
      JobTable::Startable(*entry, *unit.progress, ref.step, now).size());
  const StepAdvice* advice = this->context->advice->Find(ref);
  if (tasks == 0 || advice == nullptr) return {};
  std::vector<Room> rooms = this->CollectRooms(now);
  std::vector<Candidate> candidates =
      this->Unrefused(unit, *advice, &rooms, now);
  const auto known = [&](const Candidate& candidate) {
    return advice->permitted.contains(candidate.room->session->info.id);
  };
  const auto fitting = [&](const Candidate& candidate) {
    return CountFitting(*unit.step, candidate.room->free, tasks);
  };
  // Those known to be permitted first, then those with most room.
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return std::make_pair(!known(a), -fitting(a)) <
                            std::make_pair(!known(b), -fitting(b));
                   });
  const double share = this->context->advice->PermittedShare(unit.queue->name);
  const double wanted = kAskedRoom * static_cast<double>(tasks);
  double expected = 0;
  std::vector<WorkerId> workers;
  for (const Candidate& candidate : candidates) {
    const bool enough = expected >= wanted && workers.size() >= kMinAsked;
    if (enough || workers.size() == kMaxAdviceWorkers) break;
    workers.push_back(candidate.room->session->info.id);
    expected += static_cast<double>(fitting(candidate)) *
                (known(candidate) ? 1.0 : share);
  }
  return workers;
}

std::vector<Candidate> Dispatcher::GangCandidates(const Unit& unit,
                                                  std::vector<Room>* rooms,
                                                  Instant now) const {
  std::vector<Candidate> candidates = this->Candidates(unit, rooms, now);
  if (!unit.queue->advice) return candidates;
  const StepAdvice* advice = this->context->advice->Find(unit.ref);
  if (advice == nullptr) return {};
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return !advice->permitted.contains(candidate.room->session->info.id);
  });
  return candidates;
}

void Dispatcher::HoldForGang(const Unit& unit, std::vector<Room>* rooms,
                             Instant now) {
  std::vector<Candidate> candidates = this->GangCandidates(unit, rooms, now);
  HoldRooms(*unit.step, static_cast<std::int64_t>(unit.tasks.size()),
            candidates, now);
}

}  // namespace mustardproxy::jobs
