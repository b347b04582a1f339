#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_RUN_TIMES_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_RUN_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// Quantiles of a service's measured run times, in buckets of a quarter octave
/// (19 % wide). Old samples lose weight, so that the estimates follow changes.
class RunTimes {
 public:
  void Add(Duration run);
  [[nodiscard]] bool HasSamples() const { return this->total > 0; }
  /// @return zero without samples
  [[nodiscard]] Duration Median() const { return this->median; }
  [[nodiscard]] Duration NinetiethPercentile() const { return this->p90; }
  [[nodiscard]] Duration Mean() const;
  /// @return median of the remaining time of a task that has run for `elapsed`;
  ///   equal to `elapsed` if the task has outlived every sample
  [[nodiscard]] Duration Remaining(Duration elapsed) const;

 private:
  static constexpr std::size_t kBuckets = 168;

  void HalveCounts();
  void UpdateQuantiles();
  [[nodiscard]] Duration Quantile(double share) const;

  std::array<std::uint32_t, kBuckets> counts{};
  /// Median of all samples at or above a bucket.
  std::array<Duration, kBuckets> median_from{};
  std::uint32_t total = 0;
  std::uint32_t samples_since_update = 0;
  double sum_us = 0;
  Duration median{0};
  Duration p90{0};
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_RUN_TIMES_H_
