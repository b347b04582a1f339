#include "ledger/worker_table.h"

#include <algorithm>
#include <utility>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// Steps per part of a size key.
constexpr double kSizeSteps = 4096;

double UnitOf(std::int64_t whole) {
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

WorkerEntry& WorkerTable::Edit(WorkerIndex worker) {
  return this->entries[worker];
}

std::span<const CapacityClass> WorkerTable::Classes() const {
  return this->classes;
}

std::span<const WorkerIndex> WorkerTable::HeldWorkers() const {
  return this->held;
}

const RoomTable& WorkerTable::Rooms() const { return this->rooms; }

const FreeCapacityIndex& WorkerTable::BySize() const { return this->by_size; }

const Resources& WorkerTable::TotalCapacity() const {
  return this->total_capacity;
}

const Resources& WorkerTable::LargestCapacity() const {
  return this->largest_capacity;
}

const Resources& WorkerTable::TotalFree() const { return this->total_free; }

const Resources& WorkerTable::Free(WorkerIndex worker) const {
  return this->counted[worker].free;
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
    this->counted.emplace_back();
  }
  const WorkerIndex worker = this->unused.back();
  this->unused.pop_back();
  this->by_id.emplace(entry.id, worker);
  this->counted[worker] = Counted{};
  this->counted[worker].rack = this->RackOf(entry.rack);
  this->racks[this->counted[worker].rack].workers.push_back(worker);
  this->entries[worker] = std::move(entry);
  this->rooms.Set(worker, {});
  this->by_size.Insert({0, worker}, {});
  this->CountCapacity(this->entries[worker].capacity, 1);
  this->Refresh(worker);
}

void WorkerTable::Remove(WorkerIndex worker) {
  WorkerEntry& entry = this->entries[worker];
  this->Hold(worker, {});
  entry.open = false;
  this->Refresh(worker);
  this->rooms.Clear(worker);
  this->by_size.Erase({this->counted[worker].size_key, worker});
  std::erase(this->racks[this->counted[worker].rack].workers, worker);
  this->by_id.erase(entry.id);
  const Resources capacity = entry.capacity;
  entry = WorkerEntry{};
  this->unused.push_back(worker);
  this->CountCapacity(capacity, -1);
}

void WorkerTable::CountCapacity(const Resources& capacity,
                                std::int64_t workers) {
  auto found =
      std::ranges::find(this->classes, capacity, &CapacityClass::capacity);
  if (found == this->classes.end()) {
    found = this->classes.insert(found, {capacity, 0});
  }
  found->workers += workers;
  if (found->workers == 0) this->classes.erase(found);
  this->total_capacity += Times(capacity, workers);
  Resources largest;
  for (const CapacityClass& kind : this->classes) {
    largest = ComponentMax(largest, kind.capacity);
  }
  if (largest == this->largest_capacity) return;
  this->largest_capacity = largest;
  this->scale = {UnitOf(largest.cpu_milli), UnitOf(largest.memory_mb),
                 UnitOf(largest.accelerators), UnitOf(largest.slots)};
  this->RebuildSizeIndex();
}

void WorkerTable::RebuildSizeIndex() {
  this->by_size.Clear();
  for (const auto& [id, worker] : this->by_id) {
    Counted& known = this->counted[worker];
    known.size_key = this->SizeKey(known.unheld);
    this->by_size.Insert({known.size_key, worker},
                         PackedRoom::Pack(known.unheld));
  }
}

void WorkerTable::Refresh(WorkerIndex worker) {
  Counted& known = this->counted[worker];
  const WorkerEntry& entry = this->entries[worker];
  const Resources free = entry.Free();
  const Resources change = free - known.free;
  this->total_free += change;
  this->racks[known.rack].free += change;
  known.free = free;
  const std::int64_t room = CountFitting(this->tracked, free);
  this->tracked_fit_count += room - known.tracked_fit_count;
  known.tracked_fit_count = room;
  this->Reindex(worker, ClampToZero(free - entry.held));
}

void WorkerTable::Reindex(WorkerIndex worker, const Resources& unheld) {
  Counted& known = this->counted[worker];
  if (unheld == known.unheld) return;
  const PackedRoom room = PackedRoom::Pack(unheld);
  const IndexKey from{known.size_key, worker};
  known.unheld = unheld;
  known.size_key = this->SizeKey(unheld);
  this->rooms.Set(worker, room);
  this->by_size.Move(from, {known.size_key, worker}, room);
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
    Counted& known = this->counted[worker];
    known.tracked_fit_count = CountFitting(task, known.free);
    this->tracked_fit_count += known.tracked_fit_count;
  }
}

}  // namespace mustardproxy::detail
