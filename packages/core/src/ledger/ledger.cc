#include "mustardproxy/core/ledger.h"

#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "ledger/resource_math.h"
#include "ledger/worker_entry.h"

namespace mustardproxy {

using detail::WorkerEntry;
using detail::WorkerIndex;

struct Ledger::State {
  std::vector<WorkerEntry> workers;
  std::unordered_map<WorkerId, WorkerIndex> by_id;
  std::vector<WorkerIndex> unused;

  WorkerEntry* Entry(const WorkerId& worker);
  [[nodiscard]] const WorkerEntry* Entry(const WorkerId& worker) const;
  WorkerEntry* Add(const WorkerId& worker);
  static void Take(WorkerEntry* entry, const TaskId& task,
                   const Resources& resources);
};

WorkerEntry* Ledger::State::Entry(const WorkerId& worker) {
  const auto found = this->by_id.find(worker);
  return found == this->by_id.end() ? nullptr : &this->workers[found->second];
}

const WorkerEntry* Ledger::State::Entry(const WorkerId& worker) const {
  const auto found = this->by_id.find(worker);
  return found == this->by_id.end() ? nullptr : &this->workers[found->second];
}

WorkerEntry* Ledger::State::Add(const WorkerId& worker) {
  if (this->unused.empty()) {
    this->unused.push_back(static_cast<WorkerIndex>(this->workers.size()));
    this->workers.emplace_back();
  }
  const WorkerIndex index = this->unused.back();
  this->unused.pop_back();
  this->by_id.emplace(worker, index);
  return &this->workers[index];
}

void Ledger::State::Take(WorkerEntry* entry, const TaskId& task,
                         const Resources& resources) {
  if (!entry->tasks.emplace(task, resources).second) return;
  entry->used += resources;
}

Ledger::Ledger() : state(std::make_unique<State>()) {}
Ledger::~Ledger() = default;
Ledger::Ledger(Ledger&&) noexcept = default;
Ledger& Ledger::operator=(Ledger&&) noexcept = default;

void Ledger::Open(const WorkerDescription& worker, const WorkerReport& report) {
  this->Close(worker.id);
  WorkerEntry* entry = this->state->Add(worker.id);
  *entry = WorkerEntry{};
  entry->id = worker.id;
  entry->rack = worker.rack;
  entry->capacity = report.capacity;
  entry->open = true;
  entry->placeable = !worker.leaving;
  for (const RunningTask& task : report.running) {
    State::Take(entry, task.task, task.resources);
  }
}

void Ledger::Close(const WorkerId& worker) {
  const auto found = this->state->by_id.find(worker);
  if (found == this->state->by_id.end()) return;
  this->state->workers[found->second] = WorkerEntry{};
  this->state->unused.push_back(found->second);
  this->state->by_id.erase(found);
}

void Ledger::SetPlaceable(const WorkerId& worker, bool placeable,
                          double share) {
  WorkerEntry* entry = this->state->Entry(worker);
  if (entry == nullptr) return;
  entry->placeable = placeable;
  entry->share = share;
}

bool Ledger::Reserve(const WorkerId& worker, const TaskId& task,
                     const Resources& resources) {
  WorkerEntry* entry = this->state->Entry(worker);
  if (entry == nullptr || entry->tasks.contains(task)) return false;
  if (!entry->placeable || !resources.FitsIn(entry->Free())) return false;
  State::Take(entry, task, resources);
  return true;
}

void Ledger::Free(const WorkerId& worker, const TaskId& task) {
  WorkerEntry* entry = this->state->Entry(worker);
  if (entry == nullptr) return;
  const auto found = entry->tasks.find(task);
  if (found == entry->tasks.end()) return;
  entry->used -= found->second;
  entry->tasks.erase(found);
}

void Ledger::Reconcile(const WorkerId& worker,
                       std::span<const RunningTask> running) {
  WorkerEntry* entry = this->state->Entry(worker);
  if (entry == nullptr) return;
  for (const RunningTask& task : running) {
    State::Take(entry, task.task, task.resources);
  }
}

std::optional<WorkerId> Ledger::Find(const Resources& resources,
                                     Packing packing,
                                     std::span<const WorkerId> avoid) const {
  const WorkerEntry* best = nullptr;
  double best_left = 0;
  for (const WorkerEntry& entry : this->state->workers) {
    if (!entry.open || !entry.placeable) continue;
    if (!resources.FitsIn(entry.Free())) continue;
    if (std::ranges::find(avoid, entry.id) != avoid.end()) continue;
    if (packing == Packing::kFirstFit) return entry.id;
    double left =
        detail::DominantShare(entry.Free() - resources, entry.capacity);
    if (packing == Packing::kSpread) left = -left;
    if (best != nullptr && left >= best_left) continue;
    best = &entry;
    best_left = left;
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

std::vector<WorkerId> Ledger::FindGang(const Resources& resources,
                                       std::int32_t tasks, Packing /*packing*/,
                                       std::span<const WorkerId> avoid) const {
  std::vector<const WorkerEntry*> order;
  std::unordered_map<RackId, std::int64_t> room;
  for (const WorkerEntry& entry : this->state->workers) {
    if (!entry.open || !entry.placeable) continue;
    if (std::ranges::find(avoid, entry.id) != avoid.end()) continue;
    order.push_back(&entry);
    room[entry.rack] += detail::CountFitting(resources, entry.Free());
  }
  std::ranges::stable_sort(order,
                           [&room](const WorkerEntry* a, const WorkerEntry* b) {
                             if (room[a->rack] != room[b->rack])
                               return room[a->rack] > room[b->rack];
                             return a->rack < b->rack;
                           });
  std::vector<WorkerId> gang;
  for (const WorkerEntry* entry : order) {
    std::int64_t count = detail::CountFitting(resources, entry->Free());
    for (; count > 0 && std::ssize(gang) < tasks; --count) {
      gang.push_back(entry->id);
    }
  }
  if (std::ssize(gang) < tasks) gang.clear();
  return gang;
}

bool Ledger::CouldEverFit(const Resources& resources) const {
  return std::ranges::any_of(
      this->state->workers, [&resources](const WorkerEntry& entry) {
        return entry.open && resources.FitsIn(entry.capacity);
      });
}

std::int64_t Ledger::EmptyRoomFor(const Resources& resources) const {
  std::int64_t room = 0;
  for (const WorkerEntry& entry : this->state->workers) {
    if (entry.open) room += detail::CountFitting(resources, entry.capacity);
  }
  return room;
}

Resources Ledger::LargestCapacity() const {
  Resources largest;
  for (const WorkerEntry& entry : this->state->workers) {
    largest = detail::MaxParts(largest, entry.capacity);
  }
  return largest;
}

Resources Ledger::TotalCapacity() const {
  Resources total;
  for (const WorkerEntry& entry : this->state->workers) total += entry.capacity;
  return total;
}

Resources Ledger::TotalFree() const {
  Resources total;
  for (const WorkerEntry& entry : this->state->workers) total += entry.Free();
  return total;
}

Resources Ledger::LargestFree() const {
  Resources largest;
  for (const WorkerEntry& entry : this->state->workers) {
    largest = detail::MaxParts(largest, entry.Free());
  }
  return largest;
}

std::optional<Resources> Ledger::FreeOn(const WorkerId& worker) const {
  const WorkerEntry* entry = this->state->Entry(worker);
  if (entry == nullptr) return std::nullopt;
  return entry->Free();
}

std::size_t Ledger::WorkerCount() const { return this->state->by_id.size(); }

}  // namespace mustardproxy
