#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_TABLE_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "ledger/free_capacity_index.h"
#include "ledger/free_resources_table.h"
#include "ledger/worker_entry.h"
#include "mustardproxy/core/resources.h"

namespace mustardproxy::detail {

/// Workers of one rack.
struct Rack {
  RackId id;
  std::vector<WorkerIndex> workers;
  /// Free on those of them that take new work.
  Resources free;
};

/// How many open workers have one capacity. A cell has few such kinds.
struct CapacityClass {
  Resources capacity;
  std::int64_t workers = 0;
};

/// What one unit of each part is of the largest capacity; zero for a part that
/// no worker has. Divisions are done once, when the largest capacity changes.
struct CapacityScale {
  double cpu = 0;
  double memory = 0;
  double accelerators = 0;
  double slots = 0;
};

/// Open workers with everything derived from them: indexes over free
/// resources, sums, racks. Derived values are brought up to date in one place,
/// `Refresh`, by the difference to what was indexed last.
class WorkerTable {
 public:
  /// Adds an open worker, which must not be known yet.
  void Add(WorkerEntry entry);
  void Remove(WorkerIndex worker);
  [[nodiscard]] std::optional<WorkerIndex> Find(const WorkerId& worker) const;
  [[nodiscard]] const WorkerEntry& At(WorkerIndex worker) const;
  /// Changes to the entry count once `Refresh` has been called for it.
  [[nodiscard]] WorkerEntry& MutableAt(WorkerIndex worker);
  void Refresh(WorkerIndex worker);
  /// Sets what is held back there for a gang.
  void Hold(WorkerIndex worker, const Resources& resources);
  void ClearHolds();
  /// Counts from now on how many tasks of this size fit.
  void TrackFitCount(const Resources& task);

  [[nodiscard]] std::size_t Size() const { return this->by_id.size(); }
  [[nodiscard]] std::span<const Rack> Racks() const { return this->racks; }
  [[nodiscard]] std::span<const CapacityClass> Classes() const;
  [[nodiscard]] std::span<const WorkerIndex> HeldWorkers() const;
  /// Free without holds, in the fixed order of the table.
  [[nodiscard]] const FreeResourcesTable& FreeTable() const;
  /// Free without holds, by `SizeKey`.
  [[nodiscard]] const FreeCapacityIndex& BySize() const;
  [[nodiscard]] const Resources& TotalCapacity() const;
  [[nodiscard]] const Resources& LargestCapacity() const;
  [[nodiscard]] const Resources& TotalFree() const;
  [[nodiscard]] const Resources& Free(WorkerIndex worker) const;
  [[nodiscard]] const Resources& TrackedTask() const { return this->tracked; }
  [[nodiscard]] std::int64_t TrackedFitCount() const {
    return this->tracked_fit_count;
  }
  /// @return one number for the size of an amount, relative to the largest
  ///   capacity; no part can grow without it growing or staying
  [[nodiscard]] std::uint32_t SizeKey(const Resources& resources) const;
  [[nodiscard]] const CapacityScale& Scale() const { return this->scale; }

 private:
  /// What was last indexed of a worker.
  struct IndexedState {
    Resources free;
    Resources available;
    std::uint32_t size_key = 0;
    std::int64_t tracked_fit_count = 0;
    RackIndex rack = 0;
  };

  [[nodiscard]] RackIndex RackOf(const RackId& rack);
  void AdjustCapacity(const Resources& capacity, std::int64_t workers);
  void Reindex(WorkerIndex worker, const Resources& available);
  void RebuildSizeIndex();

  std::vector<WorkerEntry> entries;
  std::vector<IndexedState> indexed;
  std::vector<WorkerIndex> unused;
  std::unordered_map<WorkerId, WorkerIndex> by_id;
  std::vector<Rack> racks;
  std::unordered_map<RackId, RackIndex> rack_by_id;
  std::vector<CapacityClass> classes;
  std::vector<WorkerIndex> held;
  FreeResourcesTable free_table;
  FreeCapacityIndex by_size;
  Resources total_capacity;
  Resources largest_capacity;
  CapacityScale scale;
  Resources total_free;
  Resources tracked;
  std::int64_t tracked_fit_count = 0;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_WORKER_TABLE_H_
