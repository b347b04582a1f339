#ifndef MUSTARDPROXY_LOAD_METRICS_TEXT_H_
#define MUSTARDPROXY_LOAD_METRICS_TEXT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mustardproxy::load {

/// One line of the Prometheus text format.
struct MetricSample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

[[nodiscard]] std::vector<MetricSample> ParseMetrics(std::string_view text);

/// @return the sum of all samples of a name
[[nodiscard]] double SumOf(const std::vector<MetricSample>& samples,
                           std::string_view name);

/// A histogram merged over processes.
class MergedHistogram {
 public:
  /// Adds one process's cumulative buckets, in the order of the text.
  void Add(const std::vector<MetricSample>& cumulative);
  [[nodiscard]] double Count() const;
  /// @return upper edge of the bucket that holds quantile `q`
  [[nodiscard]] double Quantile(double q) const;

 private:
  /// Counts by upper edge.
  std::map<double, double> buckets;
};

/// @return the histograms `name`, by the value of the label `profile`
[[nodiscard]] std::map<std::string, MergedHistogram> HistogramsByProfile(
    const std::vector<std::vector<MetricSample>>& processes,
    std::string_view name);

}  // namespace mustardproxy::load

#endif  // MUSTARDPROXY_LOAD_METRICS_TEXT_H_
