#ifndef MUSTARDPROXY_JOBS_PREEMPTION_H_
#define MUSTARDPROXY_JOBS_PREEMPTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "mustardproxy/core/resource_math.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"
#include "options.h"
#include "start_deadlines.h"

namespace mustardproxy::jobs {

/// How long urgent tasks wait for capacity before anything is stopped for them:
/// in a busy cell some run ends every few milliseconds.
inline constexpr Duration kShortageWait = milliseconds(25);
/// Typical time from the decision to stop a run until its end is listed. Runs
/// that are predicted to end sooner are not stopped.
inline constexpr Duration kExpectedStopTime = milliseconds(400);
/// A run that has not ended this long after its stop is not counted on any
/// more.
inline constexpr Duration kMaxStopTime = milliseconds(1500);
/// Interval of the checkpoints of a checkpointing task: the most work that it
/// repeats.
inline constexpr Duration kCheckpointInterval = milliseconds(1000);
/// Time that a run takes to resume from a checkpoint.
inline constexpr Duration kRestoreTime = milliseconds(500);
/// Maximum number of times that a task is preempted.
inline constexpr std::int32_t kMaxPreemptions = 2;
/// Minimum time between two preemptions of a task.
inline constexpr Duration kPreemptionPause = seconds(3);
/// Maximum share of the capacity that may be preempted at the same time. A
/// single run may always be.
inline constexpr double kMaxPreemptedShare = 0.4;

/// Part of a candidate for preemption that runs on one worker.
struct VictimMember {
  /// Index of the worker.
  std::size_t worker = 0;
  Resources resources;
};

/// A running task, or a whole gang, that could be stopped.
struct PreemptionVictim {
  /// One run, or all runs of a gang.
  std::vector<VictimMember> members;
  /// Priority of its queue.
  std::int32_t priority = 1;
  bool gang = false;
  bool long_running = false;
  bool checkpointing = false;
  Instant started_at;
  Instant expected_end;
  /// Whether its job is on time.
  DeadlineStatus deadline_status = DeadlineStatus::kOnTime;
  std::int32_t preemptions = 0;
  Instant preempted_at;

  /// @return the run time of one member that is repeated if it is stopped,
  ///   including the time to resume
  [[nodiscard]] Duration Lost(Instant now) const;
  /// @return true if it may be stopped for a task of priority 0
  [[nodiscard]] bool MayBeStopped(Instant now) const;
  /// @return lost processor time, weighted by its value to callers
  [[nodiscard]] double Cost(Instant now) const;
};

/// Capacity of a worker.
struct PreemptionWorker {
  Resources free;
  /// Resources of runs that are being stopped or are predicted to end by the
  /// time at which a run stopped now would have ended.
  Resources freeing;
};

/// A worker that the urgent tasks may use.
struct UrgentPlace {
  /// Index of the worker.
  std::size_t worker = 0;
  /// Maximum number of these tasks on it.
  std::int64_t max_tasks = kUnboundedCount;
};

/// Tasks of an urgent step that found no capacity.
struct UrgentTasks {
  /// Resources of one task.
  Resources demand;
  std::int64_t tasks = 0;
  /// All of them start or none.
  bool gang = false;
  /// When they must start to be done in time.
  Instant latest_start = Instant::max();
  /// Since when they have lacked capacity.
  Instant short_since;
  std::span<const UrgentPlace> places;

  /// @return true if runs may be stopped for them: they have waited, and would
  ///   still start in time
  [[nodiscard]] bool MayPreempt(Instant now) const;
};

struct PreemptionPlan {
  /// Indexes of the candidates to stop.
  std::vector<std::size_t> victims;
  /// The worker of each task that waits for capacity to become free.
  std::vector<std::size_t> workers;
};

/// Decides which runs to stop so that urgent tasks fit, during one pass over
/// the queue. Units are to be given in order of rank: each takes its part of
/// the capacity that is becoming free, so that no run is stopped for tasks that
/// have been provided for.
class Preemption {
 public:
  /// @param total_cpu_milli processors of all workers
  /// @param preempted_cpu_milli processors of runs that are being preempted
  Preemption(Instant now, std::int64_t total_cpu_milli,
             std::int64_t preempted_cpu_milli);

  /// @return the index of the worker
  std::size_t AddWorker(const PreemptionWorker& worker);
  /// @return the index of the candidate
  std::size_t AddVictim(PreemptionVictim victim);
  /// @return true if the share that may be preempted is not used up
  [[nodiscard]] bool MayStopMore() const {
    return this->preempted_cpu_milli == 0 ||
           this->preempted_cpu_milli < this->max_preempted_cpu_milli;
  }
  /// Assigns the tasks to capacity that is becoming free, and chooses the
  /// cheapest runs to stop for the others.
  [[nodiscard]] PreemptionPlan Plan(const UrgentTasks& urgent);

 private:
  struct Choice {
    std::vector<std::size_t> victims;
    /// Additional tasks that fit, and the cost for each of them.
    std::int64_t tasks = 0;
    double cost_per_task = 0;

    /// @return true if it is cheaper, or serves more tasks at the same cost
    [[nodiscard]] bool BetterThan(const std::optional<Choice>& other) const;
  };

  /// Assigns up to `limit` tasks to available capacity.
  std::int64_t Assign(const UrgentTasks& urgent, std::int64_t limit,
                      std::vector<std::int64_t>* taken,
                      std::vector<std::size_t>* workers);
  /// @return the cheapest candidates that make room for another task there
  [[nodiscard]] std::optional<Choice> ChooseAt(const UrgentTasks& urgent,
                                               std::size_t worker,
                                               std::int64_t tasks_left) const;
  /// @return true if this much more capacity may be preempted
  [[nodiscard]] bool WithinShare(std::span<const std::size_t> victims) const;
  void Take(std::size_t victim);
  void PutBack(std::size_t victim);
  /// Removes the candidates without which the tasks fit as well.
  void Prune(const UrgentTasks& urgent, std::int64_t tasks,
             std::span<const std::int64_t> taken,
             std::vector<std::size_t>* victims);
  [[nodiscard]] std::int64_t CountRoom(
      const UrgentTasks& urgent, std::span<const std::int64_t> taken) const;

  Instant now;
  std::int64_t max_preempted_cpu_milli;
  std::int64_t preempted_cpu_milli;
  /// Capacity of each worker that is free or becoming free and not assigned.
  std::vector<Resources> available;
  std::vector<PreemptionVictim> victims;
  /// Cost of each candidate.
  std::vector<double> costs;
  std::vector<bool> chosen;
  /// The candidates on each worker that may be stopped.
  std::vector<std::vector<std::size_t>> victims_at;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PREEMPTION_H_
