#include "ledger/free_resources_table.h"

namespace mustardproxy::detail {

void FreeResourcesTable::Set(WorkerIndex worker, const PackedResources& free) {
  const std::size_t block = worker / kBlockSize;
  if (worker >= this->free_resources.size())
    this->free_resources.resize(worker + 1, kNone);
  if (block >= this->largest.size()) this->largest.resize(block + 1, kNone);
  const bool may_shrink =
      this->free_resources[worker].ReachesAny(this->largest[block]);
  this->free_resources[worker] = free;
  if (may_shrink) {
    this->UpdateLargest(block);
  } else {
    this->largest[block].RaiseToMax(free);
  }
}

void FreeResourcesTable::Clear(WorkerIndex worker) { this->Set(worker, kNone); }

void FreeResourcesTable::UpdateLargest(std::size_t block) {
  const std::size_t begin = block * kBlockSize;
  const std::size_t end =
      std::min(begin + kBlockSize, this->free_resources.size());
  PackedResources largest = kNone;
  for (std::size_t i = begin; i < end; ++i)
    largest.RaiseToMax(this->free_resources[i]);
  this->largest[block] = largest;
}

PackedResources FreeResourcesTable::Largest() const {
  PackedResources all;
  for (const PackedResources& block : this->largest) all.RaiseToMax(block);
  return all;
}

}  // namespace mustardproxy::detail
