#ifndef MUSTARDPROXY_CORE_LIFECYCLE_PLACING_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_PLACING_H_

#include <span>
#include <utility>
#include <vector>

#include "lifecycle/request_table.h"
#include "lifecycle/task_tracker.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/journal_record.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/scheduler.h"

namespace mustardproxy::detail {

struct Parts;

/// Connects the scheduler with the flows: dispatches placements, preemptions
/// and expired requests, and reports results of tasks to the worker health.
class Placing {
 public:
  explicit Placing(Parts* parts) : parts(parts) {}

  /// Adds a request to the queue of this process.
  /// @return a refusal if no resources are expected to be free in time, or if
  ///   this process owns no worker
  [[nodiscard]] Admission Enqueue(const ActiveRequest& entry,
                                  Instant placement_deadline);
  /// Places queued requests, at most a bounded number of tasks per call.
  void Run();
  /// Notifies the flows of requests that expired in the queue.
  void Expire();
  /// Preempts tasks to free resources for more urgent work.
  void ChooseVictims();
  [[nodiscard]] Instant NextWakeup() const;

  /// Frees the resources of placements that are no longer needed.
  void ReleasePlacements(std::span<const Placement> placements);
  /// Starts tracking a placed task.
  TaskPlan Plan(const Placement& placement, const ServiceId& service,
                Duration max_run, bool detached);
  /// Starts tracking a task that the former writer of an adopted journal
  /// started.
  void Watch(const StartedRecord& started, const Request& request);
  /// Adds failed workers to the avoided ones of the next attempt; removes the
  /// oldest when too few workers would be left.
  void Avoid(std::vector<WorkerId>* avoid,
             std::span<const WorkerId> failed) const;
  /// Reports the result of a task to the worker health.
  void RecordHealth(const TaskUpdate& update, const ServiceId& service);
  /// @return true if the health of a worker may have changed since the last
  ///   call
  [[nodiscard]] bool TakeHealthChanged() {
    return std::exchange(this->health_changed, false);
  }
  void RecordWait(const ProfileId& profile, Instant arrived);

 private:
  Parts* parts;
  bool health_changed = false;
  bool more_to_place = false;
  Instant next_victims;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_PLACING_H_
