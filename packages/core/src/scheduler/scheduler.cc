#include "mustardproxy/core/scheduler.h"

#include <algorithm>
#include <utility>

#include "mustardproxy/core/error.h"
#include "scheduler/admission.h"
#include "scheduler/placement_pass.h"
#include "scheduler/scheduler_state.h"
#include "scheduler/victim_search.h"
#include "scheduler/wait_forecast.h"

namespace mustardproxy {

struct Scheduler::State : detail::SchedulerState {};

Scheduler::Scheduler(SchedulerOptions options)
    : state(std::make_unique<State>()) {
  this->state->guaranteed_share = options.guaranteed_share;
}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::Configure(const Configuration& configuration) {
  this->state->catalog.Configure(configuration);
  this->state->RebuildBands();
}

Admission Scheduler::Enqueue(Instant now, const Ledger& ledger,
                             QueuedRequest request, bool recovered) {
  const auto service = this->state->catalog.FindService(request.service);
  if (!service) {
    return {Error::kUnknownService, "service " + request.service.Text(),
            Duration(0)};
  }
  // Only configured teams get an entry; otherwise requests of unknown teams
  // could grow the table without limit.
  if (!recovered && !this->state->catalog.FindTeam(request.team)) {
    return {Error::kUnknownTeam, "team " + request.team.Text(), Duration(0)};
  }
  if (this->state->queue.Contains(request.request)) return {};
  const detail::TeamIndex team =
      this->state->catalog.FindOrAddTeam(request.team);
  this->state->UpdateCapacity(ledger);
  detail::ServiceEntry& entry = this->state->catalog.ServiceAt(*service);
  entry.arrivals.Add(now, 1.0);
  if (!recovered) {
    Admission admission = detail::CheckAdmission(now, *this->state, ledger,
                                                 request, *service, team);
    if (admission.refusal) return admission;
  }
  this->state->AddRequest(now, std::move(request), *service, team);
  return {};
}

bool Scheduler::Cancel(const RequestId& request) {
  return this->state->RemoveRequest(request).has_value();
}

std::vector<Placement> Scheduler::Schedule(Instant now, Ledger* ledger,
                                           std::size_t limit) {
  detail::PlacementPass pass(now, this->state.get(), ledger, limit);
  return pass.Run();
}

std::vector<Preemption> Scheduler::ChooseVictims(Instant /*now*/,
                                                 const Ledger& ledger) {
  return detail::SearchVictims(ledger, this->state.get());
}

std::vector<RequestId> Scheduler::Expire(Instant now) {
  std::vector<RequestId> expired;
  while (const auto slot = this->state->queue.FirstExpired(now)) {
    expired.push_back(this->state->queue.At(*slot).request.request);
    this->state->RemoveRequest(expired.back());
  }
  return expired;
}

void Scheduler::OnTaskEnded(Instant now, Ledger* ledger, const TaskId& task,
                            bool ran) {
  const auto entry = this->state->RemoveRunningTask(task, ledger);
  if (!entry) return;
  // The run time of a preempted task is not representative of its service.
  if (!ran || entry->preemption_group) return;
  this->state->catalog.ServiceAt(entry->service)
      .run_times.Add(std::max(now - entry->started, Duration(1)));
}

void Scheduler::AdoptRunningTask(Instant now, const TaskId& task,
                                 const RequestId& request,
                                 const ServiceId& service, const TeamId& team,
                                 const WorkerId& worker, Duration running_for) {
  detail::RunningEntry entry;
  entry.task = task;
  entry.request = request;
  entry.service = this->state->catalog.FindOrAddService(service);
  entry.team = this->state->catalog.FindOrAddTeam(team);
  entry.worker = worker;
  entry.resources = this->state->catalog.ServiceAt(entry.service).resources;
  entry.started = now - running_for;
  this->state->AddRunningTask(std::move(entry));
}

Duration Scheduler::PredictWait(Instant now, const Ledger& ledger,
                                const ServiceId& service) const {
  const auto number = this->state->catalog.FindService(service);
  if (!number) return Duration(0);
  return detail::ForecastWait(now, *this->state, ledger, *number, std::nullopt);
}

Duration Scheduler::RetryAfter(Instant now) const {
  return std::max(detail::ForecastDrain(now, *this->state),
                  detail::kMinRetryAfter);
}

std::optional<Instant> Scheduler::NextWakeup() const {
  if (this->state->limit_reached_at) return this->state->limit_reached_at;
  std::optional<Instant> next = this->state->queue.NextDeadline();
  const auto sooner = [&next](std::optional<Instant> other) {
    if (other && (!next || *other < *next)) next = other;
  };
  if (this->state->blocked_by_headroom) {
    sooner(this->state->headroom.NextUpdate());
  }
  sooner(this->state->reservation.NextPlanTime());
  return next;
}

std::size_t Scheduler::QueuedCount() const { return this->state->queue.Size(); }

std::size_t Scheduler::RunningCount() const {
  return this->state->running.Size();
}

}  // namespace mustardproxy
