#include "gang_reservations.h"

#include <algorithm>
#include <utility>

#include "hold_loop.h"
#include "mustardproxy/core/resource_math.h"
#include "options.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// How long the capacity of a gang stays reserved after its start is stored:
/// the time of two questions about the maximum number of workers. It takes
/// longer only if the policy service fails.
constexpr Duration kMaxReservationTime = milliseconds(3000);
/// Share of the cell's processors that may be reserved for gangs with an
/// unanswered question before one more gang may reserve: the rest stays
/// available to urgent tasks.
constexpr double kMaxReservedShare = 0.05;
/// Share of the cell up to which gangs may reserve more than that. Runs and
/// reservations count, so at a half, gangs would wait with less than half of
/// the cell at work.
constexpr double kMaxUsedShare = 2.0 / 3.0;
/// How long a gang whose reservation was given up leaves the capacity to
/// others.
constexpr Duration kReservationBackoff = seconds(1);

}  // namespace

bool MayReserve(std::int64_t reserved_cpu_milli, std::int64_t cell_cpu_milli,
                double used_share) {
  if (used_share < kMaxUsedShare) return true;
  return static_cast<double>(reserved_cpu_milli) <
         kMaxReservedShare * static_cast<double>(cell_cpu_milli);
}

GangReservations::GangReservations(OwnerContext* context) : context(context) {}

void GangReservations::Add(std::vector<RunRef> runs,
                           std::vector<WorkerIncarnation> workers) {
  const StepRef step = runs.front().task.step;
  Reservation& reservation = this->reservations[step];
  const Step& spec = *this->context->jobs.FindStep(step);
  reservation = Reservation{std::move(runs),
                            std::move(workers),
                            false,
                            this->context->executor->Now(),
                            spec.each.cpu_milli * spec.tasks,
                            false,
                            std::nullopt};
  this->Check(step);
}

void GangReservations::OnStored(const RunRef& first) {
  const StepRef& step = first.task.step;
  const auto found = this->reservations.find(step);
  // An earlier run of the same gang may have been stored late.
  if (found == this->reservations.end()) return;
  if (found->second.runs.front() != first) return;
  found->second.stored = true;
  found->second.since = this->context->executor->Now();
  this->Check(step);
}

void GangReservations::OnAnswer(const StepRef& step) { this->Check(step); }

void GangReservations::CheckAll() {
  std::vector<StepRef> steps;
  for (const auto& [step, reservation] : this->reservations)
    steps.push_back(step);
  for (const StepRef& step : steps) this->Check(step);
}

bool GangReservations::MayAdd(const Resources& capacity,
                              const Resources& free) const {
  std::int64_t reserved = 0;
  for (const auto& [step, reservation] : this->reservations) {
    if (reservation.awaits_permission) reserved += reservation.cpu_milli;
  }
  Resources used = capacity;
  used -= free;
  return MayReserve(reserved, capacity.cpu_milli,
                    DominantShare(used, capacity));
}

bool GangReservations::Holds(const StepRef& step) const {
  return this->reservations.contains(step);
}

std::vector<AskedWorker> GangReservations::WorkersToAsk(const StepRef& step) {
  const auto found = this->reservations.find(step);
  if (found == this->reservations.end()) return {};
  const JobEntry* entry = this->context->jobs.Find(step.job);
  if (entry == nullptr) return {};
  const auto& policy = this->context->QueueOf(*entry).advice;
  if (!policy) return {};
  const Reservation& reservation = found->second;
  const Duration cost =
      policy->decision + policy->per_worker * static_cast<std::int64_t>(
                                                  reservation.workers.size());
  const Instant answered = this->context->executor->Now() + cost;
  std::vector<AskedWorker> asked =
      this->Unpermitted(step, reservation, answered + kTicketMargin);
  if (asked.size() > kMaxAdviceWorkers) asked.resize(kMaxAdviceWorkers);
  return asked;
}

bool GangReservations::AllRunsPlanned(const Reservation& reservation) {
  for (std::size_t i = 0; i < reservation.runs.size(); ++i) {
    WorkerSession* session =
        this->context->workers.Find(reservation.workers[i]);
    const SessionRun* record =
        session == nullptr ? nullptr : session->FindRun(reservation.runs[i]);
    const bool waits = record != nullptr && !record->stopping &&
                       record->phase == RunPhase::kPlanned;
    if (!waits) return false;
  }
  return true;
}

bool GangReservations::IsRefused(const StepRef& step,
                                 const Reservation& reservation) {
  const StepAdvice* advice = this->context->advice->Find(step);
  if (advice == nullptr) return true;
  return std::any_of(
      reservation.workers.begin(), reservation.workers.end(),
      [&](const WorkerIncarnation& worker) {
        const WorkerSession* session = this->context->workers.Find(worker);
        return session == nullptr || advice->Refuses(session->Number());
      });
}

std::vector<AskedWorker> GangReservations::Unpermitted(
    const StepRef& step, const Reservation& reservation, Instant moment) {
  const StepAdvice* advice = this->context->advice->Find(step);
  std::map<WorkerId, SessionNumber> unpermitted;
  for (const WorkerIncarnation& worker : reservation.workers) {
    const WorkerSession* session = this->context->workers.Find(worker);
    if (session == nullptr) continue;
    const Ticket* ticket =
        advice == nullptr ? nullptr : advice->TicketFor(session->Number());
    const bool holds = ticket != nullptr && ticket->expires > moment;
    if (!holds) unpermitted.emplace(worker.id, session->Number());
  }
  std::vector<AskedWorker> asked;
  asked.reserve(unpermitted.size());
  for (const auto& [worker, number] : unpermitted) {
    asked.push_back({worker, number});
  }
  return asked;
}

void GangReservations::Check(const StepRef& step) {
  const auto found = this->reservations.find(step);
  if (found == this->reservations.end()) return;
  Reservation& reservation = found->second;
  const Instant now = this->context->executor->Now();
  reservation.awaits_permission =
      !this->Unpermitted(step, reservation, now + kTicketMargin).empty();
  if (!this->AllRunsPlanned(reservation)) {
    this->GiveUp(step, "a run was stopped or its worker was lost",
                 kReservationBackoff);
  } else if (this->HasSilent(reservation)) {
    this->GiveUp(step, "a worker does not answer", kTaskRetryDelay);
  } else if (this->IsRefused(step, reservation)) {
    this->GiveUp(step, "a worker is not permitted", kReservationBackoff);
  } else if (reservation.awaits_permission) {
    // While the store does not answer, nothing else could start either, so an
    // unstored reservation has no timeout.
    const bool timed_out =
        reservation.stored && now - reservation.since > kMaxReservationTime;
    if (timed_out) {
      this->GiveUp(step, "permissions were not granted in time",
                   kReservationBackoff);
    } else {
      this->Ask(step);
    }
  } else if (reservation.stored && this->InContact(&reservation)) {
    this->Send(step);
  }
}

bool GangReservations::InContact(Reservation* reservation) {
  if (this->context->workers.Size() <= kMaxWorkersAskedAtOnce) return true;
  const Instant now = this->context->executor->Now();
  if (!reservation->contacting_since) reservation->contacting_since = now;
  bool in_contact = true;
  for (const WorkerIncarnation& worker : reservation->workers) {
    WorkerSession* session = this->context->workers.Find(worker);
    if (session == nullptr) continue;
    const bool answered = session->InContact(now) ||
                          session->verified >= *reservation->contacting_since;
    if (answered) continue;
    in_contact = false;
    this->context->holds->Contact(session);
  }
  return in_contact;
}

// Failure: one of the workers is gone, which shows only when its start order
// gets no answer, and all that the others have begun is stopped again.
bool GangReservations::HasSilent(const Reservation& reservation) {
  if (!reservation.contacting_since) return false;
  return std::any_of(reservation.workers.begin(), reservation.workers.end(),
                     [&](const WorkerIncarnation& worker) {
                       const WorkerSession* session =
                           this->context->workers.Find(worker);
                       return session == nullptr || session->unresponsive;
                     });
}

void GangReservations::OnContact() {
  const bool awaited = std::any_of(
      this->reservations.begin(), this->reservations.end(),
      [](const auto& one) { return one.second.contacting_since.has_value(); });
  if (awaited) this->CheckAll();
}

void GangReservations::Send(const StepRef& step) {
  const Reservation reservation = std::move(this->reservations.at(step));
  this->reservations.erase(step);
  for (std::size_t i = 0; i < reservation.runs.size(); ++i) {
    this->context->runs->SendStart(reservation.workers[i], reservation.runs[i]);
  }
}

void GangReservations::Ask(const StepRef& step) {
  const JobEntry* entry = this->context->jobs.Find(step.job);
  if (entry == nullptr) return;
  const Queue& queue = this->context->QueueOf(*entry);
  if (!queue.advice) return;
  this->context->advice->RequestPermissions(
      {.step = step,
       .queue = queue.name,
       .policy = *queue.advice,
       .deadlines = {},
       .start_by = this->reservations.at(step).since,
       .capacity_reserved = true});
}

void GangReservations::GiveUp(const StepRef& step, std::string_view reason,
                              Duration backoff) {
  const Reservation reservation = std::move(this->reservations.at(step));
  this->reservations.erase(step);
  this->context->log->Write("jobs", "reservation-given-up",
                            {{"step", Text(step)},
                             {"run", reservation.runs.front().run},
                             {"tasks", reservation.runs.size()},
                             {"stored", reservation.stored ? 1 : 0},
                             {"reason", reason}});
  if (StepEntry* entry = this->context->jobs.FindStepEntry(step)) {
    ++entry->idle.reservations_given_up;
  }
  this->context->runs->StopGang(reservation.runs.front());
  const Instant later = this->context->executor->Now() + backoff;
  for (const RunRef& run : reservation.runs) {
    TaskEntry* task = this->context->jobs.FindTask(run.task);
    if (task != nullptr && !task->open) task->not_before = later;
  }
}

}  // namespace mustardproxy::jobs
