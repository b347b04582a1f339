#ifndef MUSTARDPROXY_APP_USAGE_SAMPLER_H_
#define MUSTARDPROXY_APP_USAGE_SAMPLER_H_

#include <cstdint>

#include "mustardproxy/core/core.h"
#include "mustardproxy/telemetry/metrics.h"

namespace mustardproxy {

/// What control has taken of the machine up to a moment.
struct UsageReading {
  /// Processor time of the control thread.
  double control_cpu_seconds = 0;
  /// Bytes exchanged with workers and entry processes, without tasks.
  std::int64_t control_bytes = 0;
  /// Resident memory of the process at that moment.
  std::int64_t resident_bytes = 0;
};

/// Fills the histograms of packing, control bytes, control CPU and resident
/// memory at even intervals, so that each sample stands for as much time as any
/// other. Not thread-safe.
class UsageSampler {
 public:
  UsageSampler(Metrics* metrics, Duration interval);

  /// Sets the reading that the first sample is counted from.
  void Begin(Instant now, const UsageReading& reading);
  /// @return when the next sample is due
  [[nodiscard]] Instant Due() const { return this->due; }
  void Sample(Instant now, const CoreStatus& status,
              const UsageReading& reading);

 private:
  void SamplePacking(const CoreStatus& status);
  void SampleRates(Duration passed, const UsageReading& reading);

  Metrics* metrics;
  Duration interval;
  Instant sampled;
  Instant due;
  UsageReading last;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_APP_USAGE_SAMPLER_H_
