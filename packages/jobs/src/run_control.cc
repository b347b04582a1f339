#include "run_control.h"

#include <algorithm>
#include <utility>

#include "dispatcher.h"
#include "ended_jobs.h"
#include "evacuations.h"
#include "gang_reservations.h"
#include "hold_loop.h"
#include "incarnation_tracker.h"
#include "options.h"
#include "permission_broker.h"
#include "placement.h"
#include "preemption.h"
#include "progress_writer.h"

namespace mustardproxy::jobs {
namespace {

/// Limits the exponential backoff after rejected start orders.
constexpr std::int32_t kMaxBackoffDoublings = 5;
/// Minimum time between a crash of a worker and its next incarnation. Orders
/// sent after the crash never reached the incarnation that crashed.
constexpr Duration kMinRestartTime = milliseconds(500);

/// Steps that started after nothing of them ran for at least this long are
/// logged.
constexpr Duration kMinReportedIdleTime = milliseconds(2000);

/// Time in which an order reaches its worker.
constexpr Duration kOrderDeliveryTime = milliseconds(10);

/// A worker that responded within this time counts as reachable; longer than a
/// hold waits.
constexpr Duration kRecentAnswerWindow = milliseconds(2000);

/// @return true if the response proves that this order started nothing
bool ProvesNotStarted(OrderOutcome end) {
  return end == OrderOutcome::kLeaseExpired || end == OrderOutcome::kNoRoom ||
         end == OrderOutcome::kNoTicket || end == OrderOutcome::kInvalid ||
         end == OrderOutcome::kRefused || end == OrderOutcome::kNotSent;
}

TeamShare ShareOf(const Job& job, const Step& step) {
  TeamShare share{job.access.team, step.each};
  share.resources.slots = 0;
  return share;
}

std::string_view Name(RunPhase phase) {
  switch (phase) {
    case RunPhase::kPlanned:
      return "planned";
    case RunPhase::kOrdered:
      return "ordered";
    case RunPhase::kStarted:
      return "started";
  }
  return "unknown";
}

std::string_view Name(LossCause cause) {
  switch (cause) {
    case LossCause::kOtherIncarnation:
      return "other-life";
    case LossCause::kLeaseLapsed:
      return "lease-lapsed";
    case LossCause::kRestarted:
      return "restarted";
  }
  return "unknown";
}

}  // namespace

RunControl::RunControl(OwnerContext* context) : context(context) {}

void RunControl::Begin(const JobEntry& entry, const std::vector<RunRef>& runs,
                       std::span<const WorkerIncarnation> workers) {
  const Instant now = this->context->executor->Now();
  const StepRef& ref = runs.front().task.step;
  const Step& step = *this->context->jobs.FindStep(ref);
  SessionRun record;
  record.resources = TaskDemand(step);
  record.share = ShareOf(entry.job, step);
  record.started_at = now;
  record.last_progress_at = now;
  record.expected_end = now + this->context->run_times.PredictRunTime(
                                  entry.job.queue.name, step.estimate);
  const bool reserves = step.gang && this->context->QueueOf(entry).advice;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    WorkerSession* session = this->context->workers.Find(workers[i]);
    session->AddRun(runs[i], record);
    const TaskEntry* task = this->context->jobs.FindOpen(runs[i]);
    if (task->preemptions > 0) {
      session->FindRun(runs[i])->expected_end = now + task->time_left;
    }
    // Resources of a reservation may be held for seconds before the start
    // orders are sent.
    if (reserves) continue;
    this->QuarantineIfSuspicious(session, runs[i]);
    // The answer usually arrives before the run is stored.
    this->context->holds->Contact(session);
  }
  this->context->log->Write(
      "jobs", "step-placed",
      {{"step", Text(ref)},
       {"queue", entry.job.queue.name.Text()},
       {"tasks", runs.size()},
       {"run", runs.front().run},
       {"worker", Text(workers.front())},
       {"version", this->context->desired->version},
       {"waited_ms", WholeMilliseconds(now - entry.learned_at)}});
  // Failure: the owner crashes right after a start order, and its successor
  // starts the task elsewhere. The run and its worker are stored first, so that
  // the successor asks that worker before it starts the task again.
  std::vector<WorkerIncarnation> places(workers.begin(), workers.end());
  std::function<void()> send;
  if (reserves) {
    this->context->reservations->Add(runs, std::move(places));
    send = [this, first = runs.front()] {
      this->context->reservations->OnStored(first);
    };
  } else {
    send = [this, runs, places = std::move(places)] {
      for (std::size_t i = 0; i < runs.size(); ++i) {
        this->SendStart(places[i], runs[i]);
      }
    };
  }
  this->context->writer->Write(
      entry.job.id,
      this->guard.Wrap([this, job = entry.job.id, send = std::move(send)] {
        this->StartOnceStored(job, send);
      }));
}

void RunControl::QuarantineIfSuspicious(WorkerSession* session,
                                        const RunRef& run) {
  const CrashHistory* crashes = this->context->jobs.FindCrashes(run.task);
  if (crashes == nullptr || !crashes->Suspicious()) return;
  session->Quarantine(run, crashes->ProbationPeriod());
  this->context->log->Write(
      "jobs", "quarantined",
      {{"task", Text(run.task)},
       {"run", run.run},
       {"worker", Text(session->Incarnation())},
       {"lost_workers", crashes->Losses().size()},
       {"proving_ms", WholeMilliseconds(crashes->ProbationPeriod())}});
}

void RunControl::StartOnceStored(const JobId& job,
                                 std::function<void()> start) {
  JobEntry* entry = this->context->jobs.Find(job);
  if (entry == nullptr) return;
  if (entry->stored) {
    start();
  } else {
    entry->on_stored.push_back(this->guard.Wrap(std::move(start)));
  }
}

void RunControl::Inherit(const RunRef& run, const WorkerIncarnation& worker,
                         Instant inherited_until, bool may_be_ordered) {
  const Instant now = this->context->executor->Now();
  const JobEntry& entry = *this->context->jobs.Find(run.task.step.job);
  const Step* step = this->context->jobs.FindStep(run.task.step);
  SessionRun record;
  record.resources = TaskDemand(*step);
  record.share = ShareOf(entry.job, *step);
  // Failure: the start order of the previous owner is under way when the task
  // is started elsewhere, and reaches a later incarnation of the worker.
  record.start_sent = now;
  record.start_unanswered = may_be_ordered;
  record.bound_to_incarnation = this->IsBoundToIncarnation(entry, worker);
  WorkerSession* session =
      this->context->incarnations->NoteStored(worker, inherited_until);
  if (!MayBeSameIncarnation(session->Incarnation(), worker)) {
    this->context->jobs.NoteLoss(run, {.worker = worker, .certain = true});
    this->BlockStart(session, run, record);
    return;
  }
  record.phase = RunPhase::kStarted;
  record.expected_listed_from = now;
  record.started_at = now;
  record.last_progress_at = now;
  record.expected_end = now + step->estimate;
  session->AddRun(run, record);
  session->ExpectLateStart(now);
  this->QuarantineIfSuspicious(session, run);
}

bool RunControl::IsBoundToIncarnation(const JobEntry& entry,
                                      const WorkerIncarnation& worker) const {
  // The queue may have got or lost its policy since the order was sent.
  const bool permitted = entry.job.queue.advice.has_value() &&
                         this->context->QueueOf(entry).advice.has_value();
  return permitted || worker.start_unix_ms == 0;
}

bool RunControl::FillOrder(const WorkerSession& session, const RunRef& run,
                           StartOrder* order) {
  JobEntry* entry = this->context->jobs.Find(run.task.step.job);
  const TaskEntry* task = this->context->jobs.FindOpen(run);
  if (entry == nullptr || task == nullptr || IsFinal(entry->state)) {
    return false;
  }
  order->run = run;
  order->payload = entry->job.spec.payload;
  order->checkpoint = task->checkpoint;
  order->token = session.token;
  const StepAdvice* advice = this->context->advice->Find(run.task.step);
  const Ticket* ticket =
      advice == nullptr ? nullptr : advice->TicketFor(session.Number());
  if (ticket != nullptr) order->ticket = ticket->text;
  return true;
}

bool RunControl::PermissionExpired(const WorkerSession& session,
                                   const RunRef& run, Instant now) const {
  const JobEntry* entry = this->context->jobs.Find(run.task.step.job);
  if (entry == nullptr || !this->context->QueueOf(*entry).advice) return false;
  const StepAdvice* advice = this->context->advice->Find(run.task.step);
  const Ticket* ticket =
      advice == nullptr ? nullptr : advice->TicketFor(session.Number());
  return ticket != nullptr && ticket->expires <= now + kOrderDeliveryTime;
}

void RunControl::SendStart(const WorkerIncarnation& worker, const RunRef& run) {
  WorkerSession* session = this->context->workers.Find(worker);
  SessionRun* record = session == nullptr ? nullptr : session->FindRun(run);
  if (record == nullptr || record->stopping) return;
  if (record->phase == RunPhase::kStarted) return;
  if (!this->context->MayAct()) return;
  const bool first = record->phase == RunPhase::kPlanned;
  // Failure: the store is unavailable while a run is being stored, the worker
  // shrinks or drains meanwhile, and the start order is sent before the owner
  // knows of that.
  if (first && !this->context->worker_view_fresh()) {
    this->RunAfter(kOrderRetryDelay,
                   [this, worker, run] { this->SendStart(worker, run); });
    return;
  }
  // Failure: an idle worker has restarted with less capacity, or is gone, and
  // nobody has noticed. It is given more than it has, or its tasks wait for a
  // lease to expire that was never granted.
  if (first && !session->InContact(this->context->executor->Now())) {
    record->awaits_contact = true;
    if (!session->lease_withheld) this->context->holds->Contact(session);
    return;
  }
  record->awaits_contact = false;
  // Failure: the store is unavailable while hundreds of runs are being stored,
  // their permissions expire meanwhile, and the workers reject all of them.
  if (first &&
      this->PermissionExpired(*session, run, this->context->executor->Now())) {
    this->context->metrics->Count("starts_withheld", "reason=permission");
    this->context->log->Write("jobs", "start-withheld",
                              {{"task", Text(run.task)},
                               {"run", run.run},
                               {"worker", Text(worker)},
                               {"reason", "permission-expired"}});
    this->WithdrawUnstarted(session, run);
    return;
  }
  StartOrder order;
  const bool draining =
      session->info.draining || !session->listed || !session->described;
  const bool evacuated =
      this->context->evacuations->Contains(session->info.data_center);
  if (!first && evacuated && record->seen_running) {
    record->phase = RunPhase::kStarted;
    record->expected_listed_from = this->context->executor->Now();
    return;
  }
  const bool overcommitted = session->Overcommitted();
  // Failure: an unanswered start order is repeated, and the repetition starts
  // the task in a data centre that was evacuated meanwhile.
  const bool fits = !overcommitted && !evacuated && !(first && draining);
  if (!this->FillOrder(*session, run, &order) || !fits) {
    if (first) {
      this->WithdrawUnstarted(session, run);
    } else {
      this->Stop(session, run);
      this->StopGang(run);
    }
    return;
  }
  const Instant now = this->context->executor->Now();
  // The lease of a worker that does not respond is not extended, see HoldLoop.
  order.lease_until_ms = session->unresponsive || session->lease_withheld
                             ? session->LeaseSentMs()
                             : session->LeaseUntilMs(now, kWorkerLease);
  session->NoteLeaseSent(order.lease_until_ms);
  record->phase = RunPhase::kOrdered;
  if (first) {
    record->ordered_at = now;
    this->QuarantineIfSuspicious(session, run);
    this->NoteStepStart(run.task.step);
  }
  record->start_sent = now;
  record->delayed = false;
  record->bound_to_incarnation =
      !order.ticket.empty() || session->Incarnation().start_unix_ms == 0;
  record->order_in_flight = true;
  record->expected_listed_from.reset();
  this->context->driver->Start(session->Target(), std::move(order),
                               this->guard.Wrap([this, worker, run, first, now](
                                                    const OrderResult& result) {
                                 this->OnStart(worker, run, first, now, result);
                               }));
}

void RunControl::NoteStepStart(const StepRef& ref) {
  StepEntry* step = this->context->jobs.FindStepEntry(ref);
  if (step == nullptr || !step->idle.since) return;
  const IdleStep idle = std::exchange(step->idle, {});
  const Duration took = IdleTime(idle, this->context->executor->Now());
  const JobEntry* entry = this->context->jobs.Find(ref.job);
  const std::string& queue = entry->job.queue.name.Text();
  this->context->metrics->Sample("step_idle_us", "queue=" + queue,
                                 static_cast<double>(took.count()));
  if (took < kMinReportedIdleTime) return;
  this->context->log->Write(
      "jobs", "idle-step-started",
      {{"step", Text(ref)},
       {"queue", queue},
       {"tasks", step->tasks.size()},
       {"idle_ms", WholeMilliseconds(took)},
       {"questions", idle.questions},
       {"dropped_questions", idle.dropped_questions},
       {"reservations_given_up", idle.reservations_given_up}});
}

std::vector<RunRef> RunControl::FindAwaitingContact(
    const WorkerSession& session) {
  std::vector<RunRef> waiting;
  for (const auto& [run, record] : session.runs) {
    if (record.awaits_contact) waiting.push_back(run);
  }
  return waiting;
}

void RunControl::SendContacted(WorkerSession* session) {
  const WorkerIncarnation worker = session->Incarnation();
  for (const RunRef& run : FindAwaitingContact(*session)) {
    this->SendStart(worker, run);
  }
}

void RunControl::WithdrawUncontacted(WorkerSession* session) {
  for (const RunRef& run : FindAwaitingContact(*session)) {
    // A withdrawn member of a gang takes the others with it.
    if (session->FindRun(run) == nullptr) continue;
    this->WithdrawUnstarted(session, run);
  }
}

WorkerSession* RunControl::NoteAnswer(const WorkerIncarnation& worker,
                                      Instant asked, const OrderResult& result,
                                      const HoldResult* lists) {
  WorkerSession* session =
      this->context->incarnations->NoteAnswer(worker, asked, result, lists);
  if (session == nullptr) return nullptr;
  if (result.end == OrderOutcome::kOtherIncarnation) {
    this->HandleWorkerLoss(session, LossCause::kOtherIncarnation,
                           this->context->executor->Now());
    return nullptr;
  }
  session->NoteClock({.clock_ms = result.clock_ms,
                      .sent_at = asked,
                      .received_at = this->context->executor->Now()});
  if (result.end == OrderOutcome::kFenced) {
    this->context->step_down("a worker accepted the token of a newer owner");
    return nullptr;
  }
  return session;
}

void RunControl::OnStart(const WorkerIncarnation& worker, const RunRef& run,
                         bool first, Instant asked, const OrderResult& result) {
  const ControlLoad::Scope scope(this->context->load, ControlWork::kAnswer);
  WorkerSession* latest = this->context->workers.FindLatest(worker.id);
  if (latest != nullptr) NoteStartResponse(latest, run, asked, result.end);
  WorkerSession* session = this->NoteAnswer(worker, asked, result);
  if (session == nullptr) return;
  SessionRun* record = session->FindRun(run);
  if (record == nullptr) return;
  const bool broke =
      result.end == OrderOutcome::kUncertain &&
      this->context->executor->Now() - asked < kConnectionClosedThreshold;
  if (broke || result.end == OrderOutcome::kDone) record->start_received = true;
  if (result.end != OrderOutcome::kDone) {
    const bool awaited = this->AwaitsLateStart(run, *record, asked);
    this->context->log->Write("jobs", "start-not-done",
                              {{"task", Text(run.task)},
                               {"run", run.run},
                               {"worker", Text(worker)},
                               {"end", Name(result.end)},
                               {"first_try", first ? 1 : 0},
                               {"awaited", awaited ? 1 : 0}});
  }
  if (result.end == OrderOutcome::kNoTicket) {
    this->context->advice->DropTicket(run.task.step, session->Number());
  }
  if (result.end == OrderOutcome::kRefused ||
      result.end == OrderOutcome::kUncertain) {
    session->MarkSilent(this->context->executor->Now(), broke);
    this->context->holds->SendIfDue(session);
  }
  if (result.end == OrderOutcome::kDone ||
      result.end == OrderOutcome::kOldRun) {
    // `kOldRun` after a lost response means that the run is or was on the
    // worker; the next hold shows which.
    record->phase = RunPhase::kStarted;
    record->expected_listed_from = this->context->executor->Now();
    this->context->jobs.NoteBegun(run.task.step.job);
    TaskEntry* task = this->context->jobs.FindOpen(run);
    if (task != nullptr) task->rejected_starts = 0;
    this->context->holds->SendIfDue(session);
  } else if (first && ProvesNotStarted(result.end)) {
    this->OnRefused(session, run, result.end);
  } else if (ProvesNotStarted(result.end)) {
    // Failure: an earlier copy of this start order got no response and may
    // still be carried out. After the stop order the worker rejects it.
    this->Stop(session, run);
    this->StopGang(run);
  } else if (record->bound_to_incarnation && !record->stopping) {
    this->RunAfter(kOrderRetryDelay,
                   [this, worker, run] { this->SendStart(worker, run); });
  }
}

// Failure: a start order is repeated while the first copy is under way. The
// task completes, its worker restarts, and the new incarnation carries the
// first copy out. Only a list of the worker shows what became of the order.
void RunControl::NoteStartResponse(WorkerSession* latest, const RunRef& run,
                                   Instant asked, OrderOutcome end) {
  const bool unanswered = end == OrderOutcome::kUncertain;
  // The start order may reach any later incarnation of the worker.
  if (unanswered) latest->ExpectLateStart(asked);
  SessionRun* record = latest->FindRun(run);
  if (record == nullptr) return;
  record->order_in_flight = false;
  if (record->bound_to_incarnation) {
    record->start_unanswered = record->start_unanswered || unanswered;
  } else {
    record->start_unanswered = unanswered && !record->seen_running;
  }
}

void RunControl::OnRefused(WorkerSession* session, const RunRef& run,
                           OrderOutcome why) {
  TaskEntry* task = this->context->jobs.FindOpen(run);
  this->WithdrawUnstarted(session, run);
  const Instant now = this->context->executor->Now();
  if (task != nullptr && why != OrderOutcome::kNotSent) {
    // Failure: every worker rejects the start order, and it is repeated as fast
    // as they respond.
    const std::int32_t doublings =
        std::min(task->rejected_starts++, kMaxBackoffDoublings);
    task->not_before = now + kTaskRetryDelay * (1 << doublings);
  }
  if (why == OrderOutcome::kRefused) {
    this->context->health.OnFailure(now, session->Incarnation().id,
                                    session->info.service,
                                    RequestId(run.task.step.job.Text()));
  }
}

void RunControl::WithdrawUnstarted(WorkerSession* session, const RunRef& run) {
  session->RemoveRun(run);
  TaskEntry* task = this->context->jobs.FindOpen(run);
  if (task != nullptr) {
    task->not_before = this->context->executor->Now() + kTaskRetryDelay;
  }
  this->context->jobs.Withdraw(run);
  this->StopGang(run);
  this->context->dispatcher->SchedulePass();
}

void RunControl::StopGang(const RunRef& member) {
  const Step* step = this->context->jobs.FindStep(member.task.step);
  if (step == nullptr || !step->gang) return;
  // Failure: one member of a gang cannot start or has ended, and the others
  // occupy resources until their workers stop waiting for it.
  for (std::int32_t i = 0; i < step->tasks; ++i) {
    const RunRef other{{member.task.step, i}, member.run};
    const TaskEntry* task = this->context->jobs.FindOpen(other);
    if (task == nullptr) continue;
    WorkerSession* session = this->context->workers.Find(task->worker);
    if (session != nullptr) this->Stop(session, other);
  }
}

void RunControl::Stop(WorkerSession* session, const RunRef& run) {
  SessionRun* record = session->FindRun(run);
  if (record == nullptr || std::exchange(record->stopping, true)) return;
  record->stopping_since = this->context->executor->Now();
  if (record->phase == RunPhase::kPlanned) {
    session->RemoveRun(run);
    this->context->jobs.Withdraw(run);
    this->context->dispatcher->SchedulePass();
    return;
  }
  this->SendStop(session->Incarnation(), run);
}

void RunControl::Preempt(WorkerSession* session, const RunRef& run,
                         const StepRef& by, Duration lost) {
  SessionRun* record = session->FindRun(run);
  TaskEntry* task = this->context->jobs.FindOpen(run);
  if (record == nullptr || task == nullptr || record->stopping) return;
  const Step* step = this->context->jobs.FindStep(run.task.step);
  const Instant now = this->context->executor->Now();
  ++task->preemptions;
  task->preempted_at = now;
  task->time_left =
      std::max<Duration>(Duration::zero(), record->expected_end - now) + lost;
  record->preempted = true;
  record->expected_end = now + kExpectedStopTime;
  const std::int64_t lost_ms = WholeMilliseconds(lost);
  this->context->log->Write(
      "jobs", "run-preempted",
      {{"task", Text(run.task)},
       {"run", run.run},
       {"worker", Text(session->Incarnation())},
       {"for", Text(by)},
       {"lost_ms", lost_ms},
       {"checkpointing", step->checkpointing ? 1 : 0},
       {"ran_ms", WholeMilliseconds(now - record->started_at)},
       {"times", task->preemptions}});
  this->context->metrics->Count("runs_preempted", "");
  this->context->metrics->Count("preempted_work_ms", "", lost_ms);
  this->Stop(session, run);
}

void RunControl::StopUnwanted(WorkerSession* session, const RunRef& run) {
  const JobEntry* entry = this->context->jobs.Find(run.task.step.job);
  const Step* step = this->context->jobs.FindStep(run.task.step);
  const Instant now = this->context->executor->Now();
  // The run is not wanted: its job is final or the run was already considered
  // ended. It occupies resources until it ends.
  SessionRun record;
  // Failure: the job is not known any more, so the resources of the run are
  // unknown and the worker is overcommitted. Until the run has ended, which
  // takes a fraction of a second, nothing else is started on the worker.
  record.resources =
      step == nullptr ? session->info.capacity : TaskDemand(*step);
  if (step != nullptr) record.share = ShareOf(entry->job, *step);
  record.phase = RunPhase::kStarted;
  record.seen_running = now;
  record.started_at = now;
  record.last_progress_at = now;
  record.expected_end = now;
  session->AddRun(run, record);
  this->context->log->Write("jobs", "run-unwanted",
                            {{"task", Text(run.task)},
                             {"run", run.run},
                             {"worker", Text(session->Incarnation())}});
  this->Stop(session, run);
}

void RunControl::WithdrawPlanned(WorkerSession* session, PlannedRuns which) {
  std::vector<RunRef> planned;
  for (const auto& [run, record] : session->runs) {
    if (record.phase == RunPhase::kPlanned) planned.push_back(run);
  }
  for (const RunRef& run : planned) {
    const bool fits = !session->Overcommitted();
    if (which == PlannedRuns::kExcess && fits) return;
    // A withdrawn member of a gang takes the others with it.
    if (session->FindRun(run) == nullptr) continue;
    this->WithdrawUnstarted(session, run);
  }
}

void RunControl::StopJob(const JobEntry& entry) {
  std::vector<std::pair<WorkerSession*, RunRef>> found;
  for (const auto& [id, session] : this->context->workers) {
    for (const auto& [run, record] : session->runs) {
      if (run.task.step.job == entry.job.id) {
        found.emplace_back(session.get(), run);
      }
    }
  }
  for (const auto& [session, run] : found) this->Stop(session, run);
  this->context->advice->ForgetJob(entry.job.id);
}

void RunControl::SendStop(const WorkerIncarnation& worker, const RunRef& run) {
  WorkerSession* session = this->context->workers.Find(worker);
  SessionRun* record = session == nullptr ? nullptr : session->FindRun(run);
  if (record == nullptr || !record->stopping) return;
  if (record->stop_acknowledged || !this->context->MayAct()) return;
  const Instant now = this->context->executor->Now();
  this->context->driver->Stop(
      session->Target(), StopOrder{run, session->token},
      this->guard.Wrap([this, worker, run, now](const OrderResult& result) {
        this->OnStop(worker, run, now, result);
      }));
}

void RunControl::OnStop(const WorkerIncarnation& worker, const RunRef& run,
                        Instant asked, const OrderResult& result) {
  WorkerSession* session = this->NoteAnswer(worker, asked, result);
  if (session == nullptr) return;
  SessionRun* record = session->FindRun(run);
  if (record == nullptr) return;
  if (result.end == OrderOutcome::kDone ||
      result.end == OrderOutcome::kOldRun) {
    record->stop_acknowledged = true;
    record->expected_listed_from = this->context->executor->Now();
    this->context->holds->SendIfDue(session);
    return;
  }
  if (result.end != OrderOutcome::kNotSent) {
    session->MarkSilent(this->context->executor->Now(), false);
    this->context->holds->SendIfDue(session);
  }
  this->RunAfter(kOrderRetryDelay,
                 [this, worker, run] { this->SendStop(worker, run); });
}

bool RunControl::End(WorkerSession* session, const RunRef& run, RunEnd end,
                     std::string_view checkpoint,
                     std::function<void()> durable) {
  const bool pending =
      this->ApplyRunEnd(session, run, end, checkpoint, std::move(durable));
  const CrashHistory* crashes = this->context->jobs.FindCrashes(run.task);
  const bool last_start =
      crashes != nullptr && crashes->AtLimit(this->MaxLostWorkers());
  if (last_start && end != RunEnd::kDone) this->GiveUp(run.task);
  return pending;
}

bool RunControl::ApplyRunEnd(WorkerSession* session, const RunRef& run,
                             RunEnd end, std::string_view checkpoint,
                             std::function<void()> durable) {
  const Instant now = this->context->executor->Now();
  const SessionRun* record = session->FindRun(run);
  if (record != nullptr) this->NoteOutcome(*session, *record, run, end);
  const bool preempted = record != nullptr && record->preempted;
  session->RemoveRun(run);
  JobEntry* entry = this->context->jobs.Find(run.task.step.job);
  EndEffect effect = this->context->jobs.End(run, end, checkpoint, now);
  // Failure: a preempted task waits for capacity, its worker has forgotten the
  // end, the owner crashes, and its successor starts the task from an earlier
  // checkpoint.
  const bool resumes = preempted && effect.matched && !checkpoint.empty() &&
                       !IsFinal(entry->state);
  effect.durable = effect.durable || resumes;
  this->context->log->Write("jobs", "task-ended",
                            {{"task", Text(run.task)},
                             {"run", run.run},
                             {"worker", Text(session->Incarnation())},
                             {"end", Name(end)},
                             {"counted", effect.matched ? 1 : 0}});
  if (effect.gang_ended) this->StopGang(run);
  if (effect.job_final) this->StoreFinal(entry);
  // Failure: all members of a gang complete, the first end is being stored, and
  // a worker is told that it may forget another one. The owner crashes before
  // the write is done, and its successor finds no end and runs the gang again.
  const bool ended_by_itself = end == RunEnd::kDone || end == RunEnd::kFailed;
  const bool pending =
      effect.durable ||
      (ended_by_itself &&
       this->context->writer->HasPendingWrite(run.task.step.job));
  if (pending) {
    this->context->writer->Write(run.task.step.job, std::move(durable));
  }
  this->context->dispatcher->SchedulePass();
  return pending;
}

void RunControl::NoteOutcome(const WorkerSession& session,
                             const SessionRun& record, const RunRef& run,
                             RunEnd end) {
  const Instant now = this->context->executor->Now();
  const JobEntry* entry = this->context->jobs.Find(run.task.step.job);
  if (entry == nullptr) return;
  const ServiceId service(entry->job.queue.name.Text());
  if (end == RunEnd::kDone) {
    this->context->health.OnSuccess(now, session.Incarnation().id, service);
    // A run that has resumed did only part of the work.
    const TaskEntry* task = this->context->jobs.FindTask(run.task);
    if (task != nullptr && task->preemptions > 0) return;
    const Step* step = this->context->jobs.FindStep(run.task.step);
    this->context->run_times.Learn(entry->job.queue.name, step->estimate,
                                   now - record.started_at);
  } else if (end == RunEnd::kFailed) {
    this->context->health.OnFailure(now, session.Incarnation().id, service,
                                    RequestId(run.task.step.job.Text()));
  }
}

void RunControl::StoreFinal(JobEntry* entry) {
  const JobId id = entry->job.id;
  if (entry->state == JobState::kCompleted) {
    // All tasks are complete; the remaining ends only need to be listed.
    this->context->advice->ForgetJob(id);
  } else {
    this->StopJob(*entry);
  }
  this->context->writer->Write(id, this->guard.Wrap([this, id] {
    JobEntry* stored = this->context->jobs.Find(id);
    if (stored == nullptr) return;
    this->context->log->Write("jobs", "job-final",
                              {{"job", id.Text()},
                               {"state", Name(stored->state)},
                               {"cause", stored->failure},
                               {"token", this->context->token}});
    // Only the final state is needed from now on.
    this->context->ended->Note(
        id, {stored->state, stored->failure, stored->job.access});
    this->context->jobs.Remove(id);
  }));
}

void RunControl::HandleWorkerLoss(WorkerSession* session, LossCause cause,
                                  Instant down_by) {
  this->context->log->Write("workers", "worker-lost",
                            {{"worker", Text(session->Incarnation())},
                             {"runs", session->runs.size()},
                             {"reason", Name(cause)}});
  if (!session->gone) {
    this->context->metrics->Count("worker_losses",
                                  "reason=" + std::string(Name(cause)));
  }
  session->MarkSilent(this->context->executor->Now(), false);
  session->fenced = false;
  session->gone = cause == LossCause::kOtherIncarnation;
  const Outage outage = this->NoteOutage(*session);
  std::vector<RunRef> lost;
  for (const auto& [run, record] : session->runs) {
    this->LogLostRun(*session, run, record, cause);
    this->NoteLoss(*session, run, record, cause, down_by);
    lost.push_back(run);
  }
  this->Discount(outage);
  for (const RunRef& run : lost) {
    if (this->BlockIfMayStart(session, run, cause)) continue;
    this->ApplyRunEnd(session, run, RunEnd::kLapsed, "", {});
  }
  for (const RunRef& run : lost) this->GiveUpIfUnsafe(run.task);
  if (cause == LossCause::kLeaseLapsed) return;
  for (const TaskRef& task :
       this->context->jobs.ConfirmLoss(session->Incarnation())) {
    this->GiveUpIfUnsafe(task);
  }
}

void RunControl::BlockStart(WorkerSession* session, const RunRef& run,
                            const SessionRun& former) {
  const Instant now = this->context->executor->Now();
  SessionRun record;
  record.resources = former.resources;
  record.share = former.share;
  record.phase = RunPhase::kOrdered;
  record.blocked = true;
  record.stopping = true;
  record.start_sent = former.start_sent;
  record.start_unanswered = former.Unanswered();
  record.bound_to_incarnation = former.bound_to_incarnation;
  record.started_at = now;
  record.last_progress_at = now;
  record.expected_end = now;
  session->AddRun(run, record);
  this->SendStop(session->Incarnation(), run);
}

void RunControl::Move(WorkerSession* session, const RunRef& run,
                      SessionRun record) {
  record.phase = RunPhase::kStarted;
  record.quarantined = false;
  record.alone = false;
  record.order_in_flight = false;
  record.expected_listed_from = this->context->executor->Now();
  record.seen_running.reset();
  // Failure: a stop that the former incarnation acknowledged counts for the new
  // one, which runs on.
  record.stop_acknowledged = false;
  // A blocked run is the only one of its task.
  const bool was_blocked = std::exchange(record.blocked, false);
  if (was_blocked && this->IsWanted(run)) record.stopping = false;
  session->AddRun(run, record);
  this->context->jobs.Relocate(run, session->Incarnation());
  if (record.stopping) {
    this->SendStop(session->Incarnation(), run);
  } else if (!this->IsGangRunIntact(run)) {
    this->StopGang(run);
  } else {
    this->QuarantineIfSuspicious(session, run);
  }
}

bool RunControl::AwaitsLateStart(const RunRef& run, const SessionRun& record,
                                 Instant now) const {
  return record.OrderMayArrive(now) && this->IsWanted(run);
}

bool RunControl::IsWanted(const RunRef& run) const {
  const JobEntry* entry = this->context->jobs.Find(run.task.step.job);
  const TaskEntry* task = this->context->jobs.FindOpen(run);
  return task != nullptr && !task->done && !IsFinal(entry->state);
}

bool RunControl::IsGangRunIntact(const RunRef& member) {
  const Step* step = this->context->jobs.FindStep(member.task.step);
  if (step == nullptr || !step->gang) return true;
  for (std::int32_t i = 0; i < step->tasks; ++i) {
    const RunRef other{{member.task.step, i}, member.run};
    if (this->context->jobs.FindOpen(other) == nullptr) return false;
  }
  return true;
}

void RunControl::ReleaseBlocked(WorkerSession* session) {
  const Instant now = this->context->executor->Now();
  std::vector<RunRef> over;
  for (const auto& [run, record] : session->runs) {
    const bool may_start = record.start_sent + kLateStartWindow > now;
    if (record.blocked && !may_start) over.push_back(run);
  }
  for (const RunRef& run : over) {
    (void)this->End(session, run, RunEnd::kLapsed, "", {});
  }
}

bool RunControl::BlockIfMayStart(WorkerSession* session, const RunRef& run,
                                 LossCause cause) {
  SessionRun* record = session->FindRun(run);
  if (record == nullptr || cause == LossCause::kOtherIncarnation) return false;
  if (cause == LossCause::kRestarted) return record->MayStartLate();
  if (record->blocked) return true;
  // Failure: a worker that is unreachable has restarted, and carries out a
  // start order that its former incarnation left unanswered.
  const Instant now = this->context->executor->Now();
  const bool restarts = session->Incarnation().start_unix_ms != 0;
  const bool may_start = record->start_sent + kLateStartWindow > now;
  if (!restarts || !record->Unanswered() || !may_start) return false;
  session->EndQuarantine(run);
  record->blocked = true;
  if (!std::exchange(record->stopping, true)) {
    this->SendStop(session->Incarnation(), run);
  }
  return true;
}

void RunControl::NoteLoss(const WorkerSession& session, const RunRef& run,
                          const SessionRun& record, LossCause cause,
                          Instant down_by) {
  // A run whose start order was never sent cannot have caused the loss, and a
  // draining worker stops on its own.
  if (record.phase == RunPhase::kPlanned || session.HasLeft()) return;
  // The loss was recorded for the incarnation that the start order was sent to.
  if (record.blocked) return;
  // Failure: a worker restarts while a start order is still on its way to it,
  // and the task, which has not run there, is blamed.
  if (record.delayed) return;
  const bool certain = cause != LossCause::kLeaseLapsed;
  const bool ordered_after_crash =
      certain && record.ordered_at &&
      down_by - *record.ordered_at < kMinRestartTime;
  if (ordered_after_crash) return;
  // If the worker had already stopped responding, it is unknown whether the
  // start order arrived.
  const bool was_there =
      record.ordered_at &&
      session.LastAnswer() + kRecentAnswerWindow >= *record.ordered_at;
  const bool arrived = record.phase == RunPhase::kStarted ||
                       record.start_received || record.seen_running;
  this->context->jobs.NoteLoss(
      run, {.worker = session.Incarnation(),
            .certain = certain,
            .survived = record.Survived(),
            .at_start = record.start_received && !record.seen_running,
            .alone = record.alone && was_there,
            .unanswered = !arrived});
}

Outage RunControl::NoteOutage(const WorkerSession& lost) {
  const auto describe = [](const WorkerSession& session) {
    DownWorker down;
    down.worker = session.Incarnation();
    down.since = session.silent_since;
    down.exact = session.silence_exact;
    down.quarantined = session.Quarantined();
    for (const auto& [run, record] : session.runs) {
      down.jobs.insert(run.task.step.job);
    }
    return down;
  };
  // If a worker never responded, it is unknown when it went down.
  const auto went_down = [](const WorkerSession& session) {
    return session.LastAnswer() != Instant() && !session.HasLeft();
  };
  std::vector<DownWorker> silent;
  for (const auto& [id, session] : this->context->workers) {
    const bool pending = session->unresponsive && !session->gone;
    if (pending && went_down(*session)) silent.push_back(describe(*session));
  }
  if (!went_down(lost)) return {};
  const DownWorker down = describe(lost);
  this->context->outages.Note(down);
  return this->context->outages.FindOutage(down, silent,
                                           this->context->workers.Size());
}

void RunControl::Discount(const Outage& outage) {
  const std::size_t discounted = this->context->jobs.Discount(outage);
  if (discounted == 0) return;
  this->context->log->Write("jobs", "losses-discounted",
                            {{"tasks", discounted},
                             {"workers", outage.workers.size()},
                             {"unexplained", outage.unexplained},
                             {"least", outage.min_unrelated_workers}});
}

void RunControl::GiveUpIfUnsafe(const TaskRef& task) {
  const CrashHistory* crashes = this->context->jobs.FindCrashes(task);
  if (crashes == nullptr) return;
  if (crashes->Unsafe(this->MaxLostWorkers())) this->GiveUp(task);
}

void RunControl::GiveUp(const TaskRef& task) {
  JobEntry* entry = this->context->jobs.Find(task.step.job);
  if (entry == nullptr || IsFinal(entry->state)) return;
  if (this->context->jobs.FindStep(task.step)->long_running) {
    this->DelayRestart(task);
    return;
  }
  const std::string lost = entry->crashes.at(task).Text();
  this->context->log->Write("jobs", "task-given-up",
                            {{"task", Text(task)},
                             {"reason", "workers were lost while running it"},
                             {"lost_workers", lost}});
  this->context->metrics->Count("tasks_given_up", "reason=lost-workers");
  this->context->jobs.Fail(entry, "workers were lost while running task " +
                                      Text(task) + ": " + lost);
  this->StoreFinal(entry);
}

void RunControl::DelayRestart(const TaskRef& task) {
  TaskEntry* entry = this->context->jobs.FindTask(task);
  const CrashHistory* crashes = this->context->jobs.FindCrashes(task);
  if (entry == nullptr || crashes == nullptr) return;
  entry->not_before = this->context->executor->Now() + kCrashRestartDelay;
  this->context->log->Write(
      "jobs", "restart-delayed",
      {{"task", Text(task)},
       {"delay_ms", WholeMilliseconds(kCrashRestartDelay)},
       {"lost_workers", crashes->Text()}});
}

void RunControl::LogLostRun(const WorkerSession& session, const RunRef& run,
                            const SessionRun& record, LossCause cause) {
  const bool inherited =
      !record.ordered_at && record.phase != RunPhase::kPlanned;
  const Instant now = this->context->executor->Now();
  const Duration age = now - record.ordered_at.value_or(now);
  this->context->log->Write(
      "jobs", "run-lost",
      {{"task", Text(run.task)},
       {"run", run.run},
       {"worker", Text(session.Incarnation())},
       {"reason", Name(cause)},
       {"phase", Name(record.phase)},
       {"inherited", inherited ? 1 : 0},
       {"seen_running", record.seen_running ? 1 : 0},
       {"quarantined", record.quarantined ? 1 : 0},
       {"survived_ms", WholeMilliseconds(record.Survived())},
       {"ordered_ms_ago", WholeMilliseconds(age)}});
}

void RunControl::RunAfter(Duration delay, std::function<void()> task) {
  this->context->executor->After(delay, this->guard.Wrap(std::move(task)));
}

}  // namespace mustardproxy::jobs
