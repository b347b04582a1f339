#include "placement.h"

#include <algorithm>
#include <map>
#include <string>

#include "mustardproxy/core/gang_search.h"
#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::jobs {
namespace {

std::vector<GangCandidate> Group(const Step& step,
                                 std::span<Candidate> candidates) {
  std::map<std::string, std::uint32_t> racks;
  std::vector<GangCandidate> grouped;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    // All tasks count, however few are wanted: the search fills the smallest
    // gaps first.
    const std::int64_t room = CountPlaceable(step, candidates[i]);
    if (room == 0) continue;
    const auto rack =
        racks.emplace(candidates[i].capacity->session->info.rack, racks.size())
            .first->second;
    grouped.push_back({static_cast<std::uint32_t>(i), rack, room});
  }
  std::stable_sort(grouped.begin(), grouped.end(),
                   [](const GangCandidate& a, const GangCandidate& b) {
                     return a.rack < b.rack;
                   });
  return grouped;
}

std::vector<WorkerIncarnation> Place(const Step& step, std::int32_t tasks,
                                     std::span<Candidate> candidates) {
  const std::vector<GangCandidate> grouped = Group(step, candidates);
  std::int64_t room = 0;
  for (const GangCandidate& one : grouped) room += one.fitting_tasks;
  const std::int64_t count = std::min<std::int64_t>(room, tasks);
  if (count == 0 || (step.gang && count < tasks)) return {};
  std::vector<WorkerIncarnation> workers;
  for (const std::uint32_t index :
       PlaceGang(grouped, count, Packing::kBestFit)) {
    Candidate& chosen = candidates[index];
    chosen.capacity->free -= TaskDemand(step);
    ++chosen.siblings;
    workers.push_back(chosen.capacity->session->info.incarnation);
  }
  return workers;
}

}  // namespace

Resources TaskDemand(const Step& step) {
  Resources takes = step.each;
  takes.slots = 0;
  if (step.best_effort) takes.cpu_milli = 0;
  return takes;
}

std::int64_t CountFitting(const Step& step, const Resources& free,
                          std::int64_t limit) {
  return std::min(limit, mustardproxy::CountFitting(TaskDemand(step), free));
}

std::int64_t CountPlaceable(const Step& step, const Candidate& candidate,
                            std::int64_t limit) {
  if (step.max_per_worker > 0) {
    const std::int64_t left =
        std::max(0, step.max_per_worker - candidate.siblings);
    limit = std::min(limit, left);
  }
  return CountFitting(step, candidate.capacity->free, limit);
}

std::vector<WorkerIncarnation> PlaceTasks(const Step& step, std::int32_t tasks,
                                          std::span<Candidate> candidates) {
  if (step.near_rack.empty()) return Place(step, tasks, candidates);
  const auto near_end = std::stable_partition(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return candidate.capacity->session->info.rack == step.near_rack;
      });
  const std::span<Candidate> near(candidates.begin(), near_end);
  std::vector<WorkerIncarnation> workers = Place(step, tasks, near);
  const auto left = tasks - static_cast<std::int32_t>(workers.size());
  if (left == 0) return workers;
  if (step.gang) return Place(step, tasks, candidates);
  const std::vector<WorkerIncarnation> far =
      Place(step, left, std::span<Candidate>(near_end, candidates.end()));
  workers.insert(workers.end(), far.begin(), far.end());
  return workers;
}

}  // namespace mustardproxy::jobs
