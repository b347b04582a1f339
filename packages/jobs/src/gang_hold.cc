#include "gang_hold.h"

#include <algorithm>
#include <vector>

namespace mustardproxy::jobs {
namespace {

/// Capacity that is expected to become free.
struct Release {
  Instant at;
  std::size_t candidate = 0;
  Resources resources;
};

// Failure: a run lasts many times longer than declared, and a gang that waits
// for it holds capacity that nobody else may use even for a moment.
/// @return when the run is expected to end; one that is overdue lasts as long
///   again as it is late
Instant ExpectedEnd(const SessionRun& run, Instant now) {
  const Duration late = now - run.expected_end;
  return late > Duration::zero() ? now + late : run.expected_end;
}

std::vector<Release> CollectReleases(std::span<Candidate> candidates,
                                     Instant now) {
  std::vector<Release> releases;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    for (const auto& [run, record] : candidates[i].capacity->session->runs) {
      releases.push_back({ExpectedEnd(record, now), i, record.resources});
    }
  }
  std::stable_sort(
      releases.begin(), releases.end(),
      [](const Release& a, const Release& b) { return a.at < b.at; });
  return releases;
}

}  // namespace

std::optional<GangFit> FindGangFit(const Step& step, std::int64_t tasks,
                                   std::span<Candidate> candidates,
                                   Instant now) {
  std::vector<Resources> free;
  std::vector<std::int64_t> fitting;
  std::int64_t total = 0;
  for (const Candidate& candidate : candidates) {
    free.push_back(candidate.capacity->free);
    fitting.push_back(CountFitting(step, free.back(), tasks));
    total += fitting.back();
  }
  GangFit fit;
  fit.at = now;
  for (const Release& release : CollectReleases(candidates, now)) {
    if (total >= tasks) break;
    fit.at = release.at;
    free[release.candidate] += release.resources;
    const std::int64_t fits =
        CountFitting(step, free[release.candidate], tasks);
    total += fits - fitting[release.candidate];
    fitting[release.candidate] = fits;
  }
  if (total < tasks) return std::nullopt;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (fitting[i] > 0) fit.candidates.push_back(i);
  }
  return fit;
}

std::vector<std::size_t> HoldCapacity(const Step& step, std::int64_t tasks,
                                      std::span<Candidate> candidates,
                                      Instant now) {
  auto fit = FindGangFit(step, tasks, candidates, now);
  // The gang does not fit even after all runs have ended, so holding capacity
  // would not help.
  if (!fit) return {};
  for (const std::size_t index : fit->candidates) {
    candidates[index].capacity->held = true;
    candidates[index].capacity->held_until = fit->at;
  }
  return std::move(fit->candidates);
}

}  // namespace mustardproxy::jobs
