#include "lifecycle/request_answers.h"

#include <utility>

#include "lifecycle/parts.h"

namespace mustardproxy::detail {

namespace {

constexpr std::int32_t kBadRequestStatus = 400;
constexpr std::int32_t kNotFoundStatus = 404;
constexpr std::int32_t kUnprocessableStatus = 422;
constexpr std::int32_t kBadGatewayStatus = 502;
constexpr std::int32_t kGatewayTimeoutStatus = 504;

std::int32_t StatusOf(std::error_code error) {
  if (error == Error::kUnknownService) {
    return kNotFoundStatus;
  }
  if (error == Error::kUnknownTeam) {
    return kBadRequestStatus;
  }
  const bool never =
      error == Error::kNeverFits || error == Error::kGangImpossible;
  return never ? kUnprocessableStatus : kUnavailableStatus;
}

}  // namespace

void RequestAnswers::RefuseArrival(const Request& request,
                                   std::error_code error, std::string text) {
  const std::int32_t status = StatusOf(error);
  Answer answer;
  answer.status = status;
  answer.error = error;
  answer.detail = std::move(text);
  if (status == kUnavailableStatus) {
    answer.retry_after =
        this->parts->scheduler.RetryAfter(this->parts->context.now);
  }
  this->parts->context.Record(
      RequestEvent(TimelineKind::kRequestRefused, request.id, answer.detail));
  this->parts->context.Emit(Reply{request.id, std::move(answer)});
}

void RequestAnswers::AnswerRecalls(ActiveRequest* entry, bool ran,
                                   DeferredState state) {
  for (const std::uint64_t query : std::exchange(entry->recalls, {})) {
    DeferredStatus status;
    status.id = entry->request.id;
    status.state = state;
    status.ran = ran;
    this->parts->context.Emit(AnswerQuery{query, std::move(status)});
  }
}

void RequestAnswers::Refuse(ActiveRequest* entry, std::error_code error,
                            std::int32_t status, std::string text,
                            Duration retry_after) {
  Answer answer;
  answer.status = status;
  answer.error = error;
  answer.detail = std::move(text);
  answer.retry_after = retry_after;
  if (status == kUnavailableStatus && retry_after == Duration{0}) {
    answer.retry_after =
        this->parts->scheduler.RetryAfter(this->parts->context.now);
  }
  this->Finish(entry, std::move(answer));
}

void RequestAnswers::RefuseAdmission(ActiveRequest* entry,
                                     const Admission& admission) {
  this->Refuse(entry, admission.refusal, StatusOf(admission.refusal),
               admission.detail, admission.retry_after);
}

void RequestAnswers::AnswerUnknown(ActiveRequest* entry, std::error_code error,
                                   std::string text) {
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.status = error == Error::kDeadlineExceeded ? kGatewayTimeoutStatus
                                                    : kBadGatewayStatus;
  answer.error = error;
  answer.detail = std::move(text);
  this->Finish(entry, std::move(answer));
}

void RequestAnswers::Finish(ActiveRequest* entry, Answer answer) {
  // "Not run" must hold for all attempts, not only for the last one.
  if (answer.outcome == Outcome::kNotRun && entry->may_have_run) {
    if (entry->last_failure) {
      answer = *entry->last_failure;
    } else {
      answer.outcome = Outcome::kUnknown;
      answer.status = kBadGatewayStatus;
      answer.retry_after = Duration{0};
    }
  }
  if (entry->claimed) {
    this->parts->claims.Settle(*entry, answer);
  }
  const bool refused = answer.outcome == Outcome::kNotRun;
  const RequestId id = entry->request.id;
  this->parts->context.Record(RequestEvent(
      refused ? TimelineKind::kRequestRefused : TimelineKind::kRequestAnswered,
      id, answer.detail));
  this->AnswerRecalls(entry, answer.outcome != Outcome::kNotRun,
                      DeferredState::kUnknown);
  this->parts->health.Forget(id);
  this->parts->table.Remove(id);
  this->parts->context.Emit(Reply{id, std::move(answer)});
}

}  // namespace mustardproxy::detail
