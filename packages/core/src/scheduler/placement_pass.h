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

/// One run of `Scheduler::Schedule`. Requests are tried by priority, most
/// urgent first; within a priority by team, lowest share first; within a team
/// by earliest `placement_deadline`.
///
/// Free capacity only decreases during a pass. Once a task of a service fits
/// nowhere, no other request for the service is tried, so a pass over a full
/// cell costs one search per waiting service regardless of queue length.
class PlacementPass {
 public:
  PlacementPass(Instant now, SchedulerState* state, Ledger* ledger,
                std::size_t limit);
  [[nodiscard]] std::vector<Placement> Run();

 private:
  /// Outcome of trying to place a request.
  enum class PlaceResult {
    kPlaced,
    /// No other request for the service can be placed either.
    kServiceBlocked,
    /// No other request of the team for the service can be placed either.
    kFlowBlocked,
    /// Only this request cannot be placed.
    kRequestBlocked,
  };

  void PlaceBand(std::int32_t priority, PriorityBand* band);
  /// Places requests of a band until it holds its guaranteed share.
  void PlaceGuaranteedShare(std::int32_t priority, PriorityBand* band);
  void ClearStaleReservation();
  void UpdateReservationGuarantee();
  void TryReservationHolder(std::int32_t priority);
  /// @return false if no request of the team can be placed
  bool PlaceNextRequest(const PriorityBand& band, TeamIndex team);
  /// @return the flow of the team with the earliest deadline
  [[nodiscard]] std::optional<FlowIndex> EarliestFlow(const PriorityBand& band,
                                                      TeamIndex team);
  PlaceResult TryPlace(RequestSlot slot);
  [[nodiscard]] std::vector<WorkerId> FindWorkers(const QueueEntry& entry,
                                                  const ServiceEntry& service,
                                                  HoldPolicy holds) const;
  [[nodiscard]] bool LeavesHeadroom(const ServiceEntry& service,
                                    const std::vector<WorkerId>& workers,
                                    bool holds_reservation) const;
  void MaybeReserve(const QueueEntry& entry, const ServiceEntry& service);
  bool Commit(const QueueEntry& entry, const std::vector<WorkerId>& workers);
  void BlockService(ServiceIndex service);
  [[nodiscard]] bool LimitReached() const;
  void ObserveDrain();

  Instant now;
  SchedulerState* state;
  Ledger* ledger;
  std::size_t limit;
  std::vector<Placement> placements;
  std::unordered_set<ServiceIndex> blocked_services;
  std::unordered_set<FlowIndex> blocked_flows;
  std::vector<RequestSlot> skipped_slots;
  int skipped_requests = 0;
  bool placing_guaranteed_share = false;
  /// Sum of the dominant shares placed in this pass, by priority.
  std::map<std::int32_t, double> placed;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_PLACEMENT_PASS_H_
