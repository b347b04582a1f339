#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_

#include <cstdint>
#include <optional>

#include "mustardproxy/core/ledger.h"
#include "scheduler/catalog.h"

namespace mustardproxy::detail {

/// Capacity kept free for urgent work (priority 0), sized by its measured
/// arrival rate and run time.
///
/// With random arrivals, the number of urgent tasks running concurrently has
/// mean and variance of about `rate * run time`. The headroom is this mean plus
/// a number of standard deviations, less the urgent tasks already running:
/// three deviations if other work rarely ends, down to one if enough of it ends
/// for an urgent request to be placed soon anyway. It never exceeds half of the
/// cell.
class Headroom {
 public:
  /// Recomputes the target if it is due.
  void Update(Instant now, const Catalog& catalog, Ledger* ledger);
  /// Sets the rate at which non-urgent tasks release capacity.
  /// @param share_per_second share of the cell released per second
  void SetNonUrgentReleaseRate(double share_per_second);
  void OnUrgentStarted() { ++this->running; }
  void OnUrgentEnded() { --this->running; }
  /// @return number of tasks of the mean urgent size to keep capacity free for
  [[nodiscard]] std::int64_t ReservedTasks() const;
  /// @return the part of the headroom that a priority must leave free: half for
  ///   priority 1, three quarters for priority 2, and so on. Long tasks of the
  ///   lowest priority thus cannot lock out intermediate priorities.
  [[nodiscard]] std::int64_t ReservedTasksFor(std::int32_t priority) const;
  /// Resources of the mean urgent task.
  [[nodiscard]] const Resources& MeanTask() const { return this->task; }
  /// @return time of the next recomputation
  [[nodiscard]] std::optional<Instant> NextUpdate() const;

 private:
  std::optional<Instant> updated;
  Resources task;
  /// Dominant share of the cell used by the mean urgent task.
  double task_share = 0;
  /// Mean number of urgent tasks running concurrently.
  double mean_tasks = 0;
  /// Acceptable wait of an urgent request.
  double window_seconds = 0;
  double non_urgent_ends_per_second = 0;
  std::int64_t max_tasks = 0;
  std::int64_t running = 0;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_
