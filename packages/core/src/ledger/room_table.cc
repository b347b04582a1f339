#include "ledger/room_table.h"

namespace mustardproxy::detail {

void RoomTable::Set(WorkerIndex worker, const PackedRoom& room) {
  const std::size_t block = worker / kBlockSize;
  if (worker >= this->rooms.size()) this->rooms.resize(worker + 1, kNone);
  if (block >= this->largest.size()) this->largest.resize(block + 1, kNone);
  const bool may_shrink = this->rooms[worker].Touches(this->largest[block]);
  this->rooms[worker] = room;
  if (may_shrink) {
    this->Measure(block);
  } else {
    this->largest[block].RaiseTo(room);
  }
}

void RoomTable::Clear(WorkerIndex worker) { this->Set(worker, kNone); }

void RoomTable::Measure(std::size_t block) {
  const std::size_t begin = block * kBlockSize;
  const std::size_t end = std::min(begin + kBlockSize, this->rooms.size());
  PackedRoom largest = kNone;
  for (std::size_t i = begin; i < end; ++i) largest.RaiseTo(this->rooms[i]);
  this->largest[block] = largest;
}

PackedRoom RoomTable::Largest() const {
  PackedRoom all;
  for (const PackedRoom& block : this->largest) all.RaiseTo(block);
  return all;
}

}  // namespace mustardproxy::detail
