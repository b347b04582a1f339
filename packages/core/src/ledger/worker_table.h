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
  /// Sum of the free resources of its workers that accept new tasks.
  Resources free;
};

/// Number of workers with the same capacity. A cell has only a few different
/// capacities.
struct CapacityClass {
  Resources capacity;
  std::int64_t workers = 0;
};

/// Reciprocal of each component of the largest capacity; zero for a component
/// that no worker has. Computed only when the largest capacity changes, which
/// avoids divisions in searches.
struct CapacityScale {
  double cpu = 0;
  double memory = 0;
  double accelerators = 0;
  double slots = 0;
};

/// All workers with the data derived from them: indexes over free resources,
/// sums and racks. Derived data is updated only in `Refresh`, by the difference
/// from the values indexed last.
class WorkerTable {
 public:
  /// Adds a worker, which must not be in the table yet.
  void Add(WorkerEntry entry);
  void Remove(WorkerIndex worker);
  [[nodiscard]] std::optional<WorkerIndex> Find(const WorkerId& worker) const;
  [[nodiscard]] const WorkerEntry& At(WorkerIndex worker) const;
  /// Gives write access to an entry; `Refresh` must be called after a change.
  [[nodiscard]] WorkerEntry& MutableAt(WorkerIndex worker);
  void Refresh(WorkerIndex worker);
  /// Sets the capacity held for a gang.
  void Hold(WorkerIndex worker, const Resources& resources);
  void ClearHolds();
  /// Sets the task size that `TrackedFitCount` counts.
  void TrackFitCount(const Resources& task);

  [[nodiscard]] std::size_t Size() const { return this->by_id.size(); }
  [[nodiscard]] std::span<const Rack> Racks() const { return this->racks; }
  [[nodiscard]] std::span<const CapacityClass> Classes() const;
  [[nodiscard]] std::span<const WorkerIndex> HeldWorkers() const;
  /// Free resources without holds, by position in the table.
  [[nodiscard]] const FreeResourcesTable& FreeTable() const;
  /// Free resources without holds, sorted by `SizeKey`.
  [[nodiscard]] const FreeCapacityIndex& BySize() const;
  [[nodiscard]] const Resources& TotalCapacity() const;
  [[nodiscard]] const Resources& LargestCapacity() const;
  [[nodiscard]] const Resources& TotalFree() const;
  [[nodiscard]] const Resources& Free(WorkerIndex worker) const;
  [[nodiscard]] const Resources& TrackedTask() const { return this->tracked; }
  [[nodiscard]] std::int64_t TrackedFitCount() const {
    return this->tracked_fit_count;
  }
  /// @return scalar size of an amount relative to the largest capacity;
  ///   monotonic in every component
  [[nodiscard]] std::uint32_t SizeKey(const Resources& resources) const;
  [[nodiscard]] const CapacityScale& Scale() const { return this->scale; }

 private:
  /// Values of a worker that are currently included in the indexes and sums.
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
