#ifndef MUSTARDPROXY_JOBS_ASK_CANDIDATES_H_
#define MUSTARDPROXY_JOBS_ASK_CANDIDATES_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "permission_broker.h"
#include "placement.h"

namespace mustardproxy::jobs {

/// Number of workers of a service up to which a question about a step may be
/// about any of them, and the most without free capacity that are examined for
/// one question if there are more.
inline constexpr std::size_t kMaxExaminedWorkers = 1200;

/// A step that needs permissions, and the workers that may run it.
struct AskCandidatesInput {
  const Step* step = nullptr;
  /// Number of its tasks that may start now.
  std::int64_t tasks = 0;
  /// May be null.
  const StepAdvice* advice = nullptr;
  /// Expected share of permitted workers among those asked about.
  double permitted_share = 0.0;
  /// When its tasks end if they start with the answer.
  Instant end;
  /// All workers of the service.
  std::span<WorkerCapacity* const> workers;
  /// Those of them that are known to be permitted.
  std::span<WorkerCapacity* const> permitted;
  /// By session, how many questions about the worker are in flight; none beyond
  /// the end.
  std::span<const std::uint16_t> in_flight;
  /// Where to begin among the workers in use, different for each step.
  std::size_t first = 0;
};

/// Selects the capacity that a question about the step may be about.
///
/// Answers the load of a cell of thousands of workers with many steps that
/// wait: examining each worker for each question would leave the control thread
/// no time for anything else. There, a bounded number of workers is examined:
/// those known to be permitted, some with free capacity and, if that is too
/// little, some others, which differ from one question to the next. Each worker
/// in use costs the owner a connection and regular orders, so tasks that need
/// not run together are kept on workers in use. A gang needs much free capacity
/// and starts with idle ones. Idle workers are taken in a fixed order, first
/// those that no other step is asking about, so that few come in use, and those
/// that are gone are soon known.
[[nodiscard]] std::vector<Candidate> SelectAskCandidates(
    const AskCandidatesInput& input);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_ASK_CANDIDATES_H_
