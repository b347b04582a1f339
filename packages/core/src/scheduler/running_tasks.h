#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_RUNNING_TASKS_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_RUNNING_TASKS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/ledger.h"
#include "scheduler/catalog.h"

namespace mustardproxy::detail {

/// Names a group of tasks that are stopped to make room for one urgent task.
using PreemptionGroup = std::uint64_t;

/// A placed task.
struct RunningEntry {
  TaskId task;
  RequestId request;
  ServiceIndex service = 0;
  TeamIndex team = 0;
  WorkerId worker;
  Resources resources;
  Instant started;
  /// Dominant share of the cell that it frees per second of its expected run.
  double release_per_second = 0;
  std::int32_t priority = 0;
  bool preemptible = false;
  bool gang = false;
  /// Set once it was named a victim.
  std::optional<PreemptionGroup> preemption_group;
};

/// Tasks that are placed and have not ended.
class RunningTasks {
 public:
  /// @return false if the task is known already
  bool Add(RunningEntry entry);
  std::optional<RunningEntry> Remove(const TaskId& task);
  [[nodiscard]] const RunningEntry* Find(const TaskId& task) const;
  [[nodiscard]] std::size_t Size() const { return this->entries.size(); }
  /// Dominant share of the cell that running tasks free per second, if they
  /// run as long as expected.
  [[nodiscard]] double ReleasePerSecond() const;
  /// The same without urgent tasks (priority 0).
  [[nodiscard]] double NonUrgentReleasePerSecond() const;
  /// Sum over tasks that may be stopped for urgent work, or are being stopped.
  [[nodiscard]] const Resources& Preemptible() const;
  /// @return when tasks are expected to end, in order of time
  /// @complexity n log n in the number of running tasks
  [[nodiscard]] std::vector<ExpectedRelease> ExpectedReleases(
      Instant now, const Catalog& catalog) const;

  /// Calls `visit(entry)` for each task that may be stopped, cheapest loss
  /// first, until it returns false: single tasks before parts of gangs, the
  /// least urgent first, then the one started last.
  template <typename Visitor>
  void VisitVictims(Visitor visit) const;
  [[nodiscard]] PreemptionGroup NewPreemptionGroup() {
    return ++this->last_group;
  }
  /// The task is no longer offered as a victim.
  void MarkPreempted(const TaskId& task, PreemptionGroup group);
  /// @return groups of which some task still runs
  [[nodiscard]] std::size_t ActivePreemptionGroups() const;

 private:
  void AdjustReleaseRate(const RunningEntry& entry, double sign);

  struct VictimOrder {
    bool operator()(const RunningEntry* a, const RunningEntry* b) const;
  };

  std::unordered_map<TaskId, RunningEntry> entries;
  std::set<const RunningEntry*, VictimOrder> victims;
  std::unordered_map<PreemptionGroup, std::size_t> preemption_groups;
  PreemptionGroup last_group = 0;
  double urgent_release_rate = 0;
  double non_urgent_release_rate = 0;
  Resources preemptible;
};

template <typename Visitor>
void RunningTasks::VisitVictims(Visitor visit) const {
  for (const RunningEntry* entry : this->victims) {
    if (!visit(*entry)) return;
  }
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_RUNNING_TASKS_H_
