#include "ledger/packing_policy.h"

#include <algorithm>
#include <limits>

#include "ledger/resource_math.h"

namespace mustardproxy::detail {
namespace {

using Item = FreeCapacityIndex::Item;

/// Fitting workers that best fit compares, from the least free one up.
constexpr int kBestFitCandidates = 8;

/// @return how badly what would be left over on a worker can still be used:
///   its size and how far its parts are out of proportion, since one part
///   alone is of no use to a later task
double Misfit(const Resources& left, const Resources& capacity) {
  const auto part = [](std::int64_t amount, std::int64_t whole) {
    return whole <= 0
               ? 0.0
               : static_cast<double>(amount) / static_cast<double>(whole);
  };
  const double cpu = part(left.cpu_milli, capacity.cpu_milli);
  const double memory = part(left.memory_mb, capacity.memory_mb);
  const double slots = part(left.slots, capacity.slots);
  const double high = std::max({cpu, memory, slots});
  const double low = std::min({cpu, memory, slots});
  const double accelerators = part(left.accelerators, capacity.accelerators);
  return high + (high - low) + accelerators;
}

class BestFit final : public PackingPolicy {
 public:
  [[nodiscard]] std::optional<WorkerIndex> Choose(
      const WorkerTable& table, const PlacementNeed& need) const override;
};

std::optional<WorkerIndex> BestFit::Choose(const WorkerTable& table,
                                           const PlacementNeed& need) const {
  std::optional<WorkerIndex> best;
  double best_misfit = std::numeric_limits<double>::infinity();
  int seen = 0;
  table.BySize().VisitAscending(
      need.resources, table.SizeKey(need.resources), [&](const Item& item) {
        const WorkerEntry& entry = table.At(item.key.worker);
        if (!Allowed(entry, need.avoid)) return true;
        const double misfit =
            Misfit(item.room - need.resources, entry.capacity);
        if (misfit < best_misfit) {
          best = item.key.worker;
          best_misfit = misfit;
        }
        return ++seen < kBestFitCandidates;
      });
  return best;
}

class FirstFit final : public PackingPolicy {
 public:
  [[nodiscard]] std::optional<WorkerIndex> Choose(
      const WorkerTable& table, const PlacementNeed& need) const override;
};

std::optional<WorkerIndex> FirstFit::Choose(const WorkerTable& table,
                                            const PlacementNeed& need) const {
  std::optional<WorkerIndex> first;
  table.ByOrder().VisitAscending(need.resources, 0, [&](const Item& item) {
    if (!Allowed(table.At(item.key.worker), need.avoid)) return true;
    first = item.key.worker;
    return false;
  });
  return first;
}

class Spread final : public PackingPolicy {
 public:
  [[nodiscard]] std::optional<WorkerIndex> Choose(
      const WorkerTable& table, const PlacementNeed& need) const override;
};

std::optional<WorkerIndex> Spread::Choose(const WorkerTable& table,
                                          const PlacementNeed& need) const {
  std::optional<WorkerIndex> emptiest;
  table.BySize().VisitDescending(need.resources, [&](const Item& item) {
    if (!Allowed(table.At(item.key.worker), need.avoid)) return true;
    emptiest = item.key.worker;
    return false;
  });
  return emptiest;
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

bool Allowed(const WorkerEntry& worker, std::span<const WorkerId> avoid) {
  return std::ranges::find(avoid, worker.id) == avoid.end();
}

}  // namespace mustardproxy::detail
