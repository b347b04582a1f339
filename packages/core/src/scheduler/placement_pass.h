#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_PLACEMENT_PASS_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_PLACEMENT_PASS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

#include "mustardproxy/core/scheduler.h"
#include "scheduler/scheduler_state.h"

namespace mustardproxy::detail {

/// One run of `Scheduler::Schedule`: places what can be placed, the most urgent
/// priority first, within it the team that holds least, within that the
/// earliest `place_by`.
///
/// During a pass room only shrinks. So once a service's task fits nowhere, no
/// other request for the service is tried, and a pass over a full cell costs
/// one search per waiting service however long the queues are.
class PlacementPass {
 public:
  PlacementPass(Instant now, SchedulerState* state, Ledger* ledger,
                std::size_t limit);
  [[nodiscard]] std::vector<Placement> Run();

 private:
  /// Why a request was not placed.
  enum class Attempt {
    kPlaced,
    /// No other request for the service can be placed either.
    kServiceBlocked,
    /// No other request of the team for the service can be placed either.
    kLaneBlocked,
    /// Concerns this request alone.
    kRequestBlocked,
  };

  void RunBand(std::int32_t priority, PriorityBand* band);
  /// Places work of a band as long as it is below its guaranteed share.
  void RunGuarantee(std::int32_t priority, PriorityBand* band);
  void DropStaleReservation();
  void GuaranteeReservation();
  void TryHolder(std::int32_t priority);
  /// @return false if nothing of the team can be placed
  bool PlaceNextOf(const PriorityBand& band, TeamIndex team);
  /// @return the lane of the team whose head is due first
  [[nodiscard]] std::optional<LaneIndex> FirstLane(const PriorityBand& band,
                                                   TeamIndex team);
  Attempt TryPlace(RequestSlot slot);
  [[nodiscard]] std::vector<WorkerId> FindRoom(const QueueEntry& entry,
                                               const ServiceEntry& service,
                                               HoldPolicy holds) const;
  [[nodiscard]] bool LeavesHeadroom(const ServiceEntry& service,
                                    const std::vector<WorkerId>& workers,
                                    bool holds_reservation) const;
  void ConsiderReservation(const QueueEntry& entry,
                           const ServiceEntry& service);
  bool Commit(const QueueEntry& entry, const std::vector<WorkerId>& workers);
  void BlockService(ServiceIndex service);
  [[nodiscard]] bool Full() const;
  void ObserveDrain();

  Instant now;
  SchedulerState* state;
  Ledger* ledger;
  std::size_t limit;
  std::vector<Placement> placements;
  std::unordered_set<ServiceIndex> blocked_services;
  std::unordered_set<LaneIndex> blocked_lanes;
  std::vector<RequestSlot> set_aside;
  int avoided = 0;
  bool in_guarantee = false;
  /// Dominant shares placed, by priority.
  std::map<std::int32_t, double> placed;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_PLACEMENT_PASS_H_
