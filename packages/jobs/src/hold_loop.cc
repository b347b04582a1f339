#include "hold_loop.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "dispatcher.h"
#include "gang_reservations.h"
#include "lease_times.h"
#include "lease_withholding.h"
#include "options.h"
#include "placement.h"
#include "run_control.h"

namespace mustardproxy::jobs {
namespace {

/// Maximum delay between two holds of an unresponsive worker, in multiples of
/// `kHoldRetryDelay`.
constexpr std::int32_t kMaxRetryFactor = 4;

/// A data centre of a large cell counts as unreachable if at least this many of
/// its workers that have been asked are silent, and this many times as many as
/// answer.
constexpr std::int64_t kMinSilentWorkers = 5;
constexpr std::int64_t kCutOffRatio = 2;

}  // namespace

HoldLoop::HoldLoop(OwnerContext* context) : context(context) {
  this->context->workers.AddReader(&this->changes);
}

HoldLoop::~HoldLoop() { this->context->workers.RemoveReader(&this->changes); }

Duration HoldLoop::Wait() const {
  const auto workers = static_cast<std::int64_t>(this->context->workers.Size());
  const Duration wait = Duration(seconds(workers)) / kMaxIdleHoldsPerSecond;
  return std::clamp(wait, kHoldWait, kMaxHoldWait);
}

bool HoldLoop::Polls(const WorkerSession& session, Instant now) {
  return now < session.LateStartsUntil();
}

Duration HoldLoop::PollInterval() const {
  return std::max(kMinPollInterval,
                  Duration(seconds(this->polled)) / kMaxPollsPerSecond);
}

// Failure: a start order without a response stays under way while its task is
// repeated and completes. The worker, which is idle, restarts unnoticed and
// carries the order out before it has learned a token.
void HoldLoop::ScheduleNextPoll(WorkerSession* session) {
  const Instant now = this->context->executor->Now();
  if (!Polls(*session, now)) return;
  session->next_poll = now + this->PollInterval();
  this->CheckAt(std::max(session->next_poll, session->next_hold),
                session->Incarnation());
}

void HoldLoop::CheckAt(Instant moment, const WorkerIncarnation& worker) {
  this->context->executor->After(
      moment - this->context->executor->Now(), this->guard.Wrap([this, worker] {
        WorkerSession* session = this->context->workers.Find(worker);
        if (session != nullptr) this->SendIfDue(session);
      }));
}

bool HoldLoop::IsOverdue(const WorkerSession& session, Instant now) const {
  const Duration patience =
      std::max(session.hold_wait + kPollTimeout, this->PollInterval());
  return now >= session.hold_sent + patience;
}

bool HoldLoop::LargeCell() const {
  return this->context->workers.Size() > kMaxWorkersAskedAtOnce;
}

bool HoldLoop::AwaitsTurn(const WorkerSession& session) const {
  const bool may_wait = !session.fenced && !session.unresponsive &&
                        session.runs.empty() && !session.contact_wanted;
  return may_wait && this->fences_left == 0 && this->LargeCell();
}

Duration HoldLoop::RetryDelay(const WorkerSession& session) const {
  const Duration usual = kHoldRetryDelay * session.unanswered_holds;
  if (!this->LargeCell()) return usual;
  // Failure: a data centre of a large cell is cut off, and the owner does
  // little else than open connections to its workers.
  const Duration paced =
      session.runs.empty()
          ? Duration(seconds(this->silent_idle)) / kMaxIdleRetriesPerSecond
          : Duration(seconds(this->silent_busy)) / kMaxBusyRetriesPerSecond;
  return std::max(usual, paced);
}

bool HoldLoop::IsDue(const WorkerSession& session, Instant now) const {
  if (session.gone || this->AwaitsTurn(session)) return false;
  // Failure: a worker restarts while a hold waits there, and the connection
  // stays silent until the call times out.
  const bool polls = Polls(session, now);
  const bool overdue = polls && this->IsOverdue(session, now);
  if (session.hold_in_flight && !overdue) return false;
  if (session.info.address.empty()) return false;
  // Workers of services that are not in the desired state are not managed.
  const bool managed =
      !session.runs.empty() || this->context->HasService(session.info.service);
  if (!managed) return false;
  if (now < session.next_hold) return false;
  // The worker would only list again the ends that are not stored yet. The
  // lease of its runs must still be renewed while the store is unavailable.
  const Duration renewal = polls ? this->PollInterval() : this->Wait();
  const bool renewal_due = now >= session.hold_sent + renewal;
  if (!session.unstored_ends.empty() && !renewal_due) return false;
  const bool unacknowledged =
      session.durable_end > session.sent_acknowledged_end;
  // Nothing that is only planned has a lease or an end.
  return session.HasContactedRuns() || session.contact_wanted ||
         !session.fenced || unacknowledged ||
         (session.unresponsive && session.listed) ||
         (polls && now >= session.next_poll);
}

HoldOrder HoldLoop::MakeOrder(const WorkerSession& session, Instant now) const {
  HoldOrder order;
  order.token = session.token;
  // Failure: a worker has restarted unnoticed, and the sequence number reached
  // by its former incarnation makes it forget its first ends before they were
  // read. An acknowledgement is therefore sent only once, and only to an
  // incarnation that has just responded: in reply to it, if the next one may
  // have started a run.
  const bool unacknowledged =
      session.durable_end > session.sent_acknowledged_end;
  const Duration window =
      session.MayHaveStartedElsewhere(now) ? kReplyWindow : kContactWindow;
  const bool verified =
      !session.unresponsive && now < session.verified + window;
  if (unacknowledged && verified) order.acknowledged_end = session.durable_end;
  // Failure: a worker is permanently lost, and each attempt to reach it
  // postpones the time at which its lease is certain to have expired, so that
  // its tasks are never started elsewhere. An unresponsive worker is therefore
  // only queried, and its lease runs out.
  if (!session.unresponsive && !session.lease_withheld) {
    order.lease_until_ms = session.LeaseUntilMs(now, kWorkerLease);
  }
  const bool checking = std::any_of(
      session.runs.begin(), session.runs.end(), [&](const auto& run) {
        return run.second.stop_acknowledged &&
               !this->context->runs->AwaitsLateStart(run.first, run.second,
                                                     now);
      });
  const bool wait = session.fenced && !session.unresponsive &&
                    session.HasContactedRuns() && !checking &&
                    (verified || !unacknowledged) &&
                    session.unstored_ends.empty();
  order.wait = wait ? this->Wait() : Duration::zero();
  if (session.Quarantined() || session.lease_withheld) {
    order.wait = std::min(order.wait, kQuarantineHoldWait);
  }
  if (Polls(session, now)) {
    order.wait = std::min(order.wait, this->PollInterval());
  }
  return order;
}

void HoldLoop::SendIfDue(WorkerSession* session) {
  if (this->IsDue(*session, this->context->executor->Now())) {
    this->Send(session);
  }
}

void HoldLoop::Send(WorkerSession* session) {
  if (!this->context->MayAct()) return;
  if (!session->fenced && this->fences_left > 0) --this->fences_left;
  const Instant now = this->context->executor->Now();
  HoldOrder order = this->MakeOrder(*session, now);
  session->NoteLeaseSent(order.lease_until_ms);
  session->hold_in_flight = true;
  session->hold_sent = now;
  session->hold_wait = order.wait;
  if (Polls(*session, now)) {
    this->CheckAt(
        now + std::max(order.wait + kPollTimeout, this->PollInterval()),
        session->Incarnation());
  }
  this->context->driver->Hold(
      session->Target(), order,
      this->guard.Wrap([this, worker = session->Incarnation(), now,
                        order](const HoldResult& result) {
        this->OnHold(worker, now, order, result);
      }));
}

void HoldLoop::Contact(WorkerSession* session) {
  if (session->InContact(this->context->executor->Now())) return;
  session->contact_wanted = true;
  this->SendIfDue(session);
}

bool HoldLoop::NeedsAttention(const WorkerSession& session, Instant now) {
  const bool idle = session.listed && !session.gone && session.fenced &&
                    !session.unresponsive && session.runs.empty() &&
                    !session.contact_wanted && !session.hold_in_flight &&
                    session.unstored_ends.empty() &&
                    session.durable_end <= session.sent_acknowledged_end;
  return !idle || Polls(session, now);
}

std::vector<WorkerSession*> HoldLoop::TakeAttended(Instant now) {
  for (const SessionNumber number : this->attended) this->changes.Note(number);
  std::vector<SessionNumber> numbers = this->changes.Take();
  std::sort(numbers.begin(), numbers.end());
  this->attended.clear();
  this->silent_idle = 0;
  this->silent_busy = 0;
  std::map<DataCenterId, ReachedWorkers> reached;
  std::vector<WorkerSession*> sessions;
  for (const SessionNumber number : numbers) {
    WorkerSession* session = this->context->workers.At(number);
    if (session == nullptr || !NeedsAttention(*session, now)) continue;
    this->attended.push_back(number);
    sessions.push_back(session);
    if (session->gone || session->hold_sent == Instant()) continue;
    ReachedWorkers& there = reached[session->info.data_center];
    ++(session->unresponsive ? there.silent : there.answering);
    if (!session->unresponsive) continue;
    ++(session->runs.empty() ? this->silent_idle : this->silent_busy);
  }
  this->UpdateUnreachable(reached);
  return sessions;
}

void HoldLoop::UpdateUnreachable(
    const std::map<DataCenterId, ReachedWorkers>& reached) {
  std::set<DataCenterId> unreachable;
  if (this->LargeCell()) {
    for (const auto& [center, workers] : reached) {
      const bool cut_off = workers.silent >= kMinSilentWorkers &&
                           workers.silent >= kCutOffRatio * workers.answering;
      if (cut_off) unreachable.insert(center);
    }
  }
  std::set<DataCenterId>& known = this->context->unreachable;
  if (unreachable == known) return;
  std::set<DataCenterId> changed;
  std::set_symmetric_difference(known.begin(), known.end(), unreachable.begin(),
                                unreachable.end(),
                                std::inserter(changed, changed.end()));
  known = std::move(unreachable);
  for (const DataCenterId& center : changed) {
    const auto found = reached.find(center);
    const ReachedWorkers workers =
        found == reached.end() ? ReachedWorkers{} : found->second;
    this->context->log->Write("workers",
                              known.contains(center) ? "data-centre-unreachable"
                                                     : "data-centre-reachable",
                              {{"data_center", center.Text()},
                               {"silent", workers.silent},
                               {"answering", workers.answering}});
  }
  for (const auto& [id, session] : this->context->workers) {
    if (changed.contains(session->info.data_center)) session->NoteChange();
  }
  this->context->dispatcher->SchedulePass();
}

void HoldLoop::SendAllDue() {
  const Instant now = this->context->executor->Now();
  const std::vector<WorkerSession*> sessions = this->TakeAttended(now);
  this->polled =
      std::count_if(sessions.begin(), sessions.end(),
                    [now](const auto* one) { return Polls(*one, now); });
  this->fences_left = kMaxFencesPerTick;
  std::vector<WorkerId> finished;
  for (WorkerSession* session : sessions) {
    // A run whose start order was never sent has no lease that could expire.
    if (now >= session->LeaseExpiresAt()) {
      // A worker that responds lists the runs whose lease was withheld until it
      // expired.
      const bool lists =
          session->lease_withheld && session->fenced && !session->unresponsive;
      if (session->HasOrdered() && !lists) {
        this->context->runs->HandleWorkerLoss(session, LossCause::kLeaseLapsed,
                                              now);
      }
      if (session->unresponsive) this->context->runs->ReleaseBlocked(session);
    }
    this->context->withholding->NoteSilent(*session);
    if (this->IsDue(*session, now)) this->Send(session);
    const bool over =
        (!session->listed || session->gone) && !Polls(*session, now);
    if (over && session->runs.empty()) {
      finished.push_back(session->Incarnation().id);
    }
  }
  this->context->withholding->Flush();
  for (const WorkerId& id : finished) {
    WorkerSession* session = this->context->workers.FindLatest(id);
    // The store entry of an incarnation that has ended stays until the platform
    // removes it.
    if (session->listed) continue;
    this->context->health.Remove(id);
    this->context->workers.Remove(id);
  }
}

void HoldLoop::OnHold(const WorkerIncarnation& worker, Instant asked,
                      const HoldOrder& sent, const HoldResult& result) {
  const ControlLoad::Scope scope(this->context->load, ControlWork::kAnswer);
  WorkerSession* known = this->context->workers.Find(worker);
  if (known != nullptr && asked == known->hold_sent) {
    known->hold_in_flight = false;
  }
  WorkerSession* session =
      this->context->runs->NoteAnswer(worker, asked, result.order, &result);
  if (session == nullptr) return;
  if (!MayBeSameIncarnation(session->Incarnation(), worker)) {
    // The hold carried the token for the former incarnation.
    this->SendIfDue(session);
    return;
  }
  if (result.order.end != OrderOutcome::kDone) {
    // The worker has already answered a later poll.
    if (asked < session->hold_sent && asked <= session->verified) return;
    this->OnHoldFailed(session, result.order.end,
                       asked + std::max(sent.wait, kConnectionClosedThreshold));
    return;
  }
  session->sent_acknowledged_end =
      std::max(session->sent_acknowledged_end, sent.acknowledged_end);
  this->OnAnswer(session, asked, result);
}

void HoldLoop::OnHoldFailed(WorkerSession* session, OrderOutcome end,
                            Instant broken_before) {
  const Instant now = this->context->executor->Now();
  const bool exact = end == OrderOutcome::kUncertain && now < broken_before;
  if (session->MarkSilent(now, exact)) {
    this->context->log->Write("workers", "worker-silent",
                              {{"worker", Text(session->Incarnation())},
                               {"end", Name(end)},
                               {"runs", session->runs.size()}});
  }
  session->unanswered_holds =
      std::min(session->unanswered_holds + 1, kMaxRetryFactor);
  session->next_hold = now + this->RetryDelay(*session);
  if (Polls(*session, now)) session->next_hold = now + kHoldRetryDelay;
  session->contact_wanted = false;
  this->context->runs->WithdrawUncontacted(session);
  this->ScheduleNextPoll(session);
  this->context->reservations->OnContact();
}

void HoldLoop::OnAnswer(WorkerSession* session, Instant asked,
                        const HoldResult& result) {
  const bool back = std::exchange(session->unresponsive, false);
  const bool first = !std::exchange(session->fenced, true);
  this->context->withholding->NoteAnswer(*session);
  if (first && session->Incarnation().start_unix_ms == 0) {
    // It refuses the orders of former owners from now on.
    session->LimitInherited(this->context->executor->Now() +
                            MaxGrantedLeaseTime());
  }
  session->unanswered_holds = 0;
  session->verified = this->context->executor->Now();
  this->ScheduleNextPoll(session);
  if (first) this->context->jobs.NoteAlive(session->Incarnation());
  if (first || back) {
    this->context->log->Write("workers",
                              first ? "worker-fenced" : "worker-back",
                              {{"worker", Text(session->Incarnation())},
                               {"token", session->token},
                               {"running", result.running.size()},
                               {"ended", result.ended.size()}});
    this->context->dispatcher->SchedulePass();
  }
  session->contact_wanted = false;
  this->ReadRunning(session, result);
  this->EndUnlistedRuns(session, asked, result);
  this->ReadEnded(session, result);
  this->context->runs->SendContacted(session);
  this->context->reservations->OnContact();
}

void HoldLoop::ReadRunning(WorkerSession* session, const HoldResult& result) {
  const Instant now = this->context->executor->Now();
  for (const RunningRun& listed : result.running) {
    this->context->jobs.NoteBegun(listed.run.task.step.job);
    SessionRun* record = session->FindRun(listed.run);
    if (record == nullptr) {
      this->context->runs->StopUnwanted(session, listed.run);
      continue;
    }
    record->NoteRunning(now);
    if (record->quarantined && record->Survived() >= record->probation_period) {
      session->EndQuarantine(listed.run);
      this->context->log->Write(
          "jobs", "quarantine-ended",
          {{"task", Text(listed.run.task)},
           {"run", listed.run.run},
           {"worker", Text(session->Incarnation())},
           {"survived_ms", WholeMilliseconds(record->Survived())}});
      this->context->dispatcher->SchedulePass();
    }
    if (record->percent != listed.percent) {
      record->percent = listed.percent;
      record->last_progress_at = now;
    }
    this->context->jobs.NoteCheckpoint(listed.run, listed.checkpoint);
  }
}

void HoldLoop::EndUnlistedRuns(WorkerSession* session, Instant asked,
                               const HoldResult& result) {
  if (result.ended_truncated) return;
  const std::set<RunRef> listed = result.ListedRuns();
  std::vector<RunRef> gone;
  for (auto& [run, record] : session->runs) {
    if (listed.contains(run)) continue;
    record.NoteUnlisted(asked);
    const bool over = record.MustBeListed(asked) &&
                      !this->context->runs->AwaitsLateStart(run, record, asked);
    if (over) gone.push_back(run);
  }
  for (const RunRef& run : gone) {
    this->context->runs->End(session, run, RunEnd::kLapsed, "", {});
  }
}

void HoldLoop::ReadEnded(WorkerSession* session, const HoldResult& result) {
  const WorkerIncarnation worker = session->Incarnation();
  auto batch = std::make_shared<EndBatch>();
  batch->last_number = session->received_end;
  // Counts this function itself as one open write, so that the batch completes
  // only once.
  batch->open_writes = 1;
  session->unstored_ends.push_back(batch);
  const auto stored = this->guard.Wrap([this, worker, batch] {
    if (--batch->open_writes == 0) this->OnStored(worker);
  });
  for (const EndedRun& ended : result.ended) {
    if (ended.number <= session->received_end) continue;
    session->received_end = ended.number;
    this->context->jobs.NoteBegun(ended.run.task.step.job);
    batch->last_number = ended.number;
    ++batch->open_writes;
    const bool waits = this->context->runs->End(session, ended.run, ended.end,
                                                ended.checkpoint, stored);
    if (!waits) --batch->open_writes;
  }
  auto finish = stored;
  finish();
}

void HoldLoop::OnStored(const WorkerIncarnation& worker) {
  WorkerSession* session = this->context->workers.Find(worker);
  if (session == nullptr) return;
  auto& batches = session->unstored_ends;
  while (!batches.empty() && batches.front()->open_writes == 0) {
    session->durable_end =
        std::max(session->durable_end, batches.front()->last_number);
    batches.pop_front();
  }
  if (batches.empty()) this->SendIfDue(session);
}

}  // namespace mustardproxy::jobs
