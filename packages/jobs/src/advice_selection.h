#ifndef MUSTARDPROXY_JOBS_ADVICE_SELECTION_H_
#define MUSTARDPROXY_JOBS_ADVICE_SELECTION_H_

#include <cstdint>
#include <span>
#include <vector>

#include "mustardproxy/jobs/job.h"
#include "permission_broker.h"
#include "placement.h"

namespace mustardproxy::jobs {

/// A step that needs permissions, seen when a question about it could be sent.
struct AdviceSelectionInput {
  const Step* step = nullptr;
  /// How many of its tasks may start now.
  std::int64_t tasks = 0;
  const StepAdvice* advice = nullptr;
  /// Which share of the workers asked about is permitted as a rule.
  double permitted_share = 0.0;
  /// So many workers cost as much as a question's fixed part.
  std::size_t workers_per_fixed_cost = 0;
  Instant now;
  /// When the answer should have come.
  Instant answer_due;
};

/// Chooses the workers to ask the policy service about. What it said of a
/// worker stays true for the worker's life; only the permission lapses. So:
/// - workers that it has refused are never asked about again;
/// - a gang that fits where it is known to be permitted only has these
///   permissions renewed; else others are asked about, to learn more;
/// - other tasks take room wherever there is some.
///
/// Asking about all known workers each time permissions lapse would keep the
/// policy service busy with gangs, and the steps of other queues would wait.
///
/// @param candidates rooms that the step may use, permissions aside
/// @return none if a question would not help now
[[nodiscard]] std::vector<AskedWorker> SelectWorkersToAsk(
    const AdviceSelectionInput& input, std::span<const Candidate> candidates);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_ADVICE_SELECTION_H_
