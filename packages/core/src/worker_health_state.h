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

/// One of the consecutive failures since the last success.
struct CountedFailure {
  ServiceId service;
  RequestId request;
};

/// Stages of the ejection and return of a worker.
enum class HealthStage {
  kHealthy,
  /// Gets no tasks until `ejected_until`, and from then on a few probes.
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
  /// The last ejection followed a failed probe and not a series of failures.
  bool failed_probe = false;
  std::int32_t probes_succeeded = 0;
  Instant return_began;
  WorkerAvailability reported_availability;
};

/// Workers on which a service fails, and the time of its last success.
struct ServiceRecord {
  std::set<WorkerId> failing;
  std::optional<Instant> succeeded;
};

/// Workers on which a request has failed.
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
  /// Requests in order of their first failure, used to limit the size of
  /// `requests`.
  std::deque<RequestId> tracked;
  /// Latest time seen, for the time-driven part of `NextWakeup`.
  Instant latest_time;
  /// Workers to check in the next `TakeChanged`.
  std::set<WorkerId> dirty;
  /// Workers whose availability changes with time alone.
  std::set<WorkerId> time_dependent;

  [[nodiscard]] bool ServiceAtFault(const ServiceId& service) const;
  [[nodiscard]] bool FailedOnHealthyWorkers(const RequestId& request) const;
  /// @return the number of consecutive failures that are attributed to the
  ///   worker
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
  /// Ejects the worker after enough consecutive failures or after a failed
  /// probe.
  void EjectIfFailing(Instant now, const WorkerId& worker,
                      detail::HealthRecord* record);
  void Eject(Instant now, const WorkerId& worker, detail::HealthRecord* record);
  /// Removes the failures of a faulty request from the workers' records.
  void DiscountRequest(Instant now, const RequestId& request);
  void DiscountRequestOn(Instant now, const RequestId& request,
                         const WorkerId& worker);
  void RefreshAvailability(Instant now, const WorkerId& worker,
                           std::vector<WorkerId>* changed);
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_SRC_WORKER_HEALTH_STATE_H_
