#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_FREE_CAPACITY_INDEX_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_FREE_CAPACITY_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "ledger/packed_resources.h"
#include "ledger/worker_entry.h"

namespace mustardproxy::detail {

/// Sort key of a worker in an index. Several workers may have the same key; the
/// worker index breaks ties.
struct IndexKey {
  std::uint32_t key = 0;
  WorkerIndex worker = 0;

  /// @return a single integer that sorts by key, then by worker
  [[nodiscard]] std::uint64_t SortKey() const {
    return (std::uint64_t{this->key} << 32) | this->worker;
  }
};

/// Workers sorted by a key and searchable by free resources.
///
/// Consists of sorted blocks of at most `kBlockSize` workers; each block stores
/// the component-wise maximum of its workers' free resources. A search skips
/// every block whose maximum is too small, so its cost is about the square root
/// of the number of workers: a scan over the blocks, then one within a block.
/// Flat arrays are faster than a balanced tree for the number of workers in a
/// data centre.
class FreeCapacityIndex {
 public:
  struct Item {
    IndexKey key;
    PackedResources free;
  };

  void Insert(const IndexKey& key, const PackedResources& free);
  void Erase(const IndexKey& key);
  /// Changes the key and the free resources of a worker that is in the index.
  void Move(const IndexKey& from, const IndexKey& to,
            const PackedResources& free);
  void Clear();

  /// Calls `visit(item)` in ascending order of keys for each worker on which
  /// `need` fits, starting at key `from`, until it returns false.
  template <typename Visitor>
  void VisitAscending(const PackedResources& need, std::uint32_t from,
                      Visitor visit) const;
  /// Like `VisitAscending`, but in descending order from the highest key.
  template <typename Visitor>
  void VisitDescending(const PackedResources& need, Visitor visit) const;

 private:
  struct Block {
    std::vector<Item> items;
    PackedResources largest;
  };
  static constexpr std::size_t kBlockSize = 32;

  [[nodiscard]] std::size_t BlockOf(const IndexKey& key) const;
  void Split(std::size_t position);
  void EraseAt(std::size_t position, std::vector<Item>::iterator item);
  static void UpdateLargest(Block* block);

  /// Blocks are never empty; keys ascend within and across blocks.
  std::vector<Block> blocks;
};

template <typename Visitor>
void FreeCapacityIndex::VisitAscending(const PackedResources& need,
                                       std::uint32_t from,
                                       Visitor visit) const {
  if (this->blocks.empty()) return;
  for (std::size_t b = this->BlockOf({from, 0}); b < this->blocks.size(); ++b) {
    if (!need.FitsIn(this->blocks[b].largest)) continue;
    for (const Item& item : this->blocks[b].items) {
      if (need.FitsIn(item.free) && !visit(item)) return;
    }
  }
}

template <typename Visitor>
void FreeCapacityIndex::VisitDescending(const PackedResources& need,
                                        Visitor visit) const {
  for (auto block = this->blocks.rbegin(); block != this->blocks.rend();
       ++block) {
    if (!need.FitsIn(block->largest)) continue;
    for (auto item = block->items.rbegin(); item != block->items.rend();
         ++item) {
      if (need.FitsIn(item->free) && !visit(*item)) return;
    }
  }
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_FREE_CAPACITY_INDEX_H_
