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

/// Identifies a group of tasks that are preempted for one urgent task.
using PreemptionGroup = std::uint64_t;

/// A placed task that has not ended.
struct RunningEntry {
  TaskId task;
  RequestId request;
  ServiceIndex service = 0;
  TeamIndex team = 0;
  WorkerId worker;
  Resources resources;
  Instant started;
  /// Dominant share of the cell that it releases per second of its expected run
  /// time.
  double release_per_second = 0;
  std::int32_t priority = 0;
  bool preemptible = false;
  bool gang = false;
  /// Set when the task is selected as a victim.
  std::optional<PreemptionGroup> preemption_group;
};

/// Tasks that were placed and have not ended.
class RunningTasks {
 public:
  /// @return false if the task is known
  bool Add(RunningEntry entry);
  std::optional<RunningEntry> Remove(const TaskId& task);
  [[nodiscard]] const RunningEntry* Find(const TaskId& task) const;
  [[nodiscard]] std::size_t Size() const { return this->entries.size(); }
  /// Dominant share of the cell that running tasks release per second if they
  /// run as long as expected.
  [[nodiscard]] double ReleasePerSecond() const;
  /// Like `ReleasePerSecond`, without urgent tasks (priority 0).
  [[nodiscard]] double NonUrgentReleasePerSecond() const;
  /// Total resources of the tasks that may be preempted or are being preempted.
  [[nodiscard]] const Resources& Preemptible() const;
  /// @return expected ends of the tasks, sorted by time
  /// @complexity n log n in the number of running tasks
  [[nodiscard]] std::vector<ExpectedRelease> ExpectedReleases(
      Instant now, const Catalog& catalog) const;

  /// Calls `visit(entry)` for each task that may be preempted, in order of
  /// increasing cost, until it returns false: single tasks before tasks of
  /// gangs, then the least urgent first, then the one started last.
  template <typename Visitor>
  void VisitVictims(Visitor visit) const;
  [[nodiscard]] PreemptionGroup NewPreemptionGroup() {
    return ++this->last_group;
  }
  /// Excludes the task from `VisitVictims`.
  void MarkPreempted(const TaskId& task, PreemptionGroup group);
  /// @return number of groups with a task that still runs
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
