#include "mustardproxy/core/worker_health.h"

#include <algorithm>
#include <utility>

#include "worker_health_state.h"

namespace mustardproxy {

using detail::CountedFailure;
using detail::HealthRecord;
using detail::HealthStage;

namespace {

/// Number of distinct healthy workers on which a request must fail before it is
/// considered faulty.
constexpr std::size_t kWorkersToFaultRequest = 3;
/// Number of distinct workers on which a service must fail before it can be
/// considered faulty.
constexpr std::size_t kWorkersToFaultService = 3;
/// A success within this time shows that the service works.
constexpr Duration kServiceSuccessWindow = std::chrono::seconds(10);
/// Share of a worker's slots that is used for probes: one of eight.
constexpr double kProbeShare = 0.125;
/// Number of consecutive successful probes after which the worker starts to
/// return.
constexpr std::int32_t kProbesToReturn = 3;
/// Number of steps in which the share grows back.
constexpr std::int32_t kReturnSteps = 8;
/// Number of consecutive failures after which a returning worker is ejected.
constexpr std::int32_t kFailuresWhileReturning = 2;
/// Maximum number of consecutive failures that are stored; more do not change
/// the decision.
constexpr std::size_t kMaxConsecutiveFailures = 8;
constexpr std::size_t kMaxTrackedRequests = 20'000;
constexpr std::size_t kMaxServices = 4'096;

std::int32_t ReturnStep(Instant now, const HealthRecord& record,
                        Duration return_time) {
  const Duration step = std::max(return_time / kReturnSteps, Duration(1));
  const auto steps = (now - record.return_began) / step;
  return static_cast<std::int32_t>(
      std::clamp<std::int64_t>(steps, 0, kReturnSteps));
}

}  // namespace

bool WorkerHealth::State::ServiceAtFault(const ServiceId& service) const {
  // Failure: a broken release of one service fails on every worker; each worker
  // would be ejected for it, and the other services would lose their workers.
  // It shows as one service that fails on most workers and succeeds on none.
  const auto found = this->services.find(service);
  if (found == this->services.end()) return false;
  const detail::ServiceRecord& record = found->second;
  if (record.failing.size() < kWorkersToFaultService) return false;
  if (record.failing.size() * 2 <= this->workers.size()) return false;
  return !record.succeeded ||
         this->latest_time - *record.succeeded >= kServiceSuccessWindow;
}

std::int32_t WorkerHealth::State::AttributedFailuresWithout(
    const HealthRecord& record, const RequestId& request) const {
  return static_cast<std::int32_t>(std::ranges::count_if(
      record.consecutive_failures, [&](const CountedFailure& failure) {
        return failure.request != request &&
               !this->ServiceAtFault(failure.service);
      }));
}

std::int32_t WorkerHealth::State::AttributedFailures(
    const HealthRecord& record) const {
  return this->AttributedFailuresWithout(record, RequestId());
}

bool WorkerHealth::State::Failing(const HealthRecord& record) const {
  if (record.consecutive_failures.empty()) return false;
  const RequestId& first = record.consecutive_failures.front().request;
  const bool several = std::ranges::any_of(
      record.consecutive_failures, [&first](const CountedFailure& failure) {
        return failure.request != first;
      });
  const std::int32_t needed = record.stage == HealthStage::kHealthy
                                  ? this->options.failures_to_eject
                                  : kFailuresWhileReturning;
  return several && this->AttributedFailures(record) >= needed;
}

bool WorkerHealth::State::FailedOnHealthyWorkers(
    const RequestId& request) const {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) return false;
  // A worker that also fails other requests does not count as healthy.
  const std::int32_t max_other_failures = this->options.failures_to_eject / 2;
  const auto healthy = [&](const WorkerId& worker) {
    const auto record = this->workers.find(worker);
    if (record == this->workers.end()) return false;
    if (record->second.stage == HealthStage::kEjected) return false;
    return this->AttributedFailuresWithout(record->second, request) <=
           max_other_failures;
  };
  const auto failed_on_healthy =
      std::ranges::count_if(found->second.failed_on, healthy);
  return static_cast<std::size_t>(failed_on_healthy) >= kWorkersToFaultRequest;
}

bool WorkerHealth::State::BelowEjectionLimit() const {
  const auto ejected =
      std::ranges::count_if(this->workers, [](const auto& one) {
        return one.second.stage == HealthStage::kEjected;
      });
  const auto all = static_cast<double>(this->workers.size());
  const auto cap =
      static_cast<std::int64_t>(all * this->options.max_ejected_share);
  // With few workers the share rounds down to zero; a worker that fails every
  // task must still be ejected as long as another one is left.
  const std::int64_t least = this->workers.size() >= 2 ? 1 : 0;
  return ejected < std::max(cap, least);
}

WorkerAvailability WorkerHealth::State::AvailabilityOf(
    Instant now, const HealthRecord& record) const {
  switch (record.stage) {
    case HealthStage::kEjected:
      if (now < record.ejected_until) return {false, 0};
      return {true, kProbeShare};
    case HealthStage::kReturning: {
      const std::int32_t step =
          ReturnStep(now, record, this->options.return_time);
      const double grown = static_cast<double>(step) / kReturnSteps;
      return {true, std::max(2 * kProbeShare, grown)};
    }
    case HealthStage::kHealthy:
      break;
  }
  // The limit on ejections keeps the worker in service, but a worker that fails
  // fast is always free and would attract most of the work: it gets no more
  // than a probe.
  if (this->Failing(record)) return {true, kProbeShare};
  return {true, 1.0};
}

std::optional<Instant> WorkerHealth::State::NextChange(
    const HealthRecord& record) const {
  if (record.stage == HealthStage::kEjected) {
    if (this->latest_time < record.ejected_until) return record.ejected_until;
    return std::nullopt;
  }
  if (record.stage != HealthStage::kReturning) return std::nullopt;
  const Duration step = this->options.return_time / kReturnSteps;
  const std::int32_t done =
      ReturnStep(this->latest_time, record, this->options.return_time);
  return record.return_began + step * (done + 1);
}

void WorkerHealth::State::Track(const RequestId& request,
                                const WorkerId& worker) {
  const auto [entry, added] = this->requests.try_emplace(request);
  entry->second.failed_on.insert(worker);
  if (!added) return;
  this->tracked.push_back(request);
  while (this->tracked.size() > kMaxTrackedRequests) {
    this->requests.erase(this->tracked.front());
    this->tracked.pop_front();
  }
}

void WorkerHealth::State::AddFailure(const WorkerId& worker,
                                     CountedFailure failure,
                                     HealthRecord* record) {
  const bool known = this->services.contains(failure.service);
  if (known || this->services.size() < kMaxServices) {
    this->services[failure.service].failing.insert(worker);
  }
  if (record->consecutive_failures.size() >= kMaxConsecutiveFailures) {
    record->consecutive_failures.erase(record->consecutive_failures.begin());
  }
  record->consecutive_failures.push_back(std::move(failure));
}

void WorkerHealth::State::ClearFailures(const WorkerId& worker,
                                        HealthRecord* record) {
  for (const CountedFailure& failure : record->consecutive_failures) {
    const auto service = this->services.find(failure.service);
    if (service != this->services.end()) service->second.failing.erase(worker);
  }
  record->consecutive_failures.clear();
}

void WorkerHealth::State::Eject(Instant now, const WorkerId& worker,
                                HealthRecord* record) {
  const bool soon = record->ejection > Duration(0) &&
                    now - record->ejected_until < this->options.max_ejection;
  record->ejection =
      soon ? std::min(record->ejection * 2, this->options.max_ejection)
           : this->options.ejection;
  record->failed_probe = record->stage != HealthStage::kHealthy;
  record->stage = HealthStage::kEjected;
  record->ejected_until = now + record->ejection;
  record->probes_succeeded = 0;
  this->time_dependent.insert(worker);
}

void WorkerHealth::State::DiscountRequestOn(Instant now,
                                            const RequestId& request,
                                            const WorkerId& worker) {
  const auto entry = this->workers.find(worker);
  if (entry == this->workers.end()) return;
  HealthRecord& record = entry->second;
  std::vector<CountedFailure> consecutive_failures =
      std::move(record.consecutive_failures);
  this->ClearFailures(worker, &record);
  std::erase_if(consecutive_failures,
                [&request](const CountedFailure& failure) {
                  return failure.request == request;
                });
  for (CountedFailure& failure : consecutive_failures) {
    this->AddFailure(worker, std::move(failure), &record);
  }
  this->dirty.insert(worker);
  if (record.stage != HealthStage::kEjected || now >= record.ejected_until) {
    return;
  }
  if (record.failed_probe) {
    if (consecutive_failures.empty()) record.ejected_until = now;
    return;
  }
  if (this->AttributedFailures(record) >= this->options.failures_to_eject) {
    return;
  }
  record.stage = HealthStage::kHealthy;
  record.ejection = Duration(0);
}

void WorkerHealth::State::DiscountRequest(Instant now,
                                          const RequestId& request) {
  // Failure: a faulty request that is retried repeatedly fails on healthy
  // workers and would eject them one after another. Once the request is known
  // to be faulty, its failures are removed from the workers' records, and
  // ejections that were based on them end.
  const std::set<WorkerId> failed_on = this->requests[request].failed_on;
  for (const WorkerId& worker : failed_on) {
    this->DiscountRequestOn(now, request, worker);
  }
}

void WorkerHealth::State::RefreshAvailability(Instant now,
                                              const WorkerId& worker,
                                              std::vector<WorkerId>* changed) {
  HealthRecord& record = this->workers.at(worker);
  const bool returned = record.stage == HealthStage::kReturning &&
                        now - record.return_began >= this->options.return_time;
  if (returned) record.stage = HealthStage::kHealthy;
  if (record.stage == HealthStage::kHealthy) this->time_dependent.erase(worker);
  const WorkerAvailability availability = this->AvailabilityOf(now, record);
  if (availability != record.reported_availability) changed->push_back(worker);
  record.reported_availability = availability;
}

WorkerHealth::WorkerHealth(WorkerHealthOptions options)
    : state(std::make_unique<State>()) {
  this->state->options = options;
}

WorkerHealth::~WorkerHealth() = default;
WorkerHealth::WorkerHealth(WorkerHealth&&) noexcept = default;
WorkerHealth& WorkerHealth::operator=(WorkerHealth&&) noexcept = default;

void WorkerHealth::OnSuccess(Instant now, const WorkerId& worker,
                             const ServiceId& service) {
  State& state = *this->state;
  state.latest_time = std::max(state.latest_time, now);
  if (!service.Empty()) {
    const auto known = state.services.find(service);
    if (known != state.services.end()) known->second.succeeded = now;
  }
  const auto found = state.workers.find(worker);
  if (found == state.workers.end()) return;
  HealthRecord& record = found->second;
  if (record.stage == HealthStage::kHealthy &&
      record.consecutive_failures.empty()) {
    return;
  }
  state.ClearFailures(worker, &record);
  state.dirty.insert(worker);
  // An answer that was in transit when the worker was ejected does not show
  // that it has recovered.
  if (record.stage != HealthStage::kEjected || now < record.ejected_until) {
    return;
  }
  if (++record.probes_succeeded < kProbesToReturn) return;
  record.stage = HealthStage::kReturning;
  record.return_began = now;
}

void WorkerHealth::OnFailure(Instant now, const WorkerId& worker,
                             const ServiceId& service,
                             const RequestId& request) {
  State& state = *this->state;
  state.latest_time = std::max(state.latest_time, now);
  const auto found = state.workers.find(worker);
  if (found == state.workers.end()) return;
  HealthRecord& record = found->second;
  state.Track(request, worker);
  state.dirty.insert(worker);
  detail::RequestRecord& tracked = state.requests[request];
  // The failure of a faulty request says nothing about the worker.
  if (tracked.at_fault) return;
  state.AddFailure(worker, {service, request}, &record);
  tracked.at_fault = state.FailedOnHealthyWorkers(request);
  if (tracked.at_fault) return state.DiscountRequest(now, request);
  if (state.ServiceAtFault(service)) return;
  state.EjectIfFailing(now, worker, &record);
}

void WorkerHealth::State::EjectIfFailing(Instant now, const WorkerId& worker,
                                         HealthRecord* record) {
  record->probes_succeeded = 0;
  if (record->stage == HealthStage::kEjected) {
    // The failure of a task that was started before the ejection is not a
    // probe.
    if (now >= record->ejected_until) this->Eject(now, worker, record);
    return;
  }
  if (!this->Failing(*record)) return;
  const bool again = record->stage == HealthStage::kReturning;
  if (again || this->BelowEjectionLimit()) this->Eject(now, worker, record);
}

void WorkerHealth::Add(const WorkerId& worker) {
  this->state->workers.try_emplace(worker);
}

void WorkerHealth::Remove(const WorkerId& worker) {
  const auto found = this->state->workers.find(worker);
  if (found == this->state->workers.end()) return;
  this->state->ClearFailures(worker, &found->second);
  this->state->workers.erase(found);
  this->state->dirty.erase(worker);
  this->state->time_dependent.erase(worker);
}

WorkerAvailability WorkerHealth::Availability(Instant now,
                                              const WorkerId& worker) const {
  const auto found = this->state->workers.find(worker);
  if (found == this->state->workers.end()) return {};
  return this->state->AvailabilityOf(now, found->second);
}

std::vector<WorkerId> WorkerHealth::TakeChanged(Instant now) {
  State& state = *this->state;
  state.latest_time = std::max(state.latest_time, now);
  std::set<WorkerId> due = std::move(state.dirty);
  state.dirty.clear();
  due.insert(state.time_dependent.begin(), state.time_dependent.end());
  std::vector<WorkerId> changed;
  for (const WorkerId& worker : due) {
    state.RefreshAvailability(now, worker, &changed);
  }
  return changed;
}

bool WorkerHealth::RequestAtFault(const RequestId& request) const {
  const auto found = this->state->requests.find(request);
  return found != this->state->requests.end() && found->second.at_fault;
}

void WorkerHealth::Forget(const RequestId& request) {
  this->state->requests.erase(request);
}

Instant WorkerHealth::NextWakeup() const {
  Instant next = Instant::max();
  for (const WorkerId& worker : this->state->time_dependent) {
    const auto change =
        this->state->NextChange(this->state->workers.at(worker));
    if (change) next = std::min(next, *change);
  }
  return next;
}

}  // namespace mustardproxy
