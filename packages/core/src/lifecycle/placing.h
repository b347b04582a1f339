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

/// Between the scheduler and the flows: hands out placements, victims and
/// requests given up on, and tells the health of workers how tasks ended.
class Placing {
 public:
  explicit Placing(Parts* parts) : parts(parts) {}

  /// Puts a request into the queue of this process.
  /// @return a refusal if no room is to be expected in time, or if this process
  ///   owns no worker
  [[nodiscard]] Admission Enqueue(const ActiveRequest& entry,
                                  Instant placement_deadline);
  /// Places what fits, within a bound on the time.
  void Run();
  /// Tells the flows what the scheduler has given up on.
  void Expire();
  /// Stops tasks that must make room.
  void ChooseVictims();
  [[nodiscard]] Instant NextWakeup() const;

  /// Gives placements back that nobody wants any more.
  void ReleasePlacements(std::span<const Placement> placements);
  /// Follows a placed task from now on.
  TaskPlan Plan(const Placement& placement, const ServiceId& service,
                Duration max_run, bool detached);
  /// Follows a task that the writer of an adopted journal has started.
  void Watch(const StartedRecord& started, const Request& request);
  /// Keeps failed workers out of the next attempt; the oldest are allowed again
  /// when too few are left.
  void Avoid(std::vector<WorkerId>* avoid,
             std::span<const WorkerId> failed) const;
  /// Feeds the health of workers.
  void RecordHealth(const TaskUpdate& update, const ServiceId& service);
  /// @return true if the health of a worker may have changed since last time
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
