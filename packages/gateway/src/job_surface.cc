#include "mustardproxy/gateway/job_surface.h"

#include <Poco/Net/HTTPResponse.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "header_check.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/jobs/job_json.h"
#include "problem.h"

namespace mustardproxy {
namespace {

using Status = Poco::Net::HTTPResponse;

using gateway_detail::kDefaultRetryAfter;
using gateway_detail::ProblemAnswer;
using jobs::SubmitOutcome;

constexpr std::string_view kPath = "/v1/jobs/";
constexpr std::string_view kJsonType = "application/json";
/// Longest wait that a caller may ask for, and that of one that does not ask.
constexpr Duration kMaxTimeout = std::chrono::seconds(60);

http::HttpAnswer JsonAnswer(const nlohmann::json& body) {
  return http::TextAnswer(Status::HTTP_OK, std::string(kJsonType), body.dump());
}

http::HttpAnswer AnswerError(std::error_code error, Duration retry_after) {
  const bool unknown = error == Error::kUnknownQueue ||
                       error == Error::kUnknownRequest ||
                       error == Error::kUnknownJob;
  if (unknown) {
    const bool job = error != Error::kUnknownQueue;
    return ProblemAnswer({.status = Status::HTTP_NOT_FOUND,
                          .error = job ? Error::kUnknownJob : error});
  }
  const bool late = error == Error::kDeadlineExceeded;
  return ProblemAnswer({.status = late ? Status::HTTP_GATEWAY_TIMEOUT
                                       : Status::HTTP_SERVICE_UNAVAILABLE,
                        .error = error,
                        .retry_after = retry_after});
}

http::HttpAnswer AnswerStatus(const jobs::JobId& id,
                              const jobs::JobStatus& status) {
  nlohmann::json body = {{"id", id.Text()}, {"state", Name(status.state)}};
  if (!status.cause.empty()) body["cause"] = status.cause;
  return JsonAnswer(body);
}

http::HttpAnswer AnswerSubmit(const jobs::JobId& id,
                              const jobs::SubmitResult& result) {
  switch (result.end) {
    case SubmitOutcome::kAccepted:
      return JsonAnswer({{"id", id.Text()}});
    case SubmitOutcome::kNoSuchJob:
      return AnswerError(Error::kUnknownJob, Duration::zero());
    case SubmitOutcome::kNotAccepted:
      return ProblemAnswer({.status = Status::HTTP_SERVICE_UNAVAILABLE,
                            .error = result.reason,
                            .detail = result.detail,
                            .outcome = Outcome::kNotRun,
                            .retry_after = result.retry_after});
    case SubmitOutcome::kUnknown:
      break;
  }
  return ProblemAnswer({.status = Status::HTTP_GATEWAY_TIMEOUT,
                        .error = result.reason,
                        .outcome = Outcome::kUnknown,
                        .retry_after = kDefaultRetryAfter});
}

}  // namespace

std::optional<http::HttpAnswer> JobSurface::Handle(const http::HttpCall& call) {
  if (!call.path.starts_with(kPath)) return this->other->Handle(call);
  const std::string_view rest = call.path.substr(kPath.size());
  const std::size_t slash = rest.find('/');
  const std::string_view id =
      slash == std::string_view::npos ? "" : rest.substr(slash + 1);
  return this->Serve(call, rest.substr(0, slash), id);
}

http::HttpAnswer JobSurface::Serve(const http::HttpCall& call,
                                   std::string_view queue_name,
                                   std::string_view id_text) {
  gateway_detail::CallerHeaders headers;
  const std::string fault =
      gateway_detail::CheckHeaders(*call.header, kMaxTimeout, &headers);
  if (!fault.empty()) {
    return ProblemAnswer({.status = Status::HTTP_BAD_REQUEST,
                          .error = Error::kHeaderInvalid,
                          .detail = fault});
  }
  const jobs::QueueName name(queue_name);
  const Result<jobs::Admission> admission = this->gate.AdmitCall(
      [name](const jobs::DesiredState& desired) {
        return desired.FindQueue(name);
      },
      {.key = {}, .from_operator = true}, headers.timeout);
  if (!admission) return AnswerError(admission.error(), kDefaultRetryAfter);
  if (id_text.empty() && call.method == http::Method::kGet) {
    const auto pending = this->gate.Pending(name, headers.timeout);
    if (!pending) return AnswerError(pending.error(), kDefaultRetryAfter);
    return JsonAnswer({{"pending", pending.value()}});
  }
  if (!gateway_detail::IsRequestId(id_text)) {
    return ProblemAnswer({.status = Status::HTTP_BAD_REQUEST,
                          .error = Error::kJobInvalid,
                          .detail = "the id is missing or malformed"});
  }
  const jobs::JobId id(id_text);
  if (call.method == http::Method::kPost) {
    return this->Submit(call, admission.value(), id, headers.timeout);
  }
  if (call.method == http::Method::kDelete) {
    return AnswerSubmit(
        id, this->gate.Cancel(admission.value(), id, headers.timeout));
  }
  if (call.method != http::Method::kGet) {
    return ProblemAnswer({.status = Status::HTTP_METHOD_NOT_ALLOWED,
                          .error = Error::kHeaderInvalid});
  }
  const auto status = this->gate.State(admission.value(), id, headers.timeout);
  if (!status) return AnswerError(status.error(), kDefaultRetryAfter);
  return AnswerStatus(id, status.value());
}

http::HttpAnswer JobSurface::Submit(const http::HttpCall& call,
                                    const jobs::Admission& admission,
                                    const jobs::JobId& id, Duration timeout) {
  auto parsed = jobs::ParseJobJson(View(call.body), {});
  if (const auto* problem = std::get_if<jobs::SpecProblem>(&parsed)) {
    return ProblemAnswer({.status = Status::HTTP_BAD_REQUEST,
                          .error = Error::kJobInvalid,
                          .detail = problem->field + ": " + problem->reason,
                          .outcome = Outcome::kNotRun});
  }
  return AnswerSubmit(
      id,
      this->gate.Submit(admission, id,
                        std::move(std::get<jobs::JobSpec>(parsed)), timeout));
}

http::HttpAnswer JobSurface::Refuse(std::int32_t status, std::error_code error,
                                    std::string detail) {
  return this->other->Refuse(status, error, std::move(detail));
}

}  // namespace mustardproxy
