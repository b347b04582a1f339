#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_GANG_RESERVATION_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_GANG_RESERVATION_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

#include "mustardproxy/core/ledger.h"
#include "scheduler/catalog.h"
#include "scheduler/request_queue.h"
#include "scheduler/running_tasks.h"

namespace mustardproxy::detail {

/// A request that does not fit now and is to have room kept for it.
struct ReservationRequest {
  RequestId request;
  const ServiceEntry* service = nullptr;
  std::span<const WorkerId> avoid;
};

/// Room pending to the first gang (or large task) that does not fit.
///
/// Without it small tasks take each gap as it opens, and a gang starves. The
/// reservation names the workers and the moment, worked out from the expected
/// ends of running tasks, and holds room back on these workers in the ledger.
/// Other work goes on beside it: on other workers, in what the gang leaves
/// over, and inside the held room if it is expected to end before the gang
/// starts (backfill).
class GangReservation {
 public:
  [[nodiscard]] bool Active() const { return this->request.has_value(); }
  [[nodiscard]] bool HeldBy(const RequestId& other) const;
  [[nodiscard]] const std::optional<RequestId>& Holder() const;
  /// Priority of the holder.
  [[nodiscard]] std::int32_t Priority() const { return this->priority; }
  /// @return true if work of this priority need not care for the reservation
  [[nodiscard]] bool OutrankedBy(std::int32_t other) const;
  /// Whether the holder's priority is below its guaranteed share: then only
  /// urgent work outranks it.
  void SetGuaranteed(bool guaranteed) { this->guaranteed = guaranteed; }
  /// @return true if work of this priority may take the reservation now
  [[nodiscard]] bool IsAvailableTo(Instant now, std::int32_t by_priority) const;
  /// Plans for a request and holds room for it; drops any other reservation.
  /// Nothing is held if it is not expected to fit at all.
  void ReserveFor(Instant now, const ReservationRequest& need,
                  const RunningTasks& running, const Catalog& catalog,
                  Ledger* ledger);
  void Clear(Ledger* ledger);
  /// @return true if the plan is old and should be made again
  [[nodiscard]] bool PlanIsStale(Instant now) const;
  /// Room freed on a worker becomes held as far as the gang can use it.
  void OnResourcesReleased(const WorkerId& worker, const Resources& resources,
                           Ledger* ledger);
  /// @return whether work may use held room
  [[nodiscard]] HoldPolicy HoldPolicyFor(Instant now,
                                         const ServiceEntry& service) const;
  /// @return how many tasks of this size fit into what is held
  [[nodiscard]] std::int64_t CountFittingInHolds(const Resources& task,
                                                 const Ledger& ledger) const;
  [[nodiscard]] std::optional<Instant> NextPlanTime() const;

 private:
  void HoldCapacity(const GangPlan& plan,
                    std::span<const ExpectedRelease> releases, Ledger* ledger);

  std::optional<RequestId> request;
  std::int32_t priority = 0;
  bool guaranteed = false;
  Resources task;
  /// When the gang is expected to start.
  Instant start;
  std::optional<Instant> next_plan_time;
  /// Tasks of the gang planned on each worker.
  std::unordered_map<WorkerId, std::int64_t> planned;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_GANG_RESERVATION_H_
