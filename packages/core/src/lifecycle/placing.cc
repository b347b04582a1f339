#include "lifecycle/placing.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {

namespace {

/// Maximum number of tasks placed per event; bounds the delay of other events.
constexpr std::size_t kPlacementLimit = 64;
constexpr Duration kVictimInterval = std::chrono::milliseconds(5);
/// Maximum number of workers that one request avoids.
constexpr std::size_t kMaxAvoided = 8;

/// @return the leading placements that belong to the same request; placements
///   of one request are adjacent
std::span<const Placement> FirstRequest(std::span<const Placement> placements) {
  std::size_t count = 1;
  while (count < placements.size() &&
         placements[count].request == placements.front().request) {
    ++count;
  }
  return placements.first(count);
}

}  // namespace

Admission Placing::Enqueue(const ActiveRequest& entry,
                           Instant placement_deadline) {
  const Instant now = this->parts->context.now;
  if (this->parts->ledger.WorkerCount() == 0) {
    return {Error::kNoWorker, "this entry process owns no worker",
            this->parts->scheduler.RetryAfter(now)};
  }
  QueuedRequest queued;
  queued.request = entry.request.id;
  queued.service = entry.request.service;
  queued.team = entry.request.team;
  queued.arrived = entry.arrived;
  queued.placement_deadline = placement_deadline;
  queued.attempt = entry.last_attempt + 1;
  queued.avoid = entry.avoid;
  return this->parts->scheduler.Enqueue(now, this->parts->ledger,
                                        std::move(queued));
}

void Placing::Run() {
  const std::vector<Placement> placed = this->parts->scheduler.Schedule(
      this->parts->context.now, &this->parts->ledger, kPlacementLimit);
  this->more_to_place = placed.size() >= kPlacementLimit;
  std::span<const Placement> left = placed;
  while (!left.empty()) {
    const std::span<const Placement> together = FirstRequest(left);
    left = left.subspan(together.size());
    if (this->parts->deferred.Find(together.front().request) != nullptr) {
      this->parts->deferred.OnPlaced(together);
    } else {
      this->parts->requests.OnPlaced(together);
    }
  }
}

void Placing::Expire() {
  for (const RequestId& request :
       this->parts->scheduler.Expire(this->parts->context.now)) {
    if (this->parts->deferred.Find(request) != nullptr) {
      this->parts->deferred.OnExpired(request);
    } else {
      this->parts->requests.OnExpired(request);
    }
  }
}

void Placing::ChooseVictims() {
  if (this->parts->scheduler.QueuedCount() == 0 ||
      this->parts->context.now < this->next_victims) {
    return;
  }
  this->next_victims = this->parts->context.now + kVictimInterval;
  for (const Preemption& victim : this->parts->scheduler.ChooseVictims(
           this->parts->context.now, this->parts->ledger)) {
    if (this->parts->deferred.Find(victim.request) != nullptr) {
      this->parts->deferred.OnPreempted(victim);
    } else {
      this->parts->requests.OnPreempted(victim);
    }
  }
}

void Placing::ReleasePlacements(std::span<const Placement> placements) {
  for (const Placement& placement : placements) {
    this->parts->scheduler.OnTaskEnded(
        this->parts->context.now, &this->parts->ledger, placement.task, false);
  }
}

TaskPlan Placing::Plan(const Placement& placement, const ServiceId& service,
                       Duration max_run, bool detached) {
  TaskPlan plan;
  plan.task = placement.task;
  plan.request = placement.request;
  plan.service = service;
  plan.worker = placement.worker;
  plan.resources = placement.resources;
  plan.max_run = max_run;
  plan.detached = detached;
  const std::optional<OwnedWorker> owned = this->parts->ownership.OwnedForStart(
      this->parts->context.now, placement.worker);
  if (owned) {
    plan.epoch = owned->epoch;
    plan.worker_incarnation = owned->incarnation;
  } else {
    this->parts->workers.Suspend(placement.worker);
  }
  this->parts->tasks.Plan(plan);
  return plan;
}

void Placing::Watch(const StartedRecord& started, const Request& request) {
  const auto terms =
      TermsOf(this->parts->context.configuration, request.service);
  TaskPlan plan;
  plan.task = started.task;
  plan.request = started.request;
  plan.service = request.service;
  plan.worker = started.worker;
  plan.epoch = started.epoch;
  plan.worker_incarnation = started.worker_incarnation;
  plan.max_run = terms ? terms->max_run : Duration{0};
  plan.detached = true;
  this->parts->tasks.Watch(std::move(plan));
}

void Placing::Avoid(std::vector<WorkerId>* avoid,
                    std::span<const WorkerId> failed) const {
  for (const WorkerId& worker : failed) {
    std::erase(*avoid, worker);
    avoid->push_back(worker);
  }
  const std::size_t most =
      std::min(kMaxAvoided, this->parts->ledger.WorkerCount() / 2);
  while (avoid->size() > std::max<std::size_t>(most, 1)) {
    avoid->erase(avoid->begin());
  }
}

void Placing::RecordHealth(const TaskUpdate& update, const ServiceId& service) {
  const Instant now = this->parts->context.now;
  const bool failed = update.kind == TaskUpdate::Kind::kEnded &&
                      update.ended.end == TaskEnd::kFailed;
  const bool fine = update.kind == TaskUpdate::Kind::kEnded &&
                    update.ended.end == TaskEnd::kFinished;
  if (failed || update.unreachable) {
    this->parts->health.OnFailure(now, update.worker, service, update.request);
    this->health_changed = true;
  } else if (fine) {
    this->parts->health.OnSuccess(now, update.worker, service);
  }
}

void Placing::RecordWait(const ProfileId& profile, Instant arrived) {
  RecordSample sample;
  sample.profile = profile;
  sample.value = (this->parts->context.now - arrived).count();
  this->parts->context.Emit(std::move(sample));
}

Instant Placing::NextWakeup() const {
  if (this->more_to_place) {
    return this->parts->context.now;
  }
  Instant next = this->parts->scheduler.NextWakeup().value_or(Instant::max());
  if (this->parts->scheduler.QueuedCount() > 0) {
    next = std::min(next, this->next_victims);
  }
  return next;
}

}  // namespace mustardproxy::detail
