#include "retry_delay.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace mustardproxy::jobs {
namespace {

using std::chrono::seconds;

/// The least that callers can be told over HTTP.
constexpr Duration kMinRetryDelay = seconds(1);
/// With this delay, the tries of a caller outlast the longest outage.
constexpr Duration kMaxRetryDelay = seconds(3);
/// Tries of a caller after the first one.
constexpr std::int64_t kCallerRetries = 4;

}  // namespace

Duration EstimateObjective(const Queue& queue, const JobSpec& spec) {
  // Steps only depend on earlier ones.
  std::vector<Duration> end_of_step;
  Duration chain{0};
  for (const Step& step : spec.steps) {
    Duration start{0};
    for (const std::int32_t earlier : step.after) {
      start =
          std::max(start, end_of_step.at(static_cast<std::size_t>(earlier)));
    }
    end_of_step.push_back(start + step.estimate);
    chain = std::max(chain, end_of_step.back());
  }
  return Duration(static_cast<std::int64_t>(
             queue.stretch * static_cast<double>(chain.count()))) +
         queue.target;
}

Duration RetryDelayInOutage(Duration objective) {
  return std::clamp(objective / kCallerRetries, kMinRetryDelay, kMaxRetryDelay);
}

}  // namespace mustardproxy::jobs
