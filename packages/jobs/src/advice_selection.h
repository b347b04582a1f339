#ifndef MUSTARDPROXY_JOBS_ADVICE_SELECTION_H_
#define MUSTARDPROXY_JOBS_ADVICE_SELECTION_H_

#include <cstdint>
#include <span>
#include <vector>

#include "mustardproxy/jobs/job.h"
#include "permission_broker.h"
#include "placement.h"

namespace mustardproxy::jobs {

/// A step that needs permissions, at the time when a question about it could be
/// sent.
struct AdviceSelectionInput {
  const Step* step = nullptr;
  /// Number of its tasks that may start now.
  std::int64_t tasks = 0;
  const StepAdvice* advice = nullptr;
  /// Expected share of permitted workers among those asked about.
  double permitted_share = 0.0;
  /// Number of workers that cost as much as the fixed part of a question.
  std::size_t workers_per_fixed_cost = 0;
  Instant now;
  /// When the answer is expected.
  Instant answer_due;
  /// Only a question whose answer lets the step start at once helps: the step
  /// knows enough capacity, and others hold part of it.
  bool must_start = false;
  /// Runs may be stopped for the step, so that full workers count as well.
  bool may_preempt = false;
  /// By session, how many questions about the worker are in flight; none beyond
  /// the end.
  std::span<const std::uint16_t> in_flight;
};

/// Selects the workers to ask the policy service about. Its answer about a
/// worker stays valid for the incarnation of the worker; only the permission
/// expires. Therefore:
/// - workers that it has refused are never asked about again;
/// - a gang that fits on workers known to be permitted only renews those
///   permissions; otherwise it asks about workers that are not known yet;
/// - other tasks use any worker that has capacity.
///
/// Asking about all known workers whenever permissions expire would keep the
/// policy service busy with gangs and delay the steps of other queues.
///
/// @param candidates capacity that the step may use, regardless of permissions
/// @return an empty list if a question would not help now
[[nodiscard]] std::vector<AskedWorker> SelectWorkersToAsk(
    const AdviceSelectionInput& input, std::span<const Candidate> candidates);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_ADVICE_SELECTION_H_
