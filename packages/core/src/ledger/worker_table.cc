#include "ledger/worker_table.h"

#include <algorithm>
#include <utility>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// Resolution of a size key: steps per component.
constexpr double kSizeSteps = 4096;

double Reciprocal(std::int64_t whole) {
  return whole <= 0 ? 0.0 : 1.0 / static_cast<double>(whole);
}

}  // namespace

std::optional<WorkerIndex> WorkerTable::Find(const WorkerId& worker) const {
  const auto found = this->by_id.find(worker);
  if (found == this->by_id.end()) return std::nullopt;
  return found->second;
}

const WorkerEntry& WorkerTable::At(WorkerIndex worker) const {
  return this->entries[worker];
}

WorkerEntry& WorkerTable::MutableAt(WorkerIndex worker) {
  return this->entries[worker];
}

std::span<const CapacityClass> WorkerTable::Classes() const {
  return this->classes;
}

std::span<const WorkerIndex> WorkerTable::HeldWorkers() const {
  return this->held;
}

const FreeResourcesTable& WorkerTable::FreeTable() const {
  return this->free_table;
}

const FreeCapacityIndex& WorkerTable::BySize() const { return this->by_size; }

const Resources& WorkerTable::TotalCapacity() const {
  return this->total_capacity;
}

const Resources& WorkerTable::LargestCapacity() const {
  return this->largest_capacity;
}

const Resources& WorkerTable::TotalFree() const { return this->total_free; }

const Resources& WorkerTable::Free(WorkerIndex worker) const {
  return this->indexed[worker].free;
}

std::uint32_t WorkerTable::SizeKey(const Resources& resources) const {
  const double size =
      static_cast<double>(resources.cpu_milli) * this->scale.cpu +
      static_cast<double>(resources.memory_mb) * this->scale.memory +
      static_cast<double>(resources.accelerators) * this->scale.accelerators +
      static_cast<double>(resources.slots) * this->scale.slots;
  return static_cast<std::uint32_t>(size * kSizeSteps);
}

RackIndex WorkerTable::RackOf(const RackId& rack) {
  const auto next = static_cast<RackIndex>(this->racks.size());
  const auto [found, added] = this->rack_by_id.emplace(rack, next);
  if (added) this->racks.push_back({rack, {}, {}});
  return found->second;
}

void WorkerTable::Add(WorkerEntry entry) {
  if (this->unused.empty()) {
    this->unused.push_back(static_cast<WorkerIndex>(this->entries.size()));
    this->entries.emplace_back();
    this->indexed.emplace_back();
  }
  const WorkerIndex worker = this->unused.back();
  this->unused.pop_back();
  this->by_id.emplace(entry.id, worker);
  this->indexed[worker] = IndexedState{};
  this->indexed[worker].rack = this->RackOf(entry.rack);
  this->racks[this->indexed[worker].rack].workers.push_back(worker);
  this->entries[worker] = std::move(entry);
  this->free_table.Set(worker, {});
  this->by_size.Insert({0, worker}, {});
  this->AdjustCapacity(this->entries[worker].capacity, 1);
  this->Refresh(worker);
}

void WorkerTable::Remove(WorkerIndex worker) {
  WorkerEntry& entry = this->entries[worker];
  this->Hold(worker, {});
  entry.registered = false;
  this->Refresh(worker);
  this->free_table.Clear(worker);
  this->by_size.Erase({this->indexed[worker].size_key, worker});
  std::erase(this->racks[this->indexed[worker].rack].workers, worker);
  this->by_id.erase(entry.id);
  const Resources capacity = entry.capacity;
  entry = WorkerEntry{};
  this->unused.push_back(worker);
  this->AdjustCapacity(capacity, -1);
}

void WorkerTable::AdjustCapacity(const Resources& capacity,
                                 std::int64_t workers) {
  auto found =
      std::ranges::find(this->classes, capacity, &CapacityClass::capacity);
  if (found == this->classes.end()) {
    found = this->classes.insert(found, {capacity, 0});
  }
  found->workers += workers;
  if (found->workers == 0) this->classes.erase(found);
  this->total_capacity += Multiply(capacity, workers);
  Resources largest;
  for (const CapacityClass& kind : this->classes) {
    largest = ComponentMax(largest, kind.capacity);
  }
  if (largest == this->largest_capacity) return;
  this->largest_capacity = largest;
  this->scale = {Reciprocal(largest.cpu_milli), Reciprocal(largest.memory_mb),
                 Reciprocal(largest.accelerators), Reciprocal(largest.slots)};
  this->RebuildSizeIndex();
}

void WorkerTable::RebuildSizeIndex() {
  this->by_size.Clear();
  for (const auto& [id, worker] : this->by_id) {
    IndexedState& state = this->indexed[worker];
    state.size_key = this->SizeKey(state.available);
    this->by_size.Insert({state.size_key, worker},
                         PackedResources::Pack(state.available));
  }
}

void WorkerTable::Refresh(WorkerIndex worker) {
  IndexedState& state = this->indexed[worker];
  const WorkerEntry& entry = this->entries[worker];
  const Resources free = entry.Free();
  const Resources change = free - state.free;
  this->total_free += change;
  this->racks[state.rack].free += change;
  state.free = free;
  const std::int64_t fit_count = CountFitting(this->tracked, free);
  this->tracked_fit_count += fit_count - state.tracked_fit_count;
  state.tracked_fit_count = fit_count;
  this->Reindex(worker, ClampToZero(free - entry.held));
}

void WorkerTable::Reindex(WorkerIndex worker, const Resources& available) {
  IndexedState& state = this->indexed[worker];
  if (available == state.available) return;
  const PackedResources packed = PackedResources::Pack(available);
  const IndexKey from{state.size_key, worker};
  state.available = available;
  state.size_key = this->SizeKey(available);
  this->free_table.Set(worker, packed);
  this->by_size.Move(from, {state.size_key, worker}, packed);
}

void WorkerTable::Hold(WorkerIndex worker, const Resources& resources) {
  WorkerEntry& entry = this->entries[worker];
  if (entry.held == resources) return;
  const bool was_held = entry.held != Resources{};
  const bool is_held = resources != Resources{};
  entry.held = resources;
  if (is_held && !was_held) this->held.push_back(worker);
  if (was_held && !is_held) std::erase(this->held, worker);
  this->Refresh(worker);
}

void WorkerTable::ClearHolds() {
  while (!this->held.empty()) this->Hold(this->held.back(), {});
}

void WorkerTable::TrackFitCount(const Resources& task) {
  if (task == this->tracked) return;
  this->tracked = task;
  this->tracked_fit_count = 0;
  for (const auto& [id, worker] : this->by_id) {
    IndexedState& state = this->indexed[worker];
    state.tracked_fit_count = CountFitting(task, state.free);
    this->tracked_fit_count += state.tracked_fit_count;
  }
}

}  // namespace mustardproxy::detail
