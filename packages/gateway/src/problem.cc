#include "problem.h"

#include <Poco/JSON/Object.h>

#include <algorithm>
#include <sstream>

#include "header_names.h"

namespace mustardproxy::gateway_detail {
namespace {

constexpr std::int32_t kLowestFinalStatus = 200;
constexpr std::int32_t kLowestErrorStatus = 400;
constexpr std::int32_t kHighestStatus = 599;
constexpr std::int32_t kBadGateway = 502;
constexpr std::int32_t kUnavailable = 503;
constexpr std::size_t kMaxContentType = 256;
constexpr std::string_view kAnyContentType = "application/octet-stream";

/// An upstream's content type with a line break in it would add headers of the
/// upstream's choice to our answer.
std::string CleanContentType(const std::string& content_type) {
  bool printable = std::all_of(content_type.begin(), content_type.end(),
                               [](char c) { return c >= ' ' && c <= '~'; });
  bool usable = printable && content_type.size() <= kMaxContentType;
  return usable ? content_type : std::string(kAnyContentType);
}

void AddIdentity(const RequestId& request, std::optional<Outcome> outcome,
                 http::HttpAnswer* answer) {
  if (!request.Empty()) {
    answer->headers.push_back({std::string(kRequestIdHeader), request.Text()});
  }
  if (!outcome) return;
  answer->headers.push_back(
      {std::string(kOutcomeHeader), std::string(Name(*outcome))});
}

}  // namespace

std::string_view Name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

http::HttpAnswer ProblemAnswer(const Problem& problem) {
  Poco::JSON::Object document(Poco::JSON_PRESERVE_KEY_ORDER);
  int code = problem.error.value();
  document.set("type", "urn:mustardproxy:error:" + std::to_string(code));
  document.set("title", problem.error.message());
  document.set("status", problem.status);
  document.set("detail", problem.detail);
  document.set("code", code);
  document.set("request_id", problem.request.Text());
  std::ostringstream text;
  document.stringify(text);
  http::HttpAnswer answer = http::TextAnswer(
      problem.status, "application/problem+json", std::move(text).str());
  AddIdentity(problem.request, problem.outcome, &answer);
  http::AddRetryAfter(problem.retry_after, &answer);
  return answer;
}

http::HttpAnswer FinalAnswer(const RequestId& request, const Answer& answer) {
  if (answer.outcome != Outcome::kCompleted) {
    bool is_error =
        answer.status >= kLowestErrorStatus && answer.status <= kHighestStatus;
    return ProblemAnswer({.status = is_error ? answer.status : kUnavailable,
                          .error = answer.error,
                          .detail = answer.detail,
                          .request = request,
                          .outcome = answer.outcome,
                          .retry_after = answer.retry_after});
  }
  bool is_final =
      answer.status >= kLowestFinalStatus && answer.status <= kHighestStatus;
  http::HttpAnswer result;
  result.status = is_final ? answer.status : kBadGateway;
  result.content_type = CleanContentType(answer.content_type);
  result.body = answer.body;
  AddIdentity(request, Outcome::kCompleted, &result);
  return result;
}

}  // namespace mustardproxy::gateway_detail
