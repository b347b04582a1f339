#ifndef MUSTARDPROXY_CORE_SRC_WORKER_HEALTH_STATE_H_
#define MUSTARDPROXY_CORE_SRC_WORKER_HEALTH_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/worker_health.h"

namespace mustardproxy::detail {

/// One failure of a row that no success has ended yet.
struct CountedFailure {
  ServiceId service;
  RequestId request;
};

/// Stages of a worker on its way out and back.
enum class HealthStage {
  kHealthy,
  /// Gets nothing until `ejected_until`; from then on a few probes.
  kEjected,
  /// Probes have succeeded; its share grows.
  kReturning,
};

struct HealthRecord {
  HealthStage stage = HealthStage::kHealthy;
  std::vector<CountedFailure> consecutive_failures;
  Instant ejected_until;
  /// Length of the last ejection.
  Duration ejection{0};
  /// The last ejection followed a failed probe, not a row of failures.
  bool failed_probe = false;
  std::int32_t probes_succeeded = 0;
  Instant return_began;
  WorkerAvailability reported_availability;
};

/// Where a service fails and whether it succeeds anywhere.
struct ServiceRecord {
  std::set<WorkerId> failing;
  std::optional<Instant> succeeded;
};

/// Where a request failed.
struct RequestRecord {
  std::set<WorkerId> failed_on;
  bool at_fault = false;
};

}  // namespace mustardproxy::detail

namespace mustardproxy {

struct WorkerHealth::State {
  WorkerHealthOptions options;
  std::map<WorkerId, detail::HealthRecord> workers;
  std::map<ServiceId, detail::ServiceRecord> services;
  std::unordered_map<RequestId, detail::RequestRecord> requests;
  /// Requests in order of their first failure, to bound `requests`.
  std::deque<RequestId> tracked;
  /// Latest time seen, for the time-driven part of `NextWakeup`.
  Instant latest_time;
  /// Workers to look at in the next `TakeChanged`.
  std::set<WorkerId> dirty;
  /// Workers whose standing changes with time alone.
  std::set<WorkerId> time_dependent;

  [[nodiscard]] bool ServiceAtFault(const ServiceId& service) const;
  [[nodiscard]] bool FailedOnHealthyWorkers(const RequestId& request) const;
  /// Failures of the row that speak against the worker.
  [[nodiscard]] std::int32_t AttributedFailures(
      const detail::HealthRecord& record) const;
  [[nodiscard]] std::int32_t AttributedFailuresWithout(
      const detail::HealthRecord& record, const RequestId& request) const;
  [[nodiscard]] bool Failing(const detail::HealthRecord& record) const;
  [[nodiscard]] bool BelowEjectionLimit() const;
  [[nodiscard]] WorkerAvailability AvailabilityOf(
      Instant now, const detail::HealthRecord& record) const;
  [[nodiscard]] std::optional<Instant> NextChange(
      const detail::HealthRecord& record) const;
  void Track(const RequestId& request, const WorkerId& worker);
  void AddFailure(const WorkerId& worker, detail::CountedFailure failure,
                  detail::HealthRecord* record);
  void ClearFailures(const WorkerId& worker, detail::HealthRecord* record);
  /// Ejects the worker if its row or a failed probe asks for it.
  void EjectIfFailing(Instant now, const WorkerId& worker,
                      detail::HealthRecord* record);
  void Eject(Instant now, const WorkerId& worker, detail::HealthRecord* record);
  /// Strikes a request's failures from the rows of the workers.
  void DiscountRequest(Instant now, const RequestId& request);
  void DiscountRequestOn(Instant now, const RequestId& request,
                         const WorkerId& worker);
  void RefreshAvailability(Instant now, const WorkerId& worker,
                           std::vector<WorkerId>* changed);
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_SRC_WORKER_HEALTH_STATE_H_
