#include "ledger/gang_plan.h"

#include <unordered_map>
#include <vector>

#include "ledger/packing_policy.h"
#include "mustardproxy/core/gang_search.h"
#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::detail {
namespace {

/// Free resources of the workers at a future time, updated release by release.
class FutureCapacity {
 public:
  FutureCapacity(const WorkerTable& table, const GangDemand& need);

  void Release(const ExpectedRelease& release);
  [[nodiscard]] std::int64_t Total() const { return this->total; }
  [[nodiscard]] std::span<const GangCandidate> Candidates() const;

 private:
  const WorkerTable& table;
  const GangDemand& need;
  std::vector<GangCandidate> candidates;
  /// Free resources of the candidate at the same index.
  std::vector<Resources> free;
  std::unordered_map<WorkerIndex, std::size_t> positions;
  std::int64_t total = 0;
};

FutureCapacity::FutureCapacity(const WorkerTable& table, const GangDemand& need)
    : table(table), need(need) {
  for (RackIndex rack = 0; rack < table.Racks().size(); ++rack) {
    for (const WorkerIndex worker : table.Racks()[rack].workers) {
      const WorkerEntry& entry = table.At(worker);
      if (!entry.placeable || !IsAllowed(table, worker, need.avoid)) continue;
      const std::int64_t fitting_tasks =
          CountFitting(need.resources, table.Free(worker));
      this->positions.emplace(worker, this->candidates.size());
      this->candidates.push_back({worker, rack, fitting_tasks});
      this->free.push_back(table.Free(worker));
      this->total += fitting_tasks;
    }
  }
}

void FutureCapacity::Release(const ExpectedRelease& release) {
  const auto worker = this->table.Find(release.worker);
  if (!worker) return;
  const auto position = this->positions.find(*worker);
  if (position == this->positions.end()) return;
  GangCandidate& candidate = this->candidates[position->second];
  Resources& available = this->free[position->second];
  available = ComponentMin(available + release.resources,
                           this->table.At(*worker).capacity);
  this->total -= candidate.fitting_tasks;
  candidate.fitting_tasks = CountFitting(this->need.resources, available);
  this->total += candidate.fitting_tasks;
}

std::span<const GangCandidate> FutureCapacity::Candidates() const {
  return this->candidates;
}

}  // namespace

std::optional<GangPlan> PlanGang(const WorkerTable& table,
                                 const GangDemand& need,
                                 std::span<const ExpectedRelease> releases) {
  FutureCapacity future(table, need);
  GangPlan plan;
  plan.at = need.now;
  for (const ExpectedRelease& release : releases) {
    if (future.Total() >= need.tasks) break;
    future.Release(release);
    plan.at = std::max(plan.at, release.at);
  }
  if (future.Total() < need.tasks) return std::nullopt;
  for (const WorkerIndex worker :
       PlaceGang(future.Candidates(), need.tasks, need.packing)) {
    plan.workers.push_back(table.At(worker).id);
  }
  return plan;
}

}  // namespace mustardproxy::detail
