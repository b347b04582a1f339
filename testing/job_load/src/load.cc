#include "load.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace job_load {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMilliPerCore = 1000.0;
/// A rate of nothing: the next job comes after the experiment.
constexpr double kLeastRate = 1e-6;

/// @return a draw of the standard normal distribution
double DrawNormal(job_sim::Random* random) {
  const double radius = std::sqrt(-2.0 * std::log(1.0 - random->Draw()));
  return radius * std::cos(2.0 * std::numbers::pi * random->Draw());
}

std::int32_t DrawCount(job_sim::Random* random, const Spread& spread) {
  const auto drawn = std::lround(Draw(random, spread));
  return static_cast<std::int32_t>(std::max<long>(1, drawn));
}

jobs::Step DrawStep(job_sim::Random* random, const QueueLoad& load,
                    double declared_factor) {
  jobs::Step step;
  step.tasks = DrawCount(random, load.tasks);
  step.each.cpu_milli = DrawCount(random, load.cpu_milli);
  step.each.memory_mb = DrawCount(random, load.memory_mb);
  const double declared = declared_factor * Draw(random, load.run_ms);
  step.estimate =
      milliseconds(std::max<std::int64_t>(1, std::llround(declared)));
  step.gang = step.tasks > 1 && random->Chance(load.gang_share);
  step.long_running = load.long_running;
  return step;
}

}  // namespace

double Draw(job_sim::Random* random, const Spread& spread) {
  // The mean of such a draw is exp(spread^2 / 2) times its median.
  const double shift = spread.spread * spread.spread / 2;
  const double factor = std::exp(spread.spread * DrawNormal(random) - shift);
  return std::min(spread.most, spread.mean * factor);
}

DrawnJob DrawJob(job_sim::Random* random, const QueueLoad& load) {
  DrawnJob job;
  const double error = load.estimate_error * (2.0 * random->Draw() - 1.0);
  const double declared_factor = 1.0 + error;
  job.length_factor = 1.0 / declared_factor;
  job.hopeless = random->Chance(load.hopeless_share);
  // Drawn only where asked for: the jobs of other deployments stay as they
  // were.
  job.crashing =
      load.crashing_share > 0.0 && random->Chance(load.crashing_share);
  job.spec.payload = "payload";
  const std::int32_t steps = DrawCount(random, load.steps);
  for (std::int32_t i = 0; i < steps; ++i) {
    job.spec.steps.push_back(DrawStep(random, load, declared_factor));
    if (i > 0) job.spec.steps.back().after.push_back(i - 1);
  }
  return job;
}

Duration DrawPause(job_sim::Random* random, const QueueLoad& load,
                   Duration since_start) {
  double rate = load.jobs_per_second;
  for (const Burst& burst : load.bursts) {
    const bool now =
        since_start >= burst.at && since_start < burst.at + burst.length;
    if (now) rate *= burst.factor;
  }
  const double seconds =
      -std::log(1.0 - random->Draw()) / std::max(rate, kLeastRate);
  return microseconds(std::llround(seconds * kMicrosPerSecond));
}

Duration LongestChain(const DrawnJob& job) {
  Duration chain{0};
  for (const jobs::Step& step : job.spec.steps) chain += step.estimate;
  return Duration(
      std::llround(static_cast<double>(chain.count()) * job.length_factor));
}

double CoreSeconds(const DrawnJob& job) {
  double seconds = 0.0;
  for (const jobs::Step& step : job.spec.steps) {
    const double length = static_cast<double>(step.estimate.count()) *
                          job.length_factor / kMicrosPerSecond;
    seconds += length * step.tasks * static_cast<double>(step.each.cpu_milli) /
               kMilliPerCore;
  }
  return seconds;
}

}  // namespace job_load
