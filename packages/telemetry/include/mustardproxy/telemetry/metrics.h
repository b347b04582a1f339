#ifndef MUSTARDPROXY_TELEMETRY_METRICS_H_
#define MUSTARDPROXY_TELEMETRY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace mustardproxy {

/// Counters and histograms of one process. Histograms are Boost.Histogram with
/// logarithmic bins from 1 to 10^9, each 12% wide; one takes under 2 KB. Safe
/// from any thread. Names get the prefix `mustardproxy_` in the text format; a
/// label is empty or a list such as `profile=urgent,team=a`. Series past 512
/// are left out, so that labels can not fill the memory.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds a sample, for example `waiting_time_us` with label `profile=urgent`.
  void Sample(std::string_view name, std::string_view label, double value);
  /// Adds to a counter.
  void Count(std::string_view name, std::string_view label,
             std::int64_t by = 1);
  /// Sets a gauge.
  void Set(std::string_view name, std::string_view label, double value);
  /// @return quantile `q` in 0..1 of a histogram, or 0 without samples
  [[nodiscard]] double Quantile(std::string_view name, std::string_view label,
                                double q) const;
  /// @return the sum of a counter over its labels, or 0 if there is none
  [[nodiscard]] std::int64_t Total(std::string_view name) const;
  /// @return everything in the Prometheus text format, with resident memory
  ///   and processor time of this process read at this moment
  [[nodiscard]] std::string Format() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_TELEMETRY_METRICS_H_
