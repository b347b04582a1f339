#include "ledger/free_capacity_index.h"

#include <algorithm>
#include <iterator>

namespace mustardproxy::detail {
namespace {

/// @return the first item that is not ordered before `key`
std::vector<FreeCapacityIndex::Item>::iterator LowerBound(
    const IndexKey& key, std::vector<FreeCapacityIndex::Item>* items) {
  return std::ranges::lower_bound(
      *items, key.SortKey(), {},
      [](const FreeCapacityIndex::Item& item) { return item.key.SortKey(); });
}

}  // namespace

std::size_t FreeCapacityIndex::BlockOf(const IndexKey& key) const {
  const auto after = std::ranges::upper_bound(
      this->blocks, key.SortKey(), {},
      [](const Block& block) { return block.items.front().key.SortKey(); });
  if (after == this->blocks.begin()) return 0;
  return static_cast<std::size_t>(after - this->blocks.begin()) - 1;
}

void FreeCapacityIndex::UpdateLargest(Block* block) {
  PackedResources largest;
  for (const Item& item : block->items) largest.RaiseToMax(item.free);
  block->largest = largest;
}

void FreeCapacityIndex::Insert(const IndexKey& key,
                               const PackedResources& free) {
  if (this->blocks.empty()) {
    this->blocks.push_back({{{key, free}}, free});
    return;
  }
  const std::size_t position = this->BlockOf(key);
  Block& block = this->blocks[position];
  block.items.insert(LowerBound(key, &block.items), {key, free});
  block.largest.RaiseToMax(free);
  if (block.items.size() > kBlockSize) this->Split(position);
}

void FreeCapacityIndex::Split(std::size_t position) {
  Block upper;
  Block& lower = this->blocks[position];
  const auto middle = lower.items.begin() + kBlockSize / 2;
  upper.items.reserve(kBlockSize + 1);
  upper.items.assign(middle, lower.items.end());
  lower.items.erase(middle, lower.items.end());
  UpdateLargest(&lower);
  UpdateLargest(&upper);
  this->blocks.insert(
      this->blocks.begin() + static_cast<std::ptrdiff_t>(position) + 1,
      std::move(upper));
}

void FreeCapacityIndex::EraseAt(std::size_t position,
                                std::vector<Item>::iterator item) {
  Block& block = this->blocks[position];
  const PackedResources free = item->free;
  block.items.erase(item);
  if (block.items.empty()) {
    this->blocks.erase(this->blocks.begin() +
                       static_cast<std::ptrdiff_t>(position));
    return;
  }
  if (free.ReachesAny(block.largest)) UpdateLargest(&block);
}

void FreeCapacityIndex::Erase(const IndexKey& key) {
  if (this->blocks.empty()) return;
  const std::size_t position = this->BlockOf(key);
  std::vector<Item>& items = this->blocks[position].items;
  const auto found = LowerBound(key, &items);
  if (found == items.end() || found->key.SortKey() != key.SortKey()) return;
  this->EraseAt(position, found);
}

void FreeCapacityIndex::Move(const IndexKey& from, const IndexKey& to,
                             const PackedResources& free) {
  const std::size_t position = this->BlockOf(from);
  Block& block = this->blocks[position];
  const auto found = LowerBound(from, &block.items);
  if (position != this->BlockOf(to)) {
    this->EraseAt(position, found);
    this->Insert(to, free);
    return;
  }
  auto place = LowerBound(to, &block.items);
  const bool shrinks = found->free.ReachesAny(block.largest);
  *found = {to, free};
  // Shifts only the items between the old and the new position.
  if (place > found) {
    std::rotate(found, found + 1, place);
  } else {
    std::rotate(place, found, found + 1);
  }
  if (shrinks) {
    UpdateLargest(&block);
  } else {
    block.largest.RaiseToMax(free);
  }
}

void FreeCapacityIndex::Clear() { this->blocks.clear(); }

}  // namespace mustardproxy::detail
