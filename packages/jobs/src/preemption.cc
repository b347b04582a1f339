#include "preemption.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::jobs {
namespace {

/// Weights of lost work by the value that the job still has to its caller.
constexpr double kOnTimeWeight = 4.0;
constexpr double kLateWeight = 2.0;
constexpr double kExpiredWeight = 1.0;
/// Weight of a gang, which has to gather its capacity again.
constexpr double kGangWeight = 2.0;

double Weight(DeadlineStatus status) {
  switch (status) {
    case DeadlineStatus::kOnTime:
      return kOnTimeWeight;
    case DeadlineStatus::kLate:
      return kLateWeight;
    case DeadlineStatus::kExpired:
      return kExpiredWeight;
  }
  return kOnTimeWeight;
}

std::int64_t CpuMilli(const PreemptionVictim& victim) {
  std::int64_t cpu_milli = 0;
  for (const VictimMember& member : victim.members) {
    cpu_milli += member.resources.cpu_milli;
  }
  return cpu_milli;
}

/// @return the resources of a candidate on one worker
Resources ResourcesAt(const PreemptionVictim& victim, std::size_t worker) {
  Resources resources;
  for (const VictimMember& member : victim.members) {
    if (member.worker == worker) resources += member.resources;
  }
  return resources;
}

}  // namespace

Duration PreemptionVictim::Lost(Instant now) const {
  const Duration elapsed =
      std::max<Duration>(Duration::zero(), now - this->started_at);
  if (!this->checkpointing) return elapsed;
  return std::min(elapsed, kCheckpointInterval) + kRestoreTime;
}

bool PreemptionVictim::MayBeStopped(Instant now) const {
  if (this->priority <= 0 || this->long_running) return false;
  if (this->preemptions >= kMaxPreemptions) return false;
  if (this->preemptions > 0 && now < this->preempted_at + kPreemptionPause) {
    return false;
  }
  // The remaining time of an overdue run is unknown.
  const bool ends_soon =
      this->expected_end > now && this->expected_end <= now + kExpectedStopTime;
  return !ends_soon;
}

double PreemptionVictim::Cost(Instant now) const {
  // The capacity does no work while it is being freed.
  const Duration idle = this->Lost(now) + kExpectedStopTime;
  const auto cpu_milli = std::max<std::int64_t>(1, CpuMilli(*this));
  const double work = static_cast<double>(WholeMilliseconds(idle)) *
                      static_cast<double>(cpu_milli);
  return work * Weight(this->deadline_status) *
         static_cast<double>(1 + this->preemptions) *
         (this->gang ? kGangWeight : 1.0);
}

bool UrgentTasks::MayPreempt(Instant now) const {
  return now >= this->short_since + kShortageWait &&
         now + kExpectedStopTime <= this->latest_start;
}

Preemption::Preemption(Instant now, std::int64_t total_cpu_milli,
                       std::int64_t preempted_cpu_milli)
    : now(now),
      max_preempted_cpu_milli(static_cast<std::int64_t>(
          kMaxPreemptedShare * static_cast<double>(total_cpu_milli))),
      preempted_cpu_milli(preempted_cpu_milli) {}

std::size_t Preemption::AddWorker(const PreemptionWorker& worker) {
  this->available.push_back(worker.free + worker.freeing);
  this->victims_at.emplace_back();
  return this->available.size() - 1;
}

std::size_t Preemption::AddVictim(PreemptionVictim victim) {
  const std::size_t index = this->victims.size();
  if (victim.MayBeStopped(this->now)) {
    for (const VictimMember& member : victim.members) {
      std::vector<std::size_t>& there = this->victims_at[member.worker];
      if (there.empty() || there.back() != index) there.push_back(index);
    }
  }
  this->costs.push_back(victim.Cost(this->now));
  this->chosen.push_back(false);
  this->victims.push_back(std::move(victim));
  return index;
}

std::int64_t Preemption::Assign(const UrgentTasks& urgent, std::int64_t limit,
                                std::vector<std::int64_t>* taken,
                                std::vector<std::size_t>* workers) {
  std::int64_t assigned = 0;
  for (std::size_t i = 0; i < urgent.places.size(); ++i) {
    const UrgentPlace& place = urgent.places[i];
    Resources& room = this->available[place.worker];
    const std::int64_t count =
        std::min({limit - assigned, place.max_tasks - (*taken)[i],
                  CountFitting(urgent.demand, room)});
    if (count <= 0) continue;
    room -= Multiply(urgent.demand, count);
    (*taken)[i] += count;
    assigned += count;
    workers->insert(workers->end(), static_cast<std::size_t>(count),
                    place.worker);
  }
  return assigned;
}

bool Preemption::WithinShare(std::span<const std::size_t> victims) const {
  std::int64_t cpu_milli = this->preempted_cpu_milli;
  for (const std::size_t index : victims) {
    cpu_milli += CpuMilli(this->victims[index]);
  }
  const bool single = this->preempted_cpu_milli == 0 && victims.size() == 1 &&
                      !this->victims[victims.front()].gang;
  return single || cpu_milli <= this->max_preempted_cpu_milli;
}

bool Preemption::Choice::BetterThan(const std::optional<Choice>& other) const {
  if (!other || this->cost_per_task != other->cost_per_task) {
    return !other || this->cost_per_task < other->cost_per_task;
  }
  return this->tasks > other->tasks;
}

std::optional<Preemption::Choice> Preemption::ChooseAt(
    const UrgentTasks& urgent, std::size_t worker,
    std::int64_t tasks_left) const {
  std::vector<std::size_t> by_cost;
  for (const std::size_t index : this->victims_at[worker]) {
    if (!this->chosen[index]) by_cost.push_back(index);
  }
  std::stable_sort(by_cost.begin(), by_cost.end(),
                   [this](std::size_t a, std::size_t b) {
                     return this->costs[a] < this->costs[b];
                   });
  const std::int64_t fitting =
      CountFitting(urgent.demand, this->available[worker]);
  std::optional<Choice> best;
  const auto consider = [&](std::vector<std::size_t> victims) {
    Resources room = this->available[worker];
    double cost = 0;
    for (const std::size_t index : victims) {
      room += ResourcesAt(this->victims[index], worker);
      cost += this->costs[index];
    }
    const std::int64_t tasks =
        std::min(tasks_left, CountFitting(urgent.demand, room) - fitting);
    if (tasks <= 0 || !this->WithinShare(victims)) return;
    Choice choice{std::move(victims), tasks, cost / static_cast<double>(tasks)};
    if (choice.BetterThan(best)) best = std::move(choice);
  };
  for (const std::size_t index : by_cost) consider({index});
  // Several runs together, without those that the others make unnecessary.
  const Resources target = Multiply(urgent.demand, fitting + 1);
  std::vector<std::size_t> several;
  Resources room = this->available[worker];
  for (const std::size_t index : by_cost) {
    if (target.FitsIn(room)) break;
    room += ResourcesAt(this->victims[index], worker);
    several.push_back(index);
  }
  if (!target.FitsIn(room)) return best;
  for (std::size_t i = several.size(); i-- > 0;) {
    const Resources without =
        room - ResourcesAt(this->victims[several[i]], worker);
    if (!target.FitsIn(without)) continue;
    room = without;
    several.erase(several.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (several.size() > 1) consider(std::move(several));
  return best;
}

void Preemption::Take(std::size_t victim) {
  for (const VictimMember& member : this->victims[victim].members) {
    this->available[member.worker] += member.resources;
  }
  this->preempted_cpu_milli += CpuMilli(this->victims[victim]);
  this->chosen[victim] = true;
}

void Preemption::PutBack(std::size_t victim) {
  for (const VictimMember& member : this->victims[victim].members) {
    this->available[member.worker] -= member.resources;
  }
  this->preempted_cpu_milli -= CpuMilli(this->victims[victim]);
  this->chosen[victim] = false;
}

std::int64_t Preemption::CountRoom(const UrgentTasks& urgent,
                                   std::span<const std::int64_t> taken) const {
  std::int64_t room = 0;
  for (std::size_t i = 0; i < urgent.places.size(); ++i) {
    const UrgentPlace& place = urgent.places[i];
    room += std::max<std::int64_t>(
        0,
        std::min(place.max_tasks - taken[i],
                 CountFitting(urgent.demand, this->available[place.worker])));
  }
  return room;
}

void Preemption::Prune(const UrgentTasks& urgent, std::int64_t tasks,
                       std::span<const std::int64_t> taken,
                       std::vector<std::size_t>* victims) {
  std::stable_sort(victims->begin(), victims->end(),
                   [this](std::size_t a, std::size_t b) {
                     return this->costs[a] > this->costs[b];
                   });
  std::erase_if(*victims, [&](std::size_t victim) {
    this->PutBack(victim);
    if (this->CountRoom(urgent, taken) >= tasks) return true;
    this->Take(victim);
    return false;
  });
}

PreemptionPlan Preemption::Plan(const UrgentTasks& urgent) {
  const std::vector<Resources> available_before = this->available;
  PreemptionPlan plan;
  std::vector<std::int64_t> taken(urgent.places.size(), 0);
  std::int64_t left =
      urgent.tasks - this->Assign(urgent, urgent.tasks, &taken, &plan.workers);
  const std::int64_t wanted = left;
  while (left > 0 && urgent.MayPreempt(this->now)) {
    std::optional<Choice> best;
    for (std::size_t i = 0; i < urgent.places.size(); ++i) {
      const UrgentPlace& place = urgent.places[i];
      const std::int64_t fitting =
          CountFitting(urgent.demand, this->available[place.worker]);
      const std::int64_t most =
          std::min(left, place.max_tasks - taken[i] - fitting);
      if (most <= 0) continue;
      std::optional<Choice> choice = this->ChooseAt(urgent, place.worker, most);
      if (choice && choice->BetterThan(best)) best = std::move(choice);
    }
    if (!best) break;
    for (const std::size_t victim : best->victims) {
      this->Take(victim);
      plan.victims.push_back(victim);
    }
    // The room is only counted here, because a later choice may make an earlier
    // one unnecessary.
    left = wanted - std::min(wanted, this->CountRoom(urgent, taken));
  }
  if (left > 0 && urgent.gang) {
    for (const std::size_t victim : plan.victims) this->PutBack(victim);
    this->available = available_before;
    return {};
  }
  this->Prune(urgent, wanted - left, taken, &plan.victims);
  (void)this->Assign(urgent, wanted - left, &taken, &plan.workers);
  return plan;
}

}  // namespace mustardproxy::jobs
