#include "deferred_answer.h"

#include <Poco/JSON/Object.h>

#include <sstream>
#include <string>

#include "header_names.h"
#include "mustardproxy/core/error.h"
#include "problem.h"

namespace mustardproxy::gateway_detail {
namespace {

constexpr std::int32_t kOk = 200;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kConflict = 409;
constexpr std::int32_t kGone = 410;
constexpr std::int32_t kUnavailable = 503;

std::string_view Name(DeferredState state) {
  switch (state) {
    case DeferredState::kQueued:
      return "queued";
    case DeferredState::kRunning:
      return "running";
    case DeferredState::kFinished:
      return "finished";
    case DeferredState::kFailed:
      return "failed";
    case DeferredState::kCancelled:
      return "cancelled";
    case DeferredState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

http::HttpAnswer NoResultYet(const RequestId& request,
                             const DeferredStatus& status) {
  return ProblemAnswer(
      {.status = kConflict,
       .error = Error::kKeyInProgress,
       .detail = "The request is " + std::string(Name(status.state)) + ".",
       .request = request,
       .retry_after = kDefaultRetryAfter});
}

http::HttpAnswer CancelledAnswer(const RequestId& request,
                                 const DeferredStatus& status) {
  return ProblemAnswer(
      {.status = kGone,
       .error = Error::kCancelled,
       .detail = status.detail,
       .request = request,
       .outcome = status.ran ? Outcome::kUnknown : Outcome::kNotRun});
}

http::HttpAnswer UnknownAnswer(const RequestId& request,
                               const DeferredStatus& status) {
  std::error_code error = status.result.error;
  if (!error) error = Error::kWorkerLost;
  return ProblemAnswer({.status = kConflict,
                        .error = error,
                        .detail = status.detail,
                        .request = request,
                        .outcome = Outcome::kUnknown});
}

}  // namespace

std::optional<http::HttpAnswer> Unanswered(
    const RequestId& request, const std::optional<DeferredStatus>& status) {
  if (!status) {
    return ProblemAnswer({.status = kNotFound,
                          .error = Error::kUnknownRequest,
                          .detail = "The cell does not know this request.",
                          .request = request});
  }
  if (status->result.error == Error::kTooManyConnections) {
    return ProblemAnswer({.status = kUnavailable,
                          .error = Error::kTooManyConnections,
                          .detail = status->detail,
                          .request = request,
                          .retry_after = kDefaultRetryAfter});
  }
  return std::nullopt;
}

http::HttpAnswer StateAnswer(const RequestId& request,
                             const DeferredStatus& status, bool with_ran) {
  Poco::JSON::Object document(Poco::JSON_PRESERVE_KEY_ORDER);
  document.set("id", request.Text());
  document.set("state", std::string(Name(status.state)));
  if (!status.detail.empty()) document.set("detail", status.detail);
  if (with_ran) document.set("ran", status.ran);
  std::ostringstream text;
  document.stringify(text);
  http::HttpAnswer answer =
      http::TextAnswer(kOk, "application/json", std::move(text).str());
  answer.headers.push_back({std::string(kRequestIdHeader), request.Text()});
  return answer;
}

http::HttpAnswer ResultAnswer(const RequestId& request,
                              const DeferredStatus& status) {
  if (status.result.error == Error::kResultExpired) {
    return ProblemAnswer({.status = kGone,
                          .error = Error::kResultExpired,
                          .detail = status.detail,
                          .request = request});
  }
  switch (status.state) {
    case DeferredState::kQueued:
    case DeferredState::kRunning:
      return NoResultYet(request, status);
    case DeferredState::kCancelled:
      return CancelledAnswer(request, status);
    case DeferredState::kUnknown:
      return UnknownAnswer(request, status);
    case DeferredState::kFinished:
    case DeferredState::kFailed:
      break;
  }
  return FinalAnswer(request, status.result);
}

}  // namespace mustardproxy::gateway_detail
