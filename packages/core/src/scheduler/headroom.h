#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_

#include <cstdint>
#include <optional>

#include "mustardproxy/core/ledger.h"
#include "scheduler/catalog.h"

namespace mustardproxy::detail {

/// Room kept free for urgent work (priority 0), as much as its measured
/// arrivals and run times ask for.
///
/// With arrivals at random, the number of urgent tasks that run at once has
/// about the mean and variance of `rate * run time`. Room is kept for that mean
/// and some standard deviations, less what urgent tasks hold already: three
/// deviations if other work hardly ever ends, one if so much of it ends that an
/// urgent request soon finds room anyway. Never for more than half of the cell.
class Headroom {
 public:
  /// Works the target out again if it is due.
  void Update(Instant now, const Catalog& catalog, Ledger* ledger);
  /// Follows the other work that runs.
  /// @param share_per_second share of the cell that its ends free
  void SetNonUrgentReleaseRate(double share_per_second);
  void OnUrgentStarted() { ++this->running; }
  void OnUrgentEnded() { --this->running; }
  /// @return tasks of the mean urgent size to be kept room for now
  [[nodiscard]] std::int64_t ReservedTasks() const;
  /// @return the part of it that work of a priority must leave: half for
  ///   priority 1, three quarters for 2, and so on. So work in the middle is
  ///   not shut out by long tasks of the lowest priority.
  [[nodiscard]] std::int64_t ReservedTasksFor(std::int32_t priority) const;
  /// The mean urgent task.
  [[nodiscard]] const Resources& MeanTask() const { return this->task; }
  /// @return when the target changes next
  [[nodiscard]] std::optional<Instant> NextUpdate() const;

 private:
  std::optional<Instant> updated;
  Resources task;
  /// Dominant share of the cell that the mean urgent task takes.
  double task_share = 0;
  /// Mean number of urgent tasks that run at once.
  double mean_tasks = 0;
  /// Wait that an urgent request may well meet.
  double window_seconds = 0;
  double non_urgent_ends_per_second = 0;
  std::int64_t max_tasks = 0;
  std::int64_t running = 0;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_HEADROOM_H_
