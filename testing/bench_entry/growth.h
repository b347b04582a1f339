#ifndef MUSTARDPROXY_BENCH_ENTRY_GROWTH_H_
#define MUSTARDPROXY_BENCH_ENTRY_GROWTH_H_

#include <string_view>
#include <vector>

#include "load/metrics_text.h"

namespace mustardproxy::bench {

/// How far the counters of one process grew between two readings.
class Growth {
 public:
  Growth(const std::vector<load::MetricSample>& before,
         const std::vector<load::MetricSample>& after);

  [[nodiscard]] double Of(std::string_view name) const;
  /// @return a quantile of what a histogram counted in between, over all
  ///   profiles: the upper edge of its bucket
  [[nodiscard]] double Quantile(std::string_view histogram, double q) const;
  /// @return how many samples a histogram counted in between
  [[nodiscard]] double Count(std::string_view histogram) const;

 private:
  [[nodiscard]] load::MergedHistogram Merged(std::string_view histogram) const;

  std::vector<load::MetricSample> samples;
};

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_ENTRY_GROWTH_H_
