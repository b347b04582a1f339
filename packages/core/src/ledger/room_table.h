#ifndef MUSTARDPROXY_CORE_SRC_LEDGER_ROOM_TABLE_H_
#define MUSTARDPROXY_CORE_SRC_LEDGER_ROOM_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "ledger/packed_room.h"
#include "ledger/worker_entry.h"

namespace mustardproxy::detail {

/// What is free on each worker, in the fixed order of the ledger's table.
///
/// A flat array in blocks, each with the part-by-part maximum of what is free
/// in it, so that a search skips blocks without room. Nothing is sorted, so a
/// change costs one write and at most a look at one block.
class RoomTable {
 public:
  /// The table grows as far as `worker` asks.
  void Set(WorkerIndex worker, const PackedRoom& room);
  /// Nothing fits there any more, not even an empty need.
  void Clear(WorkerIndex worker);
  /// @return part by part, the most that one worker has free
  [[nodiscard]] PackedRoom Largest() const;

  /// Calls `visit(worker, room)` for each worker with room for `need`, until it
  /// returns false.
  template <typename Visitor>
  void Visit(const PackedRoom& need, Visitor visit) const;

 private:
  static constexpr std::size_t kBlockSize = 32;
  static constexpr PackedRoom kNone{{-1, -1, -1, -1}};

  void Measure(std::size_t block);

  std::vector<PackedRoom> rooms;
  std::vector<PackedRoom> largest;
};

template <typename Visitor>
void RoomTable::Visit(const PackedRoom& need, Visitor visit) const {
  for (std::size_t block = 0; block < this->largest.size(); ++block) {
    if (!need.FitsIn(this->largest[block])) continue;
    const std::size_t begin = block * kBlockSize;
    const std::size_t end = std::min(begin + kBlockSize, this->rooms.size());
    for (std::size_t i = begin; i < end; ++i) {
      if (!need.FitsIn(this->rooms[i])) continue;
      if (!visit(static_cast<WorkerIndex>(i), this->rooms[i])) return;
    }
  }
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_LEDGER_ROOM_TABLE_H_
