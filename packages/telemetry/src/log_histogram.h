#ifndef MUSTARDPROXY_TELEMETRY_LOG_HISTOGRAM_H_
#define MUSTARDPROXY_TELEMETRY_LOG_HISTOGRAM_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

namespace mustardproxy::telemetry_detail {

/// Histogram over nine decades with bins of equal ratio.
class LogHistogram {
 public:
  LogHistogram();

  /// Counts a sample; one below 1 counts as underflow, not a number is left
  /// out.
  void Add(double value);
  /// @return the quantile, interpolated within its bin, or 0 without samples
  [[nodiscard]] double Quantile(double q) const;

  /// A cumulative count as Prometheus wants it.
  struct Bucket {
    double upper = 0;
    std::uint64_t count = 0;
  };
  /// @return four buckets for each decade
  [[nodiscard]] std::vector<Bucket> CumulativeBuckets() const;
  [[nodiscard]] std::uint64_t Count() const { return this->count; }
  [[nodiscard]] double Sum() const { return this->sum; }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  Histogram histogram;
  std::uint64_t count = 0;
  double sum = 0;
};

}  // namespace mustardproxy::telemetry_detail

#endif  // MUSTARDPROXY_TELEMETRY_LOG_HISTOGRAM_H_
