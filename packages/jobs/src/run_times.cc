#include "run_times.h"

#include <algorithm>

namespace mustardproxy::jobs {
namespace {

/// Weight of one run: the last twenty or so count.
constexpr double kWeight = 0.05;
/// Ratios beyond are those of a hanging worker or a task that failed at once.
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
