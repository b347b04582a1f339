#ifndef SOAK_SOAK_H_
#define SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Randomized soak of real processes.
namespace soak {

/// One run, repeatable in its plan, not in the timing of the processes.
struct SoakOptions {
  std::uint64_t seed = 1;
  std::size_t processes = 3;
  std::size_t workers = 8;
  std::size_t workers_per_rack = 4;
  /// Connections that a rack takes; further ones are reset.
  std::size_t rack_connections = 64;
  /// How long jobs come and faults strike.
  std::chrono::milliseconds length = std::chrono::seconds(12);
  /// Pause between two jobs, in the mean.
  std::chrono::milliseconds job_pause{120};
  std::int32_t faults = 5;
  /// Some tasks take their workers down, and workers shrink and grow.
  bool crashing_tasks = false;
  /// Workers start again under the ids that they had, many at once.
  bool reused_ids = false;
  /// Folder for settings and logs; one that is made if it is empty.
  std::string folder;
};

/// What it showed.
struct SoakResult {
  std::vector<std::string> broken;
  /// Faults and other turns, with the time since the start.
  std::vector<std::string> events;
  std::int64_t jobs = 0;
  std::int64_t accepted = 0;
  /// Refused each time, and so must not have run.
  std::int64_t refused = 0;
  /// Never answered: may have run or not.
  std::int64_t unknown = 0;
  std::int64_t runs = 0;
  std::string folder;
};

/// Starts a cell, hands jobs in, injects faults drawn from the seed, ends all
/// faults and judges: no promise was broken on the workers' side, each accepted
/// job ended and each process says so, nothing refused has run, and each
/// process ends by itself on SIGTERM.
[[nodiscard]] SoakResult RunSoak(const SoakOptions& options);

}  // namespace soak

#endif  // SOAK_SOAK_H_
