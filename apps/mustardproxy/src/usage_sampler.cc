#include "usage_sampler.h"

#include <array>
#include <string_view>

namespace mustardproxy {
namespace {

constexpr double kPermille = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;

/// One part of resources, with the label that its samples get.
struct ResourcePart {
  std::string_view label;
  std::int64_t Resources::*amount;
};
constexpr std::array kParts{
    ResourcePart{"resource=cpu", &Resources::cpu_milli},
    ResourcePart{"resource=memory", &Resources::memory_mb},
    ResourcePart{"resource=accelerators", &Resources::accelerators},
    ResourcePart{"resource=slots", &Resources::slots},
};

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

}  // namespace

UsageSampler::UsageSampler(Metrics* metrics, Duration interval)
    : metrics(metrics), interval(interval) {}

void UsageSampler::Begin(Instant now, const UsageReading& reading) {
  this->sampled = now;
  this->due = now + this->interval;
  this->last = reading;
}

void UsageSampler::Sample(Instant now, const CoreStatus& status,
                          const UsageReading& reading) {
  this->SamplePacking(status);
  this->SampleRates(now - this->sampled, reading);
  this->metrics->Sample("resident_memory_bytes", "",
                        static_cast<double>(reading.resident_bytes));
  this->Begin(now, reading);
}

void UsageSampler::SamplePacking(const CoreStatus& status) {
  for (const ResourcePart& part : kParts) {
    std::int64_t capacity = status.capacity.*part.amount;
    if (capacity <= 0) continue;
    auto used = static_cast<double>(capacity - status.free.*part.amount);
    this->metrics->Sample("packing_permille", part.label,
                          kPermille * used / static_cast<double>(capacity));
  }
}

void UsageSampler::SampleRates(Duration passed, const UsageReading& reading) {
  if (passed <= Duration::zero()) return;
  double seconds = Seconds(passed);
  double cpu = reading.control_cpu_seconds - this->last.control_cpu_seconds;
  auto bytes =
      static_cast<double>(reading.control_bytes - this->last.control_bytes);
  this->metrics->Sample("control_cpu_us_per_second", "",
                        kMicrosecondsPerSecond * cpu / seconds);
  this->metrics->Sample("control_bytes_per_second", "", bytes / seconds);
}

}  // namespace mustardproxy
