#include "operator_surface.h"

#include <charconv>
#include <utility>

#include "mustardproxy/core/error.h"
#include "problem.h"

namespace mustardproxy::gateway_detail {
namespace {

constexpr std::int32_t kOk = 200;
constexpr std::int32_t kBadRequest = 400;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kMethodNotAllowed = 405;
constexpr std::int32_t kUnavailable = 503;
constexpr std::string_view kPlainText = "text/plain; charset=utf-8";
constexpr std::string_view kMetricsText = "text/plain; version=0.0.4";
constexpr std::string_view kJson = "application/json";
constexpr std::string_view kAfter = "after=";

http::HttpAnswer NoSuchPath() {
  return ProblemAnswer({.status = kNotFound,
                        .error = Error::kUnknownRequest,
                        .detail = "Nothing is served under this path."});
}

http::HttpAnswer OnlyGet() {
  http::HttpAnswer answer =
      ProblemAnswer({.status = kMethodNotAllowed,
                     .error = Error::kHeaderInvalid,
                     .detail = "Only GET is allowed here."});
  answer.headers.push_back({"Allow", "GET"});
  return answer;
}

bool IsKnown(std::string_view path) {
  return path == "/healthz" || path == "/readyz" || path == "/metrics" ||
         path == "/v1/status" || path == "/v1/events";
}

}  // namespace

std::optional<http::HttpAnswer> OperatorSurface::Handle(
    const http::HttpCall& call) {
  if (!IsKnown(call.path)) return NoSuchPath();
  if (call.method != http::Method::kGet) return OnlyGet();
  if (call.path == "/healthz") {
    return http::TextAnswer(kOk, std::string(kPlainText), "ok\n");
  }
  if (call.path == "/readyz") return this->Readiness();
  if (call.path == "/v1/events") return this->Events(call.query);
  if (call.path == "/v1/status") {
    std::string status = this->sources.status ? this->sources.status() : "{}";
    return http::TextAnswer(kOk, std::string(kJson), std::move(status));
  }
  std::string text =
      this->sources.metrics != nullptr ? this->sources.metrics->Format() : "";
  return http::TextAnswer(kOk, std::string(kMetricsText), std::move(text));
}

http::HttpAnswer OperatorSurface::Refuse(std::int32_t status,
                                         std::error_code error,
                                         std::string detail) {
  Problem problem{.status = status,
                  .error = error,
                  .detail = std::move(detail),
                  .outcome = Outcome::kNotRun};
  if (status == kUnavailable) problem.retry_after = kDefaultRetryAfter;
  return ProblemAnswer(problem);
}

http::HttpAnswer OperatorSurface::Readiness() const {
  Problem problem{.status = kUnavailable, .retry_after = kDefaultRetryAfter};
  if (this->draining->load()) {
    problem.error = Error::kShuttingDown;
    problem.detail = "The process finishes what is in progress.";
    return ProblemAnswer(problem);
  }
  bool ready = !this->sources.ready || this->sources.ready();
  if (ready) return http::TextAnswer(kOk, std::string(kPlainText), "ready\n");
  problem.error = Error::kStarting;
  problem.detail = "No configuration is in force.";
  return ProblemAnswer(problem);
}

http::HttpAnswer OperatorSurface::Events(std::string_view query) const {
  std::uint64_t after = 0;
  if (!query.empty()) {
    bool named = query.substr(0, kAfter.size()) == kAfter;
    std::string_view digits = named ? query.substr(kAfter.size()) : "";
    const char* end = digits.data() + digits.size();
    auto parsed = std::from_chars(digits.data(), end, after);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return ProblemAnswer(
          {.status = kBadRequest,
           .error = Error::kHeaderInvalid,
           .detail = "The query must be after=N with a whole number."});
    }
  }
  std::vector<StampedEvent> events;
  if (this->sources.timeline != nullptr) {
    events = this->sources.timeline->Read(after);
  }
  return http::TextAnswer(kOk, std::string(kJson), FormatEvents(events));
}

}  // namespace mustardproxy::gateway_detail
