#include <algorithm>
#include <utility>

#include "lifecycle/parts.h"
#include "lifecycle/request_flow.h"

// Task updates of a request's attempts, and the decision to retry.
namespace mustardproxy::detail {
namespace {

constexpr std::int32_t kBadGatewayStatus = 502;
/// Maximum number of attempts and forwards of one request; after that it is not
/// retried.
constexpr std::int32_t kMaxStarts = 10;

}  // namespace

void RequestFlow::OnTaskUpdate(const TaskUpdate& update) {
  ActiveRequest* entry = this->parts->table.Find(update.request);
  if (entry == nullptr) {
    this->parts->SettleLateAnswer(update);
    return;
  }
  AttemptSlot* slot = entry->attempt.Find(update.task);
  if (slot == nullptr) {
    return;
  }
  this->parts->placing.RecordHealth(update, entry->request.service);
  switch (update.kind) {
    case TaskUpdate::Kind::kStarted:
      slot->state = SlotState::kRunning;
      return;
    case TaskUpdate::Kind::kUncertain:
      this->OnUncertain(entry, update);
      return;
    case TaskUpdate::Kind::kNeverStarted:
      slot->state = SlotState::kNeverStarted;
      slot->lease_lost = update.reason == Error::kStaleEpoch;
      break;
    case TaskUpdate::Kind::kEnded:
      slot->state = SlotState::kEnded;
      slot->ended = update.ended;
      break;
    case TaskUpdate::Kind::kLost:
      slot->state = SlotState::kLost;
      break;
  }
  if (entry->attempt.Settled()) {
    this->Settled(entry);
    return;
  }
  // A gang that has lost a task is incomplete; its other tasks must not run on.
  if (entry->attempt.CanNotComplete()) {
    this->StopTasks(entry);
  }
}

void RequestFlow::OnUncertain(ActiveRequest* entry, const TaskUpdate& update) {
  entry->may_have_run = true;
  // A non-idempotent request can't be started again, whatever its worker
  // reports later, so it is answered now instead of at its deadline.
  if (!entry->terms.idempotent) {
    this->parts->answers.AnswerUnknown(
        entry, Error::kAnswerIncomplete,
        "the answer of worker " + update.worker.Text() + " was lost");
  }
}

void RequestFlow::StopTasks(ActiveRequest* entry) {
  if (entry->attempt.stopping) {
    return;
  }
  entry->attempt.stopping = true;
  for (const AttemptSlot& slot : entry->attempt.slots) {
    const bool open =
        slot.state == SlotState::kPending || slot.state == SlotState::kRunning;
    if (open) {
      this->parts->tasks.Stop(slot.task, false);
    }
  }
}

void RequestFlow::Settled(ActiveRequest* entry) {
  Attempt& attempt = entry->attempt;
  const bool ran = attempt.MayHaveRun();
  if (ran) {
    entry->may_have_run = true;
    ++entry->runs;
  }
  if (!attempt.preempted) {
    this->parts->placing.Avoid(&entry->avoid, attempt.FailedWorkers());
  }
  const AttemptResult result = attempt.Evaluate();
  if (result == AttemptResult::kFinished) {
    this->parts->answers.Finish(entry, attempt.MergedAnswer());
    return;
  }
  if (!entry->recalls.empty()) {
    this->parts->answers.AnswerRecalls(entry, entry->may_have_run,
                                       DeferredState::kCancelled);
    Answer cancelled;
    cancelled.error = Error::kCancelled;
    this->parts->answers.Finish(entry, std::move(cancelled));
    return;
  }
  Answer last;
  last.status = kUnavailableStatus;
  last.error = Error::kNoWorker;
  last.detail = "no worker accepted the task";
  if (result == AttemptResult::kNeverStarted) {
    this->Retry(entry, std::move(last));
    return;
  }
  this->HandleFailure(entry);
}

void RequestFlow::HandleFailure(ActiveRequest* entry) {
  const Attempt& attempt = entry->attempt;
  const AttemptResult result = attempt.Evaluate();
  Answer last;
  last.outcome = Outcome::kUnknown;
  last.status = kBadGatewayStatus;
  last.error =
      result == AttemptResult::kLost ? Error::kWorkerLost : Error::kTaskFailed;
  last.detail = result == AttemptResult::kLost
                    ? "a worker was lost while it ran the task"
                    : "a task was stopped before it ended";
  if (result == AttemptResult::kFailed) {
    last = attempt.MergedAnswer();
    entry->last_failure = last;
  }
  const RequestId& id = entry->request.id;
  const bool at_fault = this->parts->health.RequestAtFault(id);
  const bool again =
      entry->terms.idempotent && !at_fault && !entry->caller_gone &&
      (attempt.preempted || entry->runs < entry->terms.max_attempts);
  if (!again) {
    if (at_fault) {
      last.error = Error::kTaskFailed;
      last.detail = "the task failed on several healthy workers";
    }
    this->parts->answers.Finish(entry, std::move(last));
    return;
  }
  this->Retry(entry, std::move(last));
}

void RequestFlow::Retry(ActiveRequest* entry, Answer last) {
  const Instant now = this->parts->context.now;
  const std::int32_t starts =
      entry->last_attempt % kAttemptsPerProcess + entry->forwards;
  if (entry->runs > 0) {
    // The limit on the time in the queue applies to each attempt that ran, the
    // caller's timeout to all of them.
    entry->placement_deadline =
        std::min(entry->deadline, now + entry->terms.max_wait);
  }
  const bool may = this->TimeLeft(*entry) && !entry->caller_gone &&
                   starts < kMaxStarts && this->MayRetry(*entry);
  if (!may) {
    if (last.outcome == Outcome::kNotRun && last.retry_after == Duration{0}) {
      last.retry_after = this->parts->scheduler.RetryAfter(now);
    }
    this->parts->answers.Finish(entry, std::move(last));
    return;
  }
  this->Place(entry);
}

bool RequestFlow::MayRetry(const ActiveRequest& entry) {
  // A start that was never sent does not count against the retry budget.
  const bool free = entry.phase == RequestPhase::kRunning &&
                    entry.attempt.Evaluate() == AttemptResult::kNeverStarted &&
                    entry.attempt.LeaseLost();
  return free || this->parts->retry_budget.TryRetry(this->parts->context.now);
}

bool RequestFlow::TimeLeft(const ActiveRequest& entry) const {
  return this->parts->context.now < entry.placement_deadline;
}

void RequestFlow::OnPreempted(const Preemption& preemption) {
  ActiveRequest* entry = this->parts->table.Find(preemption.request);
  if (entry == nullptr || !entry->terms.idempotent ||
      entry->attempt.Find(preemption.task) == nullptr) {
    return;
  }
  entry->attempt.preempted = true;
  this->StopTasks(entry);
}

}  // namespace mustardproxy::detail
