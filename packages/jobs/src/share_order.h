#ifndef MUSTARDPROXY_JOBS_SHARE_ORDER_H_
#define MUSTARDPROXY_JOBS_SHARE_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "owner_context.h"
#include "pass_capacity.h"
#include "scheduling_unit.h"
#include "team_shares.h"

namespace mustardproxy::jobs {

/// Order in which a pass considers the ranked units. Among those of one
/// deadline status, tasks that would take their team beyond its share come
/// after all others; what has started earlier in the pass counts. Only the
/// order changes: a team may use all capacity that the others leave.
///
/// A pass is Begin, Next until it returns null, and End. Without
/// `OverloadControl::team_shares` the units are returned as they are ranked.
class ShareOrder {
 public:
  explicit ShareOrder(OwnerContext* context) : context(context) {}

  /// @param units in order of rank; they must outlive the pass
  /// @param first number of units at the front that precede all others
  void Begin(std::vector<SchedulingUnit>* units, std::size_t first,
             const PassCapacity& capacities);
  /// @return the next unit, or null. What remains in its tasks when the next
  ///   one is requested has not started.
  SchedulingUnit* Next();
  void End(Instant now);

  /// @return true if the unit comes later because tasks of other teams wait too
  [[nodiscard]] bool Delays(const SchedulingUnit& unit) const;
  /// The shares as of the last pass.
  [[nodiscard]] const TeamShares& Shares() const { return this->shares; }

 private:
  [[nodiscard]] bool Enabled() const {
    return this->context->overload.team_shares;
  }
  /// @return waiting and running work of each known team
  std::vector<TeamLoad> CollectLoads(std::span<SchedulingUnit> units);
  /// Processes what has become of the unit that was returned last.
  void FinishCurrent();
  /// Leaves those tasks in the unit that are within the share of its team.
  /// @return false if there are none
  bool LimitToShare(SchedulingUnit* unit);
  SchedulingUnit* Return(SchedulingUnit* unit);
  void Report(Instant now);

  OwnerContext* context;
  TeamShares shares;
  /// Part of the capacity that was in use after the last pass if work was left
  /// waiting, else 1: tasks that fit nowhere leave a rest that nobody can use.
  double usable = 1.0;
  /// Capacity of all workers that accept tasks in this pass.
  Resources total;
  bool work_left = false;
  std::size_t waiting_teams = 0;
  Instant next_report;

  std::span<SchedulingUnit> ranked;
  std::size_t position = 0;
  std::size_t first_count = 0;
  std::vector<SchedulingUnit> delayed;
  std::size_t next_delayed = 0;
  SchedulingUnit* current = nullptr;
  std::size_t current_tasks = 0;
  /// Tasks of the current unit beyond the share of its team.
  std::optional<SchedulingUnit> rest;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_SHARE_ORDER_H_
