#include "run_times.h"

#include <algorithm>
#include <cmath>

namespace mustardproxy::jobs {
namespace {

/// Steps that count, roughly: enough to tell the slope, few enough to follow a
/// queue whose work changes.
constexpr double kMemorySteps = 60.0;
/// Before anything is learnt estimates are believed, as if so many steps had
/// taken just what they declared, with times that vary by half either way.
/// Fewer are not enough: after a takeover the short runs end first, and with 2
/// all that still waited was taken for short and late (two days of 350 workers:
/// 0.46 and 0.50 of the worth, 0.51 and 0.57 with 20 and fewer empty claims).
constexpr double kBelievedSteps = 20.0;
constexpr double kBelievedVariance = 0.25;
/// Ratios beyond are those of a hanging worker or a task that failed at once.
constexpr double kMaxRatio = 20.0;

}  // namespace

void RunTimes::Sums::Fade(double factor) {
  this->weight *= factor;
  this->declared *= factor;
  this->actual *= factor;
  this->declared_squared *= factor;
  this->product *= factor;
}

void RunTimes::Sums::Add(double log_declared, double log_actual, double by) {
  this->weight += by;
  this->declared += by * log_declared;
  this->actual += by * log_actual;
  this->declared_squared += by * log_declared * log_declared;
  this->product += by * log_declared * log_actual;
}

double RunTimes::Sums::Expect(double log_declared) const {
  if (this->weight == 0.0) return log_declared;
  const double mean_declared = this->declared / this->weight;
  const double mean_actual = this->actual / this->weight;
  const double variance =
      this->declared_squared / this->weight - mean_declared * mean_declared;
  const double covariance =
      this->product / this->weight - mean_declared * mean_actual;
  const double believed = kBelievedSteps * kBelievedVariance;
  const double slope =
      std::clamp((this->weight * covariance + believed) /
                     (this->weight * std::max(0.0, variance) + believed),
                 0.0, 1.0);
  const double line = mean_actual + slope * (log_declared - mean_declared);
  const double trust = this->weight / (this->weight + kBelievedSteps);
  return log_declared + trust * (line - log_declared);
}

void RunTimes::Learn(const QueueName& queue, Duration estimate, Duration actual,
                     std::int32_t tasks) {
  if (estimate <= Duration::zero() || actual <= Duration::zero()) return;
  const double log_declared = std::log(static_cast<double>(estimate.count()));
  const double log_ratio =
      std::clamp(std::log(static_cast<double>(actual.count())) - log_declared,
                 -std::log(kMaxRatio), std::log(kMaxRatio));
  const double by = 1.0 / std::max(1, tasks);
  Sums& sums = this->queues[queue];
  sums.Fade(1.0 - by / kMemorySteps);
  sums.Add(log_declared, log_declared + log_ratio, by);
}

Duration RunTimes::Expect(const QueueName& queue, Duration estimate) const {
  const auto found = this->queues.find(queue);
  if (found == this->queues.end() || estimate <= Duration::zero()) {
    return estimate;
  }
  const double log_declared = std::log(static_cast<double>(estimate.count()));
  return Duration(std::llround(std::exp(found->second.Expect(log_declared))));
}

Duration RunTimes::Expect(const QueueName& queue, const Chain& chain) const {
  if (chain.steps == 0) return chain.declared;
  return chain.steps * this->Expect(queue, chain.declared / chain.steps);
}

}  // namespace mustardproxy::jobs
