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

/// A request that does not fit now and needs a reservation.
struct ReservationRequest {
  RequestId request;
  const ServiceEntry* service = nullptr;
  std::span<const WorkerId> avoid;
};

/// Capacity reserved for the first gang (or large task) that does not fit.
///
/// Without a reservation, small tasks would use every gap as soon as it opens
/// and the gang would starve. The reservation plans workers and a start time
/// from the expected ends of running tasks and holds capacity on these workers
/// in the ledger. Other work is still placed on other workers, in capacity that
/// the gang does not need, and within the held capacity if it is expected to
/// end before the gang starts (backfill).
class GangReservation {
 public:
  [[nodiscard]] bool Active() const { return this->request.has_value(); }
  [[nodiscard]] bool HeldBy(const RequestId& other) const;
  [[nodiscard]] const std::optional<RequestId>& Holder() const;
  /// Priority of the holder of the reservation.
  [[nodiscard]] std::int32_t Priority() const { return this->priority; }
  /// @return true if work of this priority ignores the reservation
  [[nodiscard]] bool OutrankedBy(std::int32_t other) const;
  /// Sets whether the holder's priority is below its guaranteed share; if so,
  /// only urgent work (priority 0) outranks it.
  void SetGuaranteed(bool guaranteed) { this->guaranteed = guaranteed; }
  /// @return true if a request of this priority may make a reservation now
  [[nodiscard]] bool IsAvailableTo(Instant now, std::int32_t by_priority) const;
  /// Plans the placement of a request and holds capacity for it, replacing any
  /// other reservation. Reserves nothing if the request is not expected to fit
  /// at all.
  void ReserveFor(Instant now, const ReservationRequest& need,
                  const RunningTasks& running, const Catalog& catalog,
                  Ledger* ledger);
  void Clear(Ledger* ledger);
  /// @return true if the plan is due to be recomputed
  [[nodiscard]] bool PlanIsStale(Instant now) const;
  /// Extends the hold on a worker by released resources, as far as the gang can
  /// use them.
  void OnResourcesReleased(const WorkerId& worker, const Resources& resources,
                           Ledger* ledger);
  /// @return whether tasks of a service may use held capacity
  [[nodiscard]] HoldPolicy HoldPolicyFor(Instant now,
                                         const ServiceEntry& service) const;
  /// @return number of tasks of this size that fit into the held capacity
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
  /// Expected start of the gang.
  Instant start;
  std::optional<Instant> next_plan_time;
  /// Number of the gang's tasks planned on each worker.
  std::unordered_map<WorkerId, std::int64_t> planned;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_GANG_RESERVATION_H_
