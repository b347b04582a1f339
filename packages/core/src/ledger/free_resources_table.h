#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_FREE_RESOURCES_TABLE_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_FREE_RESOURCES_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "ledger/packed_resources.h"
#include "ledger/worker_entry.h"

namespace mustardproxy::detail {

/// Free resources of each worker, indexed by position in the ledger's table.
///
/// A flat array in blocks, each with the component-wise maximum of its free
/// resources, so that a search skips blocks in which nothing fits. Entries are
/// not sorted, so an update costs one write and at most a scan of one block.
class FreeResourcesTable {
 public:
  /// Grows the table as needed.
  void Set(WorkerIndex worker, const PackedResources& free);
  /// Marks a worker as unused; not even an empty task fits there afterwards.
  void Clear(WorkerIndex worker);
  /// @return component-wise maximum over all workers
  [[nodiscard]] PackedResources Largest() const;

  /// Calls `visit(worker, free)` for each worker on which `need` fits, until it
  /// returns false.
  template <typename Visitor>
  void Visit(const PackedResources& need, Visitor visit) const;

 private:
  static constexpr std::size_t kBlockSize = 32;
  static constexpr PackedResources kNone{{-1, -1, -1, -1}};

  void UpdateLargest(std::size_t block);

  std::vector<PackedResources> free_resources;
  std::vector<PackedResources> largest;
};

template <typename Visitor>
void FreeResourcesTable::Visit(const PackedResources& need,
                               Visitor visit) const {
  for (std::size_t block = 0; block < this->largest.size(); ++block) {
    if (!need.FitsIn(this->largest[block])) continue;
    const std::size_t begin = block * kBlockSize;
    const std::size_t end =
        std::min(begin + kBlockSize, this->free_resources.size());
    for (std::size_t i = begin; i < end; ++i) {
      if (!need.FitsIn(this->free_resources[i])) continue;
      if (!visit(static_cast<WorkerIndex>(i), this->free_resources[i])) return;
    }
  }
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_FREE_RESOURCES_TABLE_H_
