#ifndef MUSTARDPROXY_CORE_LEDGER_H_
#define MUSTARDPROXY_CORE_LEDGER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/core/worker.h"

namespace mustardproxy {

/// Whether a search may use capacity that is held for a gang.
enum class HoldPolicy { kRespect, kIgnore };

/// Resources of a task that are expected to be released.
struct ExpectedRelease {
  Instant at;
  WorkerId worker;
  Resources resources;
};

/// Expected start time and workers of a gang.
struct GangPlan {
  Instant at;
  /// One worker per task.
  std::vector<WorkerId> workers;
};

/// Capacity of the workers that one process owns. Capacity is accounted for
/// only here, so that no worker is overcommitted. The entry of a worker is
/// rebuilt from the worker's report at each attach.
///
/// Searches use an index over free resources, so that a placement decision
/// costs far less than a scan of all workers.
class Ledger {
 public:
  Ledger();
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;

  /// Adds a worker with the tasks that it reports as running. Replaces an
  /// existing entry of the same worker.
  void AddWorker(const WorkerDescription& worker, const WorkerReport& report);
  /// Removes a worker together with its reservations.
  void RemoveWorker(const WorkerId& worker);
  /// Sets whether new tasks may be placed on a worker. Running tasks are not
  /// affected.
  /// @param share fraction of the slots that may be used, in 0..1; limits a
  ///   worker that returns from ejection
  void SetPlaceable(const WorkerId& worker, bool placeable, double share = 1.0);

  /// Reserves resources for a task.
  /// @return false, with nothing reserved, if the resources do not fit there
  ///   now
  [[nodiscard]] bool Reserve(const WorkerId& worker, const TaskId& task,
                             const Resources& resources);
  /// Releases the resources of a task. Unknown tasks are ignored.
  void Release(const WorkerId& worker, const TaskId& task);
  /// Adds the tasks that the worker reports as running. Never removes a
  /// reservation, since the start of its task may still be in flight.
  void Reconcile(const WorkerId& worker, std::span<const RunningTask> running);

  /// Finds a worker for one task without reserving its resources.
  /// @param avoid workers that must not be used
  /// @return nothing if the task fits on no worker now
  /// @complexity far below linear in the number of workers
  [[nodiscard]] std::optional<WorkerId> Find(
      const Resources& resources, Packing packing,
      std::span<const WorkerId> avoid,
      HoldPolicy holds = HoldPolicy::kRespect) const;
  /// Finds workers for `tasks` identical tasks at once, within one rack if
  /// possible.
  /// @return one worker per task (a worker may occur several times), or empty
  [[nodiscard]] std::vector<WorkerId> FindGang(
      const Resources& resources, std::int32_t tasks, Packing packing,
      std::span<const WorkerId> avoid,
      HoldPolicy holds = HoldPolicy::kRespect) const;
  /// Finds the earliest time at which a gang fits if running tasks end as
  /// expected. Ignores holds.
  /// @param releases sorted by time
  /// @return nothing if the gang does not fit even after all releases
  [[nodiscard]] std::optional<GangPlan> PlanGang(
      const Resources& resources, std::int32_t tasks, Packing packing,
      std::span<const WorkerId> avoid, Instant now,
      std::span<const ExpectedRelease> releases) const;

  /// Holds capacity on a worker for a gang: searches that respect holds see
  /// that much less free capacity there. Replaces the existing hold on the
  /// worker. Unknown workers are ignored.
  void Hold(const WorkerId& worker, const Resources& resources);
  void ClearHolds();
  /// @return capacity held on a worker
  [[nodiscard]] Resources HeldResources(const WorkerId& worker) const;

  /// Sets the task size that `TrackedFitCount` counts.
  /// @complexity linear in the number of workers when the size changes
  void TrackFitCount(const Resources& task);
  /// @return how many tasks of the tracked size fit now
  /// @complexity constant
  [[nodiscard]] std::int64_t TrackedFitCount() const;
  /// @return `TrackedFitCount` after `resources` would be reserved on `worker`
  [[nodiscard]] std::int64_t TrackedFitCountWithout(
      const WorkerId& worker, const Resources& resources) const;

  /// @return true if the resources fit on an idle worker
  [[nodiscard]] bool CouldEverFit(const Resources& resources) const;
  /// @return number of such tasks that all workers could run if they were idle
  [[nodiscard]] std::int64_t CountFittingWhenIdle(
      const Resources& resources) const;
  [[nodiscard]] Resources LargestCapacity() const;
  [[nodiscard]] Resources TotalCapacity() const;
  /// Sum of the free resources of all workers that accept new tasks.
  [[nodiscard]] Resources TotalFree() const;
  /// Component-wise maximum of the free resources of the workers that accept
  /// new tasks.
  [[nodiscard]] Resources LargestFree() const;
  [[nodiscard]] std::optional<Resources> FreeOn(const WorkerId& worker) const;
  [[nodiscard]] std::size_t WorkerCount() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_LEDGER_H_
