#include "scheduler/run_times.h"

#include <algorithm>
#include <cmath>

namespace mustardproxy::detail {
namespace {

constexpr double kBucketsPerOctave = 4.0;
/// Number of samples at which all counts are halved.
constexpr std::uint32_t kMaxSamples = 2048;
/// Number of samples between updates of the quantiles; up to twice this number,
/// each sample updates them.
constexpr std::uint32_t kSamplesPerUpdate = 32;
/// A task in the last non-empty bucket is expected to run for its elapsed time
/// divided by this, about half the width of a bucket.
constexpr std::int64_t kRemainingDivisor = 10;

std::size_t BucketOf(Duration run, std::size_t buckets) {
  const auto us = static_cast<double>(std::max<Duration::rep>(run.count(), 1));
  const auto bucket =
      static_cast<std::size_t>(std::log2(us) * kBucketsPerOctave);
  return std::min(bucket, buckets - 1);
}

/// @return geometric mean of a bucket's bounds
Duration MiddleOf(std::size_t bucket) {
  const double octave = (static_cast<double>(bucket) + 0.5) / kBucketsPerOctave;
  return Duration(static_cast<Duration::rep>(std::exp2(octave)));
}

}  // namespace

void RunTimes::Add(Duration run) {
  ++this->counts[BucketOf(run, kBuckets)];
  ++this->total;
  this->sum_us += static_cast<double>(run.count());
  if (this->total >= kMaxSamples) this->HalveCounts();
  ++this->samples_since_update;
  if (this->total < 2 * kSamplesPerUpdate ||
      this->samples_since_update >= kSamplesPerUpdate) {
    this->UpdateQuantiles();
  }
}

void RunTimes::HalveCounts() {
  const double before = this->total;
  this->total = 0;
  for (std::uint32_t& count : this->counts) {
    count = (count + 1) / 2;
    this->total += count;
  }
  this->sum_us *= this->total / before;
}

void RunTimes::UpdateQuantiles() {
  this->samples_since_update = 0;
  this->median = this->Quantile(0.5);
  this->p90 = this->Quantile(0.9);
  std::uint32_t above = 0;
  std::size_t middle = kBuckets;
  std::uint32_t at_or_above_middle = 0;
  for (std::size_t bucket = kBuckets; bucket-- > 0;) {
    above += this->counts[bucket];
    // The middle only moves down, since each step adds samples below it.
    while (middle > bucket && 2 * at_or_above_middle < above) {
      at_or_above_middle += this->counts[--middle];
    }
    this->median_from[bucket] = above == 0 ? Duration(0) : MiddleOf(middle);
  }
}

Duration RunTimes::Quantile(double share) const {
  const double wanted = share * this->total;
  double seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += this->counts[bucket];
    if (seen >= wanted && seen > 0) return MiddleOf(bucket);
  }
  return Duration(0);
}

Duration RunTimes::Mean() const {
  if (this->total == 0) return Duration(0);
  return Duration(static_cast<Duration::rep>(this->sum_us / this->total));
}

Duration RunTimes::Remaining(Duration elapsed) const {
  const std::size_t bucket = BucketOf(elapsed, kBuckets);
  const Duration end = this->median_from[bucket];
  if (end > elapsed) return end - elapsed;
  const bool outlived = end == Duration(0);
  const Duration left = outlived ? elapsed : elapsed / kRemainingDivisor;
  return std::max(left, Duration(1));
}

}  // namespace mustardproxy::detail
