#include <algorithm>
#include <utility>

#include "lifecycle/deferred_flow.h"
#include "lifecycle/parts.h"
#include "mustardproxy/core/error.h"

// Handling of settled attempts at deferred work, and its end.
namespace mustardproxy::detail {

namespace {

/// Delay after a failed attempt.
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
/// Consecutive refused starts that are retried without a delay.
constexpr std::int32_t kImmediateRetries = 2;
constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);
constexpr std::int32_t kBadGatewayStatus = 502;
/// Number of workers lost while running the work at which it fails.
constexpr std::int32_t kMaxLosses = 5;

Answer UnknownEnd(std::string text) {
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.status = kBadGatewayStatus;
  answer.error = Error::kWorkerLost;
  answer.detail = std::move(text);
  return answer;
}

}  // namespace

void DeferredFlow::Settled(DeferredWork* work) {
  const Attempt& attempt = work->attempt;
  if (!attempt.preempted) {
    this->parts->placing.Avoid(&work->avoid, attempt.FailedWorkers());
  }
  work->may_have_run = work->may_have_run || attempt.MayHaveRun();
  const AttemptResult result = attempt.Evaluate();
  if (result == AttemptResult::kFinished) {
    this->End(work, DeferredState::kFinished, attempt.MergedAnswer());
    return;
  }
  if (work->cancel_wanted) {
    this->EndCancelled(work);
    return;
  }
  if (result == AttemptResult::kNeverStarted) {
    this->HandleRefusal(work);
    return;
  }
  work->refusals = 0;
  this->HandleFailure(work, result);
}

void DeferredFlow::HandleRefusal(DeferredWork* work) {
  // Each attempt costs a write to the platform, so starts that are refused
  // repeatedly are retried with an increasing delay.
  ++work->refusals;
  if (work->refusals <= kImmediateRetries) {
    this->Requeue(work);
    return;
  }
  const Duration delay = kRetryDelay * (work->refusals - kImmediateRetries);
  this->Park(work, std::min<Duration>(delay, kMaxRetryDelay));
}

void DeferredFlow::HandleFailure(DeferredWork* work, AttemptResult result) {
  const auto terms =
      TermsOf(this->parts->context.configuration, work->request.service);
  const bool idempotent = terms && terms->idempotent;
  const bool failed = result == AttemptResult::kFailed;
  if (!idempotent) {
    this->End(work, failed ? DeferredState::kFailed : DeferredState::kUnknown,
              failed ? work->attempt.MergedAnswer()
                     : UnknownEnd("the result of a task is unknown"));
    return;
  }
  const bool own_fault =
      failed || (result == AttemptResult::kStopped && !work->attempt.stopping);
  if (own_fault) {
    ++work->failures;
  }
  const bool at_fault = this->parts->health.RequestAtFault(work->request.id);
  if (at_fault || work->failures >= terms->max_attempts) {
    Answer answer = failed
                        ? work->attempt.MergedAnswer()
                        : UnknownEnd("the task was stopped in every attempt");
    answer.error = Error::kTaskFailed;
    this->End(work, DeferredState::kFailed, std::move(answer));
    return;
  }
  if (own_fault) {
    this->Park(work, kRetryDelay);
    return;
  }
  if (result == AttemptResult::kLost && ++work->losses >= kMaxLosses) {
    this->End(work, DeferredState::kFailed,
              UnknownEnd("every worker that ran the task was lost"));
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
                               this->parts->TruncateToFit(std::move(record)));
}

void DeferredFlow::EndCancelled(DeferredWork* work) {
  work->phase = DeferredPhase::kEnding;
  this->timers.Clear(work->request.id);
  this->parts->journals.Append(
      work->journal, CancelledRecord{work->request.id, work->may_have_run});
}

void DeferredFlow::Remove(const RequestId& request) {
  auto removed = this->works.extract(request);
  if (removed.empty()) {
    return;
  }
  const RequestId& id = removed.key();
  this->AnswerCancelQueries(&removed.mapped());
  this->parts->context.Record(
      RequestEvent(TimelineKind::kRequestAnswered, id, "deferred"));
  this->parts->health.Forget(id);
  this->timers.Clear(id);
  --this->sizes[removed.mapped().journal];
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

void DeferredFlow::OnDurable(const JournalId& /*journal*/,
                             const FinishedRecord& record) {
  this->Remove(record.request);
}

void DeferredFlow::OnDurable(const JournalId& /*journal*/,
                             const CancelledRecord& record) {
  this->Remove(record.request);
}

}  // namespace mustardproxy::detail
