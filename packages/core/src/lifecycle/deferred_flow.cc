#include "lifecycle/deferred_flow.h"

#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::detail {
namespace {

/// Accepted work is never given up for lack of room; the scheduler still orders
/// it by this moment.
constexpr Duration kNeverGivenUp = std::chrono::hours(24 * 365 * 10);
/// Longest time that a placement may wait for its *started* records while it
/// keeps its room from other work.
constexpr Duration kRecordPatience = std::chrono::seconds(1);
/// Longest time until the caller learns that the work was not accepted.
constexpr Duration kAcceptPatience = std::chrono::seconds(5);
/// Pause after a failed attempt.
constexpr Duration kRetryPause = std::chrono::milliseconds(500);
/// Attempts that were not started and are repeated without a pause.
constexpr std::int32_t kQuickRetries = 2;
constexpr Duration kLongestRetryPause = std::chrono::seconds(5);
/// Longest time that work waits for another worker than those it failed on.
constexpr Duration kAvoidTime = std::chrono::seconds(3);
constexpr Duration kParkPause = std::chrono::seconds(1);
constexpr std::int32_t kBadGatewayStatus = 502;

Answer UnknownEnd(std::string text) {
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.status = kBadGatewayStatus;
  answer.error = Error::kWorkerLost;
  answer.detail = std::move(text);
  return answer;
}

}  // namespace

DeferredWork* DeferredFlow::Get(const RequestId& request) {
  const auto found = this->works.find(request);
  return found == this->works.end() ? nullptr : &found->second;
}

const DeferredWork* DeferredFlow::Find(const RequestId& request) const {
  const auto found = this->works.find(request);
  return found == this->works.end() ? nullptr : &found->second;
}

std::size_t DeferredFlow::SizeIn(const JournalId& journal) const {
  const auto found = this->sizes.find(journal);
  return found == this->sizes.end() ? 0 : found->second;
}

void DeferredFlow::Accept(ActiveRequest* entry) {
  Admission admission;
  const bool fits_now =
      !this->parts->ledger
           .FindGang(entry->terms.resources, entry->terms.tasks,
                     Packing::kFirstFit, {})
           .empty();
  const bool admitted = this->AdmitHere(entry, &admission);
  if (!admitted || !fits_now) {
    const bool forwarded =
        admitted
            ? this->parts->forwarding.TryForward(entry, Reach::kOwnDataCenter)
            : this->parts->forwarding.TryForwardToOwner(entry);
    if (forwarded) {
      return;
    }
  }
  if (!admitted) {
    this->parts->requests.RefuseAdmission(entry, admission);
    return;
  }
  const bool taken =
      this->parts->journals.Healthy() &&
      this->parts->journals.TryAppend(this->parts->journals.Own(),
                                      AcceptedRecord{entry->request});
  if (!taken) {
    this->parts->requests.Refuse(entry, Error::kJournalUnavailable,
                                 kUnavailableStatus,
                                 "deferred work can not be recorded now");
    return;
  }
  entry->phase = RequestPhase::kJournalling;
  this->parts->table.SetDeadline(
      entry->request.id,
      std::min(entry->deadline, this->parts->context.now + kAcceptPatience));
}

bool DeferredFlow::AdmitHere(ActiveRequest* entry, Admission* admission) {
  const Instant now = this->parts->context.now;
  if (this->parts->ledger.WorkerCount() == 0) {
    admission->refusal = Error::kNoWorker;
    admission->detail = "this entry process owns no worker";
    admission->retry_after = this->parts->scheduler.RetryAfter(now);
    return false;
  }
  QueuedRequest queued;
  queued.request = entry->request.id;
  queued.service = entry->request.service;
  queued.team = entry->request.team;
  queued.arrived = entry->arrived;
  queued.place_by = entry->arrived + entry->terms.max_wait;
  *admission = this->parts->scheduler.Enqueue(now, this->parts->ledger,
                                              std::move(queued));
  // Only a check: it joins the queue once its record is durable.
  this->parts->scheduler.Cancel(entry->request.id);
  return !admission->refusal;
}

void DeferredFlow::OnAcceptTimeout(ActiveRequest* entry) {
  // The append was sent, and may take effect though no answer came: then this
  // process or an adopter runs the work. So "not run" would be a lie.
  this->parts->requests.AnswerUnknown(
      entry, Error::kJournalUnavailable,
      "it is not known whether the work was recorded; ask for its state");
}

void DeferredFlow::OnDurable(const JournalId& journal,
                             const AcceptedRecord& record) {
  if (this->parts->store.Find(record.request.id) == nullptr ||
      this->Get(record.request.id) != nullptr) {
    return;
  }
  DeferredWork work;
  work.request = record.request;
  work.journal = journal;
  work.accepted = this->parts->context.now;
  ++this->sizes[journal];
  DeferredWork* added =
      &this->works.emplace(record.request.id, std::move(work)).first->second;
  ActiveRequest* entry = this->parts->table.Find(record.request.id);
  if (entry != nullptr && entry->phase == RequestPhase::kJournalling) {
    this->parts->context.Emit(ReplyAccepted{record.request.id});
    this->parts->context.Record(RequestEvent(TimelineKind::kRequestQueued,
                                             record.request.id, "deferred"));
    if (entry->claimed) {
      this->parts->claims.SettleAccepted(entry->request);
    }
    this->parts->table.Remove(record.request.id);
  }
  this->Enqueue(added);
}

bool DeferredFlow::MayStart() const {
  return !this->parts->context.stopping && this->parts->journals.Healthy();
}

void DeferredFlow::Enqueue(DeferredWork* work) {
  const Instant now = this->parts->context.now;
  if (!this->MayStart()) {
    this->Park(work, kParkPause);
    return;
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, work->request.service);
  QueuedRequest queued;
  queued.request = work->request.id;
  queued.service = work->request.service;
  queued.team = work->request.team;
  queued.arrived = work->accepted;
  queued.place_by =
      work->accepted + kNeverGivenUp + (terms ? terms->max_wait : Duration{0});
  queued.attempt = work->last_attempt + 1;
  queued.avoid = work->avoid;
  const Admission admission = this->parts->scheduler.Enqueue(
      now, this->parts->ledger, std::move(queued), true);
  if (admission.refusal) {
    this->Park(work, kParkPause);
    return;
  }
  ++work->last_attempt;
  work->phase = DeferredPhase::kQueued;
  if (!work->avoid.empty()) {
    this->timers.Set(work->request.id, now + kAvoidTime);
  }
}

void DeferredFlow::Park(DeferredWork* work, Duration pause) {
  work->phase = DeferredPhase::kParked;
  this->timers.Set(work->request.id, this->parts->context.now + pause);
}

void DeferredFlow::OnPlaced(std::span<const Placement> placements) {
  DeferredWork* work = this->Get(placements.front().request);
  if (work == nullptr || work->phase != DeferredPhase::kQueued) {
    this->parts->Unplace(placements);
    return;
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, work->request.service);
  this->parts->SampleWait(terms ? terms->profile : ProfileId(), work->accepted);
  work->phase = DeferredPhase::kRecording;
  work->attempt = Attempt{};
  work->attempt.number = work->last_attempt;
  work->records_left = placements.size();
  for (const Placement& placement : placements) {
    const TaskPlan plan =
        this->parts->PlanTask(placement, work->request.service,
                              terms ? terms->max_run : Duration{0}, true);
    work->attempt.slots.push_back(
        {placement.task, placement.worker, SlotState::kPending, {}});
    StartedRecord record;
    record.request = work->request.id;
    record.task = placement.task;
    record.worker = placement.worker;
    record.epoch = plan.epoch;
    record.attempt = work->attempt.number;
    record.worker_incarnation = plan.worker_incarnation;
    this->parts->journals.Append(work->journal, std::move(record));
  }
  this->timers.Set(work->request.id,
                   this->parts->context.now + kRecordPatience);
}

void DeferredFlow::OnDurable(const JournalId& /*journal*/,
                             const StartedRecord& record) {
  DeferredWork* work = this->Get(record.request);
  const bool current = work != nullptr &&
                       work->phase == DeferredPhase::kRecording &&
                       work->attempt.number == record.attempt;
  if (!current || --work->records_left > 0) {
    return;
  }
  this->timers.Clear(record.request);
  this->SendTasks(work);
}

void DeferredFlow::SendTasks(DeferredWork* work) {
  work->phase = DeferredPhase::kRunning;
  const std::vector<AttemptSlot> slots = work->attempt.slots;
  for (const AttemptSlot& slot : slots) {
    this->parts->tasks.Send(slot.task, work->request.body,
                            kDetachedStartTimeout);
  }
}

void DeferredFlow::WithdrawRecording(DeferredWork* work) {
  for (const AttemptSlot& slot : work->attempt.slots) {
    this->parts->tasks.Withdraw(slot.task);
  }
  work->attempt = Attempt{};
}

void DeferredFlow::OnNews(const TaskNews& news) {
  DeferredWork* work = this->Get(news.request);
  if (work == nullptr || work->attempt.Find(news.task) == nullptr) {
    return;
  }
  this->parts->NoteHealth(news, work->request.service);
  this->UpdateSlot(work, news);
  if (work->phase == DeferredPhase::kRecording) {
    // A placement that is not sent yet has lost its worker.
    this->WithdrawRecording(work);
    this->timers.Clear(work->request.id);
    this->Requeue(work);
    return;
  }
  if (work->phase != DeferredPhase::kRunning) {
    return;
  }
  if (work->attempt.Settled()) {
    this->Settled(work);
    return;
  }
  if (work->attempt.AnyNeverStarted()) {
    this->StopTasks(work, false);
  }
}

void DeferredFlow::UpdateSlot(DeferredWork* work, const TaskNews& news) {
  AttemptSlot* slot = work->attempt.Find(news.task);
  switch (news.kind) {
    case TaskNews::Kind::kStarted:
      slot->state = SlotState::kRunning;
      return;
    case TaskNews::Kind::kUnclear:
      return;
    case TaskNews::Kind::kNeverStarted:
      slot->state = SlotState::kNeverStarted;
      slot->lease_lost = news.reason == Error::kStaleEpoch;
      return;
    case TaskNews::Kind::kEnded:
      slot->state = SlotState::kEnded;
      slot->ended = news.ended;
      return;
    case TaskNews::Kind::kLost:
      slot->state = SlotState::kLost;
      return;
  }
}

void DeferredFlow::StopTasks(DeferredWork* work, bool checkpoint) {
  if (work->attempt.stopping) {
    return;
  }
  work->attempt.stopping = true;
  const std::vector<AttemptSlot> slots = work->attempt.slots;
  for (const AttemptSlot& slot : slots) {
    const bool open =
        slot.state == SlotState::kPending || slot.state == SlotState::kRunning;
    if (open) {
      this->parts->tasks.Stop(slot.task, checkpoint);
    }
  }
  if (work->adopted) {
    this->parts->StopAtPeers(work->request.id);
  }
}

void DeferredFlow::Settled(DeferredWork* work) {
  const Attempt& attempt = work->attempt;
  if (!attempt.preempted) {
    this->parts->Avoid(&work->avoid, attempt.FailedWorkers());
  }
  work->may_have_run = work->may_have_run || attempt.MayHaveRun();
  const Verdict verdict = attempt.Judge();
  if (verdict == Verdict::kFinished) {
    this->End(work, DeferredState::kFinished, attempt.MergedAnswer());
    return;
  }
  if (work->cancel_wanted) {
    this->EndCancelled(work);
    return;
  }
  if (verdict == Verdict::kNeverStarted) {
    this->AfterRefusal(work);
    return;
  }
  work->refusals = 0;
  this->AfterFailure(work, verdict);
}

void DeferredFlow::AfterRefusal(DeferredWork* work) {
  // Each attempt costs a write at the platform, so a worker that refuses again
  // and again must not be tried at full speed.
  ++work->refusals;
  if (work->refusals <= kQuickRetries) {
    this->Requeue(work);
    return;
  }
  const Duration pause = kRetryPause * (work->refusals - kQuickRetries);
  this->Park(work, std::min<Duration>(pause, kLongestRetryPause));
}

void DeferredFlow::AfterFailure(DeferredWork* work, Verdict verdict) {
  const auto terms =
      TermsOf(this->parts->context.configuration, work->request.service);
  const bool idempotent = terms && terms->idempotent;
  const bool failed = verdict == Verdict::kFailed;
  if (!idempotent) {
    this->End(work, failed ? DeferredState::kFailed : DeferredState::kUnknown,
              failed ? work->attempt.MergedAnswer()
                     : UnknownEnd("the end of a task can not be learnt"));
    return;
  }
  const bool own_fault =
      failed || (verdict == Verdict::kStopped && !work->attempt.stopping);
  if (own_fault) {
    ++work->failures;
  }
  const bool at_fault = this->parts->health.TaskAtFault(work->request.id);
  if (at_fault || work->failures >= terms->max_attempts) {
    Answer answer = failed ? work->attempt.MergedAnswer()
                           : UnknownEnd("the task was stopped each time");
    answer.error = Error::kTaskFailed;
    this->End(work, DeferredState::kFailed, std::move(answer));
    return;
  }
  if (own_fault) {
    this->Park(work, kRetryPause);
    return;
  }
  this->Requeue(work);
}

void DeferredFlow::Requeue(DeferredWork* work) {
  if (work->cancel_wanted) {
    this->EndCancelled(work);
    return;
  }
  work->adopted = false;
  this->Enqueue(work);
}

void DeferredFlow::End(DeferredWork* work, DeferredState state, Answer answer) {
  work->phase = DeferredPhase::kEnding;
  this->timers.Clear(work->request.id);
  FinishedRecord record;
  record.request = work->request.id;
  record.state = state;
  record.answer = std::move(answer);
  this->parts->journals.Append(work->journal,
                               this->parts->Bounded(std::move(record)));
}

void DeferredFlow::EndCancelled(DeferredWork* work) {
  work->phase = DeferredPhase::kEnding;
  this->timers.Clear(work->request.id);
  this->parts->journals.Append(
      work->journal, CancelledRecord{work->request.id, work->may_have_run});
}

void DeferredFlow::OnDurable(const JournalId& /*journal*/,
                             const FinishedRecord& record) {
  this->Remove(record.request);
}

void DeferredFlow::OnDurable(const JournalId& /*journal*/,
                             const CancelledRecord& record) {
  this->Remove(record.request);
}

void DeferredFlow::Remove(const RequestId& request) {
  DeferredWork* work = this->Get(request);
  if (work == nullptr) {
    return;
  }
  const RequestId id = request;
  this->AnswerCancelQueries(work);
  this->parts->context.Record(
      RequestEvent(TimelineKind::kRequestAnswered, id, "deferred"));
  this->parts->health.Forget(id);
  this->timers.Clear(id);
  --this->sizes[work->journal];
  this->works.erase(id);
}

void DeferredFlow::AnswerCancelQueries(DeferredWork* work) {
  for (const std::uint64_t query : std::exchange(work->cancel_queries, {})) {
    this->parts->queries.AnswerFromStore(query, work->request.id);
  }
}

bool DeferredFlow::Cancel(const RequestId& request, std::uint64_t query) {
  DeferredWork* work = this->Get(request);
  if (work == nullptr) {
    return false;
  }
  work->cancel_queries.push_back(query);
  if (work->cancel_wanted) {
    return true;
  }
  work->cancel_wanted = true;
  switch (work->phase) {
    case DeferredPhase::kParked:
    case DeferredPhase::kQueued:
      this->parts->scheduler.Cancel(request);
      this->EndCancelled(work);
      break;
    case DeferredPhase::kRecording:
      this->WithdrawRecording(work);
      this->EndCancelled(work);
      break;
    case DeferredPhase::kRunning:
      this->StopTasks(work, false);
      break;
    case DeferredPhase::kEnding:
      break;
  }
  return true;
}

void DeferredFlow::ForgetCancelQuery(const RequestId& request,
                                     std::uint64_t query) {
  DeferredWork* work = this->Get(request);
  if (work != nullptr) {
    std::erase(work->cancel_queries, query);
  }
}

void DeferredFlow::OnPreempted(const Preemption& preemption) {
  DeferredWork* work = this->Get(preemption.request);
  if (work == nullptr || work->attempt.Find(preemption.task) == nullptr) {
    return;
  }
  if (work->phase == DeferredPhase::kRecording) {
    this->WithdrawRecording(work);
    this->timers.Clear(work->request.id);
    this->Park(work, kRetryPause);
    return;
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, work->request.service);
  // A task that may run only once can't be stopped half way.
  if (work->phase != DeferredPhase::kRunning || !terms || !terms->idempotent) {
    return;
  }
  work->attempt.preempted = true;
  this->StopTasks(work, true);
}

void DeferredFlow::OnGivenUp(const RequestId& request) {
  DeferredWork* work = this->Get(request);
  if (work != nullptr && work->phase == DeferredPhase::kQueued) {
    this->Park(work, kParkPause);
  }
}

void DeferredFlow::OnFenced(const JournalId& journal) {
  std::vector<RequestId> gone;
  for (const auto& [request, work] : this->works) {
    if (work.journal == journal) {
      gone.push_back(request);
    }
  }
  for (const RequestId& request : gone) {
    DeferredWork* work = this->Get(request);
    this->parts->scheduler.Cancel(request);
    for (const AttemptSlot& slot : work->attempt.slots) {
      this->parts->tasks.Disown(slot.task);
    }
    for (const std::uint64_t query : std::exchange(work->cancel_queries, {})) {
      this->parts->context.Emit(AnswerQuery{query, std::nullopt});
    }
    this->timers.Clear(request);
    this->works.erase(request);
  }
  this->sizes.erase(journal);
}

void DeferredFlow::Resume(const DeferredEntry& entry) {
  if (this->Get(entry.request.id) != nullptr) {
    return;
  }
  DeferredWork work;
  work.request = entry.request;
  work.journal = entry.journal;
  work.accepted = this->parts->context.now;
  work.last_attempt = entry.attempt;
  // Earlier attempts are not told apart in the journal.
  work.may_have_run = entry.attempt > 1;
  ++this->sizes[entry.journal];
  DeferredWork* added =
      &this->works.emplace(entry.request.id, std::move(work)).first->second;
  this->parts->claims.SettleAccepted(entry.request);
  if (entry.started.empty()) {
    this->Enqueue(added);
    return;
  }
  added->phase = DeferredPhase::kRunning;
  added->adopted = true;
  added->attempt.number = entry.attempt;
  for (const StartedRecord& started : entry.started) {
    added->attempt.slots.push_back(
        {started.task, started.worker, SlotState::kPending, {}});
  }
  for (const StartedRecord& started : entry.started) {
    this->parts->WatchTask(started, entry.request);
  }
  const auto terms =
      TermsOf(this->parts->context.configuration, entry.request.service);
  // Records of one gang may lie in two batches: then the rest was never sent,
  // since every record is durable before the first start.
  const auto expected = terms ? terms->tasks : 1;
  if (std::ssize(entry.started) < expected) {
    added->attempt.slots.push_back(
        {TaskId(), WorkerId(), SlotState::kNeverStarted, {}});
  }
}

bool DeferredFlow::Quiet() const {
  return std::ranges::none_of(this->works, [](const auto& entry) {
    const DeferredPhase phase = entry.second.phase;
    return phase == DeferredPhase::kRecording ||
           phase == DeferredPhase::kQueued;
  });
}

bool DeferredFlow::AnyWaiting() const {
  return std::ranges::any_of(this->works, [](const auto& entry) {
    const DeferredPhase phase = entry.second.phase;
    return phase == DeferredPhase::kParked || phase == DeferredPhase::kQueued;
  });
}

void DeferredFlow::ParkAll() {
  for (auto& [request, work] : this->works) {
    if (work.phase == DeferredPhase::kQueued) {
      this->parts->scheduler.Cancel(request);
      this->Park(&work, kParkPause);
    } else if (work.phase == DeferredPhase::kRecording) {
      this->WithdrawRecording(&work);
      this->Park(&work, kParkPause);
    }
  }
}

void DeferredFlow::QueueParked() {
  for (auto& [request, work] : this->works) {
    if (work.phase == DeferredPhase::kParked) {
      this->timers.Clear(request);
      this->Enqueue(&work);
    }
  }
}

void DeferredFlow::Tick() {
  for (const RequestId& request :
       this->timers.TakeDue(this->parts->context.now)) {
    DeferredWork* work = this->Get(request);
    if (work == nullptr) {
      continue;
    }
    if (work->phase == DeferredPhase::kRecording) {
      // The platform is slow or away: the room is worth more to work that can
      // start now.
      this->WithdrawRecording(work);
      this->Park(work, kParkPause);
    } else if (work->phase == DeferredPhase::kParked) {
      this->Enqueue(work);
    } else if (work->phase == DeferredPhase::kQueued) {
      // The workers that it keeps away from may be the only ones left.
      this->parts->scheduler.Cancel(request);
      work->avoid.clear();
      this->Enqueue(work);
    }
  }
}

}  // namespace mustardproxy::detail
