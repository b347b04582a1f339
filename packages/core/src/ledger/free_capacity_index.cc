#include "ledger/free_capacity_index.h"

#include <algorithm>
#include <iterator>

#include "ledger/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// @return true if some part of `room` is as large as that of `largest`
bool TouchesMaximum(const Resources& room, const Resources& largest) {
  return room.cpu_milli >= largest.cpu_milli ||
         room.memory_mb >= largest.memory_mb ||
         room.accelerators >= largest.accelerators ||
         room.slots >= largest.slots;
}

/// @return the first item that does not come before `key`
std::vector<FreeCapacityIndex::Item>::iterator PlaceOf(
    const IndexKey& key, std::vector<FreeCapacityIndex::Item>* items) {
  return std::ranges::lower_bound(
      *items, key.Order(), {},
      [](const FreeCapacityIndex::Item& item) { return item.key.Order(); });
}

}  // namespace

std::size_t FreeCapacityIndex::BlockOf(const IndexKey& key) const {
  const auto after = std::ranges::upper_bound(
      this->blocks, key.Order(), {},
      [](const Block& block) { return block.items.front().key.Order(); });
  if (after == this->blocks.begin()) return 0;
  return static_cast<std::size_t>(after - this->blocks.begin()) - 1;
}

void FreeCapacityIndex::Measure(Block* block) {
  Resources largest;
  for (const Item& item : block->items) largest = MaxParts(largest, item.room);
  block->largest = largest;
}

void FreeCapacityIndex::Insert(const IndexKey& key, const Resources& room) {
  if (this->blocks.empty()) this->blocks.emplace_back();
  const std::size_t position =
      this->blocks.front().items.empty() ? 0 : this->BlockOf(key);
  Block& block = this->blocks[position];
  const auto place = PlaceOf(key, &block.items);
  block.items.insert(place, {key, room});
  block.largest = MaxParts(block.largest, room);
  if (block.items.size() > kBlockSize) this->Split(position);
}

void FreeCapacityIndex::Split(std::size_t position) {
  Block upper;
  Block& lower = this->blocks[position];
  const auto middle = lower.items.begin() + kBlockSize / 2;
  upper.items.reserve(kBlockSize + 1);
  upper.items.assign(middle, lower.items.end());
  lower.items.erase(middle, lower.items.end());
  Measure(&lower);
  Measure(&upper);
  this->blocks.insert(
      this->blocks.begin() + static_cast<std::ptrdiff_t>(position) + 1,
      std::move(upper));
}

void FreeCapacityIndex::Erase(const IndexKey& key) {
  if (this->blocks.empty()) return;
  const std::size_t position = this->BlockOf(key);
  Block& block = this->blocks[position];
  const auto found = PlaceOf(key, &block.items);
  if (found == block.items.end() || found->key.Order() != key.Order()) return;
  const Resources room = found->room;
  block.items.erase(found);
  if (block.items.empty()) {
    this->blocks.erase(this->blocks.begin() +
                       static_cast<std::ptrdiff_t>(position));
    return;
  }
  if (TouchesMaximum(room, block.largest)) Measure(&block);
}

void FreeCapacityIndex::Clear() { this->blocks.clear(); }

Resources FreeCapacityIndex::Largest() const {
  Resources largest;
  for (const Block& block : this->blocks) {
    largest = MaxParts(largest, block.largest);
  }
  return largest;
}

}  // namespace mustardproxy::detail
