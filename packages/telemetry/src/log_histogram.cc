#include "log_histogram.h"

#include <algorithm>
#include <cmath>

namespace mustardproxy::telemetry_detail {
namespace {

constexpr double kLowest = 1;
constexpr double kHighest = 1e9;
constexpr int kDecades = 9;
constexpr int kBinsPerDecade = 20;
constexpr int kBins = kDecades * kBinsPerDecade;
constexpr int kBinsPerBucket = 5;
constexpr int kUnderflow = -1;

}  // namespace

LogHistogram::LogHistogram()
    : histogram(std::make_tuple(Axis(kBins, kLowest, kHighest)), Storage()) {}

void LogHistogram::Add(double value) {
  if (std::isnan(value)) return;
  // The logarithm of a negative number would count as overflow.
  const double sample = std::max(value, 0.0);
  this->histogram(sample);
  ++this->count;
  this->sum += sample;
}

double LogHistogram::Quantile(double q) const {
  if (this->count == 0) return 0;
  const double rank =
      std::clamp(q, 0.0, 1.0) * static_cast<double>(this->count);
  auto below = static_cast<double>(this->histogram.at(kUnderflow));
  if (below > 0 && rank <= below) return 0;
  const Axis& axis = this->histogram.axis();
  for (int bin = 0; bin < kBins; ++bin) {
    const auto inside = static_cast<double>(this->histogram.at(bin));
    if (inside > 0 && rank <= below + inside) {
      return axis.value(bin + (rank - below) / inside);
    }
    below += inside;
  }
  return kHighest;
}

std::vector<LogHistogram::Bucket> LogHistogram::CumulativeBuckets() const {
  std::vector<Bucket> buckets;
  buckets.reserve(kBins / kBinsPerBucket);
  std::uint64_t total = this->histogram.at(kUnderflow);
  for (int bin = 0; bin < kBins; ++bin) {
    total += this->histogram.at(bin);
    if ((bin + 1) % kBinsPerBucket != 0) continue;
    buckets.push_back({this->histogram.axis().value(bin + 1), total});
  }
  return buckets;
}

}  // namespace mustardproxy::telemetry_detail
