#ifndef JOB_SIM_SCHEDULE_H_
#define JOB_SIM_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "job_sim/virtual_time.h"

namespace job_sim {

/// What became of one seeded run.
struct ScheduleResult {
  std::vector<std::string> broken;
  std::vector<std::string> log;
  /// Faults that were injected, in order.
  std::vector<std::string> faults;
  std::int64_t runs = 0;
  std::int64_t jobs = 0;
  /// Jobs that were given up though they could have been done, as crashes under
  /// their tasks allow.
  std::size_t given_up_wrongly = 0;
};

/// What is played beside the usual.
struct ScheduleOptions {
  /// Time of an answer of the store.
  Duration store_latency = std::chrono::milliseconds(4);
  /// Some tasks take their workers down, and workers shrink and grow.
  bool crashing_tasks = false;
  /// Workers start again under the ids that they had, alone and many at once,
  /// with other capacity, and behind cuts.
  bool reused_worker_ids = false;
  /// Teams with keys and caps, which operators change.
  bool teams = false;
  /// Operators evacuate data centres, one or all, and cancel that.
  bool evacuations = false;
  /// Workers are lost or cut off, from all processes or from some, and then the
  /// owner goes, more than once. The id of a worker names one life, and nothing
  /// tells when it began.
  bool takeovers = false;
  /// Workers take a bounded number of connections, and steps have many tasks.
  bool bounded_connections = false;
};

/// Plays a cell with jobs and faults drawn from the seed: processes killed,
/// paused, stopped and cut off; the store silent, refusing, forgetful, its
/// answers lost and its writes late; workers crashed, cut off, drained, failing
/// and answering late; jobs cancelled; with teams, keys revoked and added and
/// caps changed; data centres evacuated. In the end all faults are over and
/// every accepted job has to end.
[[nodiscard]] ScheduleResult PlaySchedule(std::uint64_t seed,
                                          const ScheduleOptions& options = {});

}  // namespace job_sim

#endif  // JOB_SIM_SCHEDULE_H_
