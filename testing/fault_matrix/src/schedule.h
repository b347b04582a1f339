#ifndef MUSTARDPROXY_FAULT_MATRIX_SCHEDULE_H_
#define MUSTARDPROXY_FAULT_MATRIX_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "faults.h"
#include "model_worker.h"

namespace mustardproxy::fault_matrix {

/// One schedule: a seed, and what the faults in it are limited to.
struct ScheduleOptions {
  std::uint64_t seed = 1;
  /// Set: the first fault strikes there, or is this one.
  std::optional<Step> step;
  std::optional<Fault> fault;
  ModelWorker::Rules rules;
  /// Prints what happens.
  bool verbose = false;
};

/// What has to happen in a cell for a step to be reached.
struct Preparation {
  /// An entry process dies under load, and is away until it was missed.
  bool kill_process = false;
  /// An entry process is stopped in good order, and nothing runs for so long
  /// that the stop outlasts the faults.
  bool stop_process = false;
  bool many_cancels = false;
  /// Reviews arrive at the process that dies, or at any.
  bool reviews = false;
  /// Another step that loses its answer, so that somebody is asked about it.
  std::optional<Step> loses_answer;
};

/// @return the faults of a schedule; consecutive seeds go through every step
///   with every fault
[[nodiscard]] std::vector<PlannedFault> DrawFaults(
    const ScheduleOptions& options);
[[nodiscard]] Preparation PreparationFor(Step step);
/// @return false if the fault has nothing to strike at that step
[[nodiscard]] bool CanStrike(Step step, Fault fault);

}  // namespace mustardproxy::fault_matrix

#endif  // MUSTARDPROXY_FAULT_MATRIX_SCHEDULE_H_
