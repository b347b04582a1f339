#include "mustardproxy/core/gang_search.h"

#include <algorithm>
#include <numeric>

namespace mustardproxy {
namespace {

/// Candidates of one rack.
struct RackCandidates {
  std::span<const GangCandidate> candidates;
  std::int64_t fitting_tasks = 0;
};

std::vector<RackCandidates> GroupByRack(
    std::span<const GangCandidate> candidates) {
  std::vector<RackCandidates> racks;
  std::size_t begin = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i == begin) racks.push_back({});
    racks.back().fitting_tasks += candidates[i].fitting_tasks;
    const bool last = i + 1 == candidates.size() ||
                      candidates[i + 1].rack != candidates[i].rack;
    if (!last) continue;
    racks.back().candidates = candidates.subspan(begin, i + 1 - begin);
    begin = i + 1;
  }
  return racks;
}

/// @return the rack that runs the whole gang, or null if none can
const RackCandidates* ChooseRack(std::span<const RackCandidates> racks,
                                 std::int64_t tasks, Packing packing) {
  const RackCandidates* chosen = nullptr;
  for (const RackCandidates& rack : racks) {
    if (rack.fitting_tasks < tasks) continue;
    if (packing == Packing::kFirstFit) return &rack;
    const bool better =
        chosen == nullptr || (packing == Packing::kSpread
                                  ? rack.fitting_tasks > chosen->fitting_tasks
                                  : rack.fitting_tasks < chosen->fitting_tasks);
    if (better) chosen = &rack;
  }
  return chosen;
}

/// Fills one worker after the other. With best fit, workers with the least free
/// capacity come first, which leaves large gaps unfragmented.
void FillPacked(std::vector<GangCandidate> candidates, std::int64_t tasks,
                Packing packing, std::vector<std::uint32_t>* gang) {
  if (packing == Packing::kBestFit) {
    std::ranges::stable_sort(candidates, {}, &GangCandidate::fitting_tasks);
  }
  for (const GangCandidate& candidate : candidates) {
    const std::int64_t count =
        std::min(candidate.fitting_tasks, tasks - std::ssize(*gang));
    gang->insert(gang->end(), static_cast<std::size_t>(count),
                 candidate.worker);
  }
}

/// Assigns one task to each worker in turn, starting with the worker that can
/// run the most.
void FillRoundRobin(std::vector<GangCandidate> candidates, std::int64_t tasks,
                    std::vector<std::uint32_t>* gang) {
  std::ranges::stable_sort(candidates, std::ranges::greater{},
                           &GangCandidate::fitting_tasks);
  bool progress = true;
  while (progress && std::ssize(*gang) < tasks) {
    progress = false;
    for (GangCandidate& candidate : candidates) {
      if (candidate.fitting_tasks == 0 || std::ssize(*gang) == tasks) continue;
      gang->push_back(candidate.worker);
      --candidate.fitting_tasks;
      progress = true;
    }
  }
}

void Fill(const RackCandidates& rack, std::int64_t tasks, Packing packing,
          std::vector<std::uint32_t>* gang) {
  const std::vector<GangCandidate> candidates(rack.candidates.begin(),
                                              rack.candidates.end());
  if (packing == Packing::kSpread) {
    FillRoundRobin(candidates, tasks, gang);
  } else {
    FillPacked(candidates, tasks, packing, gang);
  }
}

}  // namespace

std::vector<std::uint32_t> PlaceGang(std::span<const GangCandidate> candidates,
                                     std::int64_t tasks, Packing packing) {
  std::vector<RackCandidates> racks = GroupByRack(candidates);
  std::vector<std::uint32_t> gang;
  if (const RackCandidates* rack = ChooseRack(racks, tasks, packing)) {
    Fill(*rack, tasks, packing, &gang);
    return gang;
  }
  const std::int64_t fitting_tasks = std::transform_reduce(
      racks.begin(), racks.end(), std::int64_t{0}, std::plus<>(),
      [](const RackCandidates& rack) { return rack.fitting_tasks; });
  if (fitting_tasks < tasks) return {};
  std::ranges::stable_sort(racks, std::ranges::greater{},
                           &RackCandidates::fitting_tasks);
  for (const RackCandidates& rack : racks) Fill(rack, tasks, packing, &gang);
  return gang;
}

}  // namespace mustardproxy
