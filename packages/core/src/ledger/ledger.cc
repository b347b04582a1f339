#include "mustardproxy/core/ledger.h"

#include <algorithm>
#include <utility>

#include "ledger/gang_plan.h"
#include "ledger/packed_resources.h"
#include "ledger/packing_policy.h"
#include "ledger/worker_table.h"
#include "mustardproxy/core/gang_search.h"
#include "mustardproxy/core/resource_math.h"

namespace mustardproxy {

using detail::WorkerEntry;
using detail::WorkerIndex;

namespace {

/// Upper limit of a reported capacity; prevents overflow of the sums if a
/// worker reports absurd values.
constexpr Resources kMaxCapacity{detail::kMaxComponent, detail::kMaxComponent,
                                 detail::kMaxComponent, detail::kMaxComponent};

}  // namespace

struct Ledger::State {
  detail::WorkerTable table;

  [[nodiscard]] Resources Available(WorkerIndex worker, HoldPolicy holds) const;
  [[nodiscard]] std::vector<WorkerId> WorkerIds(
      std::span<const WorkerIndex> workers) const;
};

Resources Ledger::State::Available(WorkerIndex worker, HoldPolicy holds) const {
  const Resources& free = this->table.Free(worker);
  if (holds == HoldPolicy::kIgnore) return free;
  return ClampToZero(free - this->table.At(worker).held);
}

std::vector<WorkerId> Ledger::State::WorkerIds(
    std::span<const WorkerIndex> workers) const {
  std::vector<WorkerId> names;
  names.reserve(workers.size());
  for (const WorkerIndex worker : workers) {
    names.push_back(this->table.At(worker).id);
  }
  return names;
}

Ledger::Ledger() : state(std::make_unique<State>()) {}
Ledger::~Ledger() = default;
Ledger::Ledger(Ledger&&) noexcept = default;
Ledger& Ledger::operator=(Ledger&&) noexcept = default;

void Ledger::AddWorker(const WorkerDescription& worker,
                       const WorkerReport& report) {
  this->RemoveWorker(worker.id);
  WorkerEntry entry;
  entry.id = worker.id;
  entry.rack = worker.rack;
  entry.capacity = ComponentMin(ClampToZero(report.capacity), kMaxCapacity);
  entry.registered = true;
  entry.placeable = !worker.leaving;
  for (const RunningTask& task : report.running) {
    entry.AddTask(task.task, task.resources);
  }
  this->state->table.Add(std::move(entry));
}

void Ledger::RemoveWorker(const WorkerId& worker) {
  const auto found = this->state->table.Find(worker);
  if (found) this->state->table.Remove(*found);
}

void Ledger::SetPlaceable(const WorkerId& worker, bool placeable,
                          double share) {
  const auto found = this->state->table.Find(worker);
  if (!found) return;
  WorkerEntry& entry = this->state->table.MutableAt(*found);
  entry.placeable = placeable;
  entry.share = share;
  this->state->table.Refresh(*found);
}

bool Ledger::Reserve(const WorkerId& worker, const TaskId& task,
                     const Resources& resources) {
  const auto found = this->state->table.Find(worker);
  if (!found) return false;
  WorkerEntry& entry = this->state->table.MutableAt(*found);
  if (!entry.placeable) return false;
  if (!resources.FitsIn(this->state->table.Free(*found))) return false;
  if (!entry.AddTask(task, resources)) return false;
  this->state->table.Refresh(*found);
  return true;
}

void Ledger::Release(const WorkerId& worker, const TaskId& task) {
  const auto found = this->state->table.Find(worker);
  if (!found) return;
  this->state->table.MutableAt(*found).RemoveTask(task);
  this->state->table.Refresh(*found);
}

void Ledger::Reconcile(const WorkerId& worker,
                       std::span<const RunningTask> running) {
  const auto found = this->state->table.Find(worker);
  if (!found) return;
  WorkerEntry& entry = this->state->table.MutableAt(*found);
  for (const RunningTask& task : running)
    entry.AddTask(task.task, task.resources);
  this->state->table.Refresh(*found);
}

std::optional<WorkerId> Ledger::Find(const Resources& resources,
                                     Packing packing,
                                     std::span<const WorkerId> avoid,
                                     HoldPolicy holds) const {
  const detail::WorkerTable& table = this->state->table;
  const auto found =
      detail::PolicyFor(packing).Choose(table, {resources, avoid});
  if (found) return table.At(*found).id;
  if (holds == HoldPolicy::kRespect) return std::nullopt;
  for (const WorkerIndex worker : table.HeldWorkers()) {
    const WorkerEntry& entry = table.At(worker);
    if (!entry.placeable || !resources.FitsIn(table.Free(worker))) continue;
    if (detail::IsAllowed(table, worker, avoid)) return entry.id;
  }
  return std::nullopt;
}

std::vector<WorkerId> Ledger::FindGang(const Resources& resources,
                                       std::int32_t tasks, Packing packing,
                                       std::span<const WorkerId> avoid,
                                       HoldPolicy holds) const {
  const detail::WorkerTable& table = this->state->table;
  if (CountFitting(resources, table.TotalFree()) < tasks) return {};
  std::vector<GangCandidate> candidates;
  for (detail::RackIndex rack = 0; rack < table.Racks().size(); ++rack) {
    for (const WorkerIndex worker : table.Racks()[rack].workers) {
      const WorkerEntry& entry = table.At(worker);
      if (!entry.placeable || !detail::IsAllowed(table, worker, avoid))
        continue;
      const std::int64_t fitting_tasks =
          CountFitting(resources, this->state->Available(worker, holds));
      if (fitting_tasks > 0)
        candidates.push_back({worker, rack, fitting_tasks});
    }
  }
  return this->state->WorkerIds(PlaceGang(candidates, tasks, packing));
}

std::optional<GangPlan> Ledger::PlanGang(
    const Resources& resources, std::int32_t tasks, Packing packing,
    std::span<const WorkerId> avoid, Instant now,
    std::span<const ExpectedRelease> releases) const {
  return detail::PlanGang(this->state->table,
                          {resources, tasks, packing, avoid, now}, releases);
}

void Ledger::Hold(const WorkerId& worker, const Resources& resources) {
  const auto found = this->state->table.Find(worker);
  if (found) this->state->table.Hold(*found, resources);
}

void Ledger::ClearHolds() { this->state->table.ClearHolds(); }

Resources Ledger::HeldResources(const WorkerId& worker) const {
  const auto found = this->state->table.Find(worker);
  return found ? this->state->table.At(*found).held : Resources{};
}

void Ledger::TrackFitCount(const Resources& task) {
  this->state->table.TrackFitCount(task);
}

std::int64_t Ledger::TrackedFitCount() const {
  return this->state->table.TrackedFitCount();
}

std::int64_t Ledger::TrackedFitCountWithout(const WorkerId& worker,
                                            const Resources& resources) const {
  const detail::WorkerTable& table = this->state->table;
  const auto found = table.Find(worker);
  if (!found) return table.TrackedFitCount();
  const Resources& free = table.Free(*found);
  const Resources& task = table.TrackedTask();
  const std::int64_t before = CountFitting(task, free);
  const std::int64_t after = CountFitting(task, free - resources);
  return table.TrackedFitCount() - before + after;
}

bool Ledger::CouldEverFit(const Resources& resources) const {
  return std::ranges::any_of(this->state->table.Classes(),
                             [&resources](const detail::CapacityClass& kind) {
                               return resources.FitsIn(kind.capacity);
                             });
}

std::int64_t Ledger::CountFittingWhenIdle(const Resources& resources) const {
  std::int64_t fitting_tasks = 0;
  for (const detail::CapacityClass& kind : this->state->table.Classes()) {
    fitting_tasks += kind.workers * CountFitting(resources, kind.capacity);
  }
  return fitting_tasks;
}

Resources Ledger::LargestCapacity() const {
  return this->state->table.LargestCapacity();
}

Resources Ledger::TotalCapacity() const {
  return this->state->table.TotalCapacity();
}

Resources Ledger::TotalFree() const { return this->state->table.TotalFree(); }

Resources Ledger::LargestFree() const {
  const detail::WorkerTable& table = this->state->table;
  Resources largest = table.FreeTable().Largest().Unpack();
  for (const WorkerIndex worker : table.HeldWorkers()) {
    largest = ComponentMax(largest, table.Free(worker));
  }
  return largest;
}

std::optional<Resources> Ledger::FreeOn(const WorkerId& worker) const {
  const auto found = this->state->table.Find(worker);
  if (!found) return std::nullopt;
  return this->state->table.Free(*found);
}

std::size_t Ledger::WorkerCount() const { return this->state->table.Size(); }

}  // namespace mustardproxy
