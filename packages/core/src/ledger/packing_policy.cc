#include "ledger/packing_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "ledger/packed_resources.h"

namespace mustardproxy::detail {
namespace {

using Item = FreeCapacityIndex::Item;

/// Number of fitting workers that best fit compares, starting with the least
/// free capacity.
constexpr int kBestFitCandidates = 8;

/// Weight of unused slots in the cost; lower than 1 since every task can use a
/// slot.
constexpr double kSlotWeight = 0.5;
/// Weight of the imbalance between unused processors and unused memory. A low
/// weight strands as many resources as first fit; a much higher one occupies
/// more workers than first fit.
constexpr double kImbalanceWeight = 3.0;

/// @return cost of the resources left unused on a worker: their size plus a
///   penalty for the imbalance between processors and memory, since later tasks
///   cannot use one without the other
double LeftoverCost(const PackedResources& free, const PackedResources& need,
                    const CapacityScale& scale) {
  const double cpu = (free.components[0] - need.components[0]) * scale.cpu;
  const double memory =
      (free.components[1] - need.components[1]) * scale.memory;
  const double accelerators =
      (free.components[2] - need.components[2]) * scale.accelerators;
  const double slots = (free.components[3] - need.components[3]) * scale.slots;
  const double size = cpu + memory + accelerators + kSlotWeight * slots;
  return size + kImbalanceWeight * std::abs(cpu - memory);
}

class BestFit final : public PackingPolicy {
 public:
  [[nodiscard]] std::optional<WorkerIndex> Choose(
      const WorkerTable& table, const TaskDemand& need) const override;
};

std::optional<WorkerIndex> BestFit::Choose(const WorkerTable& table,
                                           const TaskDemand& need) const {
  std::optional<WorkerIndex> best;
  double lowest_cost = std::numeric_limits<double>::infinity();
  int seen = 0;
  const PackedResources packed = PackedResources::Pack(need.resources);
  const auto consider = [&](const Item& item) {
    if (!IsAllowed(table, item.key.worker, need.avoid)) return true;
    const double cost = LeftoverCost(item.free, packed, table.Scale());
    if (cost < lowest_cost) {
      best = item.key.worker;
      lowest_cost = cost;
    }
    return ++seen < kBestFitCandidates;
  };
  table.BySize().VisitAscending(packed, table.SizeKey(need.resources),
                                consider);
  return best;
}

class FirstFit final : public PackingPolicy {
 public:
  [[nodiscard]] std::optional<WorkerIndex> Choose(
      const WorkerTable& table, const TaskDemand& need) const override;
};

std::optional<WorkerIndex> FirstFit::Choose(const WorkerTable& table,
                                            const TaskDemand& need) const {
  std::optional<WorkerIndex> first;
  table.FreeTable().Visit(PackedResources::Pack(need.resources),
                          [&](WorkerIndex worker, const PackedResources&) {
                            if (!IsAllowed(table, worker, need.avoid))
                              return true;
                            first = worker;
                            return false;
                          });
  return first;
}

class Spread final : public PackingPolicy {
 public:
  [[nodiscard]] std::optional<WorkerIndex> Choose(
      const WorkerTable& table, const TaskDemand& need) const override;
};

std::optional<WorkerIndex> Spread::Choose(const WorkerTable& table,
                                          const TaskDemand& need) const {
  std::optional<WorkerIndex> most_free;
  table.BySize().VisitDescending(
      PackedResources::Pack(need.resources), [&](const Item& item) {
        if (!IsAllowed(table, item.key.worker, need.avoid)) return true;
        most_free = item.key.worker;
        return false;
      });
  return most_free;
}

}  // namespace

const PackingPolicy& PolicyFor(Packing packing) {
  static const BestFit best_fit;
  static const FirstFit first_fit;
  static const Spread spread;
  switch (packing) {
    case Packing::kFirstFit:
      return first_fit;
    case Packing::kSpread:
      return spread;
    case Packing::kBestFit:
      break;
  }
  return best_fit;
}

bool IsAllowed(const WorkerTable& table, WorkerIndex worker,
               std::span<const WorkerId> avoid) {
  if (avoid.empty()) return true;
  return std::ranges::find(avoid, table.At(worker).id) == avoid.end();
}

}  // namespace mustardproxy::detail
