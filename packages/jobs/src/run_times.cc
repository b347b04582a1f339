#include "run_times.h"

#include <algorithm>

namespace mustardproxy::jobs {
namespace {

/// Weight of one run in the moving average, which covers about the last twenty
/// runs.
constexpr double kWeight = 0.05;
/// Ratios outside of these bounds come from a worker that hangs or a task that
/// failed immediately.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10.0;

}  // namespace

void RunTimes::Learn(const QueueName& queue, Duration estimate,
                     Duration actual) {
  if (estimate <= Duration::zero()) return;
  const double ratio = std::clamp(static_cast<double>(actual.count()) /
                                      static_cast<double>(estimate.count()),
                                  kMinRatio, kMaxRatio);
  double& known = this->ratios[queue].actual_to_estimate;
  known += kWeight * (ratio - known);
}

Duration RunTimes::PredictRunTime(const QueueName& queue,
                                  Duration estimate) const {
  const auto found = this->ratios.find(queue);
  const double ratio =
      found == this->ratios.end() ? 1.0 : found->second.actual_to_estimate;
  return Duration(
      static_cast<std::int64_t>(ratio * static_cast<double>(estimate.count())));
}

}  // namespace mustardproxy::jobs
