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

/// Whether room that is held back for a gang may be used.
enum class HoldPolicy { kRespect, kIgnore };

/// A task's resources that are expected to become free.
struct ExpectedRelease {
  Instant at;
  WorkerId worker;
  Resources resources;
};

/// Where a gang is expected to fit, and when.
struct GangPlan {
  Instant at;
  /// One worker per task.
  std::vector<WorkerId> workers;
};

/// What one process knows of the capacity of the workers it owns: the one place
/// where capacity is counted, so that no worker is overcommitted. Rebuilt from
/// the worker's own answer at each attach.
///
/// Placement looks workers up through an index over free resources, so that a
/// decision costs far less than a scan of all workers.
class Ledger {
 public:
  Ledger();
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;

  /// Counts a worker from now on, with what it already runs.
  /// Replaces what was known of it.
  void AddWorker(const WorkerDescription& worker, const WorkerReport& report);
  /// Forgets a worker and all that was reserved on it.
  void RemoveWorker(const WorkerId& worker);
  /// Tasks already there go on; new ones are placed only if `placeable`.
  /// `share` in 0..1 caps the slots handed out while a worker returns from
  /// ejection.
  void SetPlaceable(const WorkerId& worker, bool placeable, double share = 1.0);

  /// Takes resources for a task.
  /// @return false, with nothing taken, if they do not fit there now
  [[nodiscard]] bool Reserve(const WorkerId& worker, const TaskId& task,
                             const Resources& resources);
  /// Gives a task's resources back; unknown tasks are ignored.
  void Release(const WorkerId& worker, const TaskId& task);
  /// Brings reservations in line with what the worker says it runs: adds tasks
  /// found there. Never drops a reservation, since a start may be on its way.
  void Reconcile(const WorkerId& worker, std::span<const RunningTask> running);

  /// Finds a worker for one task without reserving it.
  /// @param avoid workers that must not be used
  /// @return nothing if it fits nowhere now
  /// @complexity far below linear in the number of workers
  [[nodiscard]] std::optional<WorkerId> Find(
      const Resources& resources, Packing packing,
      std::span<const WorkerId> avoid,
      HoldPolicy holds = HoldPolicy::kRespect) const;
  /// Finds room for `tasks` like tasks at once, within one rack if possible.
  /// @return one worker per task (a worker may stand several times), or empty
  [[nodiscard]] std::vector<WorkerId> FindGang(
      const Resources& resources, std::int32_t tasks, Packing packing,
      std::span<const WorkerId> avoid,
      HoldPolicy holds = HoldPolicy::kRespect) const;
  /// Finds the earliest moment at which a gang fits if tasks end as expected.
  /// HoldPolicy are left out of account.
  /// @param releases in order of time
  /// @return nothing if it does not fit even after all of them
  [[nodiscard]] std::optional<GangPlan> PlanGang(
      const Resources& resources, std::int32_t tasks, Packing packing,
      std::span<const WorkerId> avoid, Instant now,
      std::span<const ExpectedRelease> releases) const;

  /// Keeps room on a worker back for a gang: searches that respect holds see
  /// that much less free there. Replaces the hold there; unknown workers are
  /// ignored.
  void Hold(const WorkerId& worker, const Resources& resources);
  void ClearHolds();
  /// @return what is held back there
  [[nodiscard]] Resources HeldResources(const WorkerId& worker) const;

  /// Counts from now on how many tasks of this size fit, for `TrackedFitCount`.
  /// @complexity linear in the number of workers when the size changes
  void TrackFitCount(const Resources& task);
  /// @return how many tasks of the tracked size fit now
  /// @complexity constant
  [[nodiscard]] std::int64_t TrackedFitCount() const;
  /// @return the same if `resources` were taken on `worker`
  [[nodiscard]] std::int64_t TrackedFitCountWithout(
      const WorkerId& worker, const Resources& resources) const;

  /// @return true if an empty owned worker could hold it
  [[nodiscard]] bool CouldEverFit(const Resources& resources) const;
  /// @return how many such tasks all open workers, emptied, could hold
  [[nodiscard]] std::int64_t CountFittingWhenIdle(
      const Resources& resources) const;
  [[nodiscard]] Resources LargestCapacity() const;
  [[nodiscard]] Resources TotalCapacity() const;
  /// Free on workers that take new work.
  [[nodiscard]] Resources TotalFree() const;
  /// Part by part, the most that is free on one worker that takes new work.
  [[nodiscard]] Resources LargestFree() const;
  [[nodiscard]] std::optional<Resources> FreeOn(const WorkerId& worker) const;
  [[nodiscard]] std::size_t WorkerCount() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_LEDGER_H_
