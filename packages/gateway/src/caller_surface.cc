#include "caller_surface.h"

#include <array>
#include <charconv>
#include <utility>

#include "deferred_answer.h"
#include "header_check.h"
#include "header_names.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/core/events.h"
#include "problem.h"

namespace mustardproxy::gateway_detail {
namespace {

constexpr std::int32_t kAccepted = 202;
constexpr std::int32_t kBadRequest = 400;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kMethodNotAllowed = 405;
constexpr std::int32_t kUnavailable = 503;
constexpr std::int32_t kGatewayTimeout = 504;
/// The core answers at the request's timeout; this much later its answer is no
/// longer waited for.
constexpr Duration kGuardMargin = std::chrono::seconds(2);
constexpr Duration kQueryTimeout = std::chrono::seconds(10);
constexpr std::string_view kServices = "/v1/services/";
constexpr std::string_view kRequests = "/v1/requests/";
constexpr std::string_view kResult = "/result";
constexpr std::uint64_t kQueryMask = ~std::uint64_t{0} >> 1;
constexpr int kHexadecimal = 16;

std::string IdPrefix(const ProcessId& process, Incarnation incarnation) {
  std::array<char, sizeof(incarnation) * 2> digits{};
  auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                           incarnation, kHexadecimal);
  return process.Text() + "." + std::string(digits.data(), end.ptr) + ".";
}

http::HttpAnswer OnlyMethods(std::string allowed) {
  http::HttpAnswer answer =
      ProblemAnswer({.status = kMethodNotAllowed,
                     .error = Error::kHeaderInvalid,
                     .detail = "Allowed here: " + allowed + ".",
                     .outcome = Outcome::kNotRun});
  answer.headers.push_back({"Allow", std::move(allowed)});
  return answer;
}

http::HttpAnswer AcceptedAnswer(const RequestId& request) {
  std::string location = std::string(kRequests) + request.Text();
  http::HttpAnswer answer = http::TextAnswer(
      kAccepted, "application/json",
      R"({"id":")" + request.Text() + R"(","state":"queued"})");
  answer.headers.push_back({"Location", std::move(location)});
  answer.headers.push_back({std::string(kRequestIdHeader), request.Text()});
  return answer;
}

/// The request may have run: nothing told its fate in time.
http::HttpAnswer FateUnknown(const RequestId& request, std::string detail) {
  return ProblemAnswer({.status = kGatewayTimeout,
                        .error = Error::kDeadlineExceeded,
                        .detail = std::move(detail),
                        .request = request,
                        .outcome = Outcome::kUnknown});
}

http::HttpAnswer NoReplyToQuestion(const RequestId& request) {
  return ProblemAnswer({.status = kGatewayTimeout,
                        .error = Error::kDeadlineExceeded,
                        .detail = "No process answered for this request.",
                        .request = request,
                        .retry_after = kDefaultRetryAfter});
}

/// @return the metrics label of how a request ended here
std::string_view EndLabel(const Settlement& settlement) {
  if (const auto* answer = std::get_if<Answer>(&settlement)) {
    switch (answer->outcome) {
      case Outcome::kCompleted:
        return "end=completed";
      case Outcome::kNotRun:
        return "end=not-run";
      case Outcome::kUnknown:
        return "end=unknown";
    }
  }
  return std::holds_alternative<Accepted>(settlement) ? "end=accepted"
                                                      : "end=unknown";
}

http::HttpAnswer SettledAnswer(const RequestId& request,
                               const Settlement& settlement) {
  if (const auto* answer = std::get_if<Answer>(&settlement)) {
    return FinalAnswer(request, *answer);
  }
  if (std::holds_alternative<Accepted>(settlement)) {
    return AcceptedAnswer(request);
  }
  return FateUnknown(request, "The process stopped before the answer came.");
}

/// Removes a wait from its table, however it ends.
template <typename Key>
class WaitScope {
 public:
  WaitScope(WaitingTable<Key>* table, const Key& key)
      : table(table), key(key), waiter(table->Begin(key)) {}
  ~WaitScope() { this->table->End(this->key); }
  WaitScope(const WaitScope&) = delete;
  WaitScope& operator=(const WaitScope&) = delete;

  Waiter* Get() const { return this->waiter.get(); }

 private:
  WaitingTable<Key>* table;
  Key key;
  std::shared_ptr<Waiter> waiter;
};

}  // namespace

CallerSurface::CallerSurface(CallerOptions options, http::Surface* common,
                             const std::atomic<bool>* draining)
    : options(std::move(options)),
      id_prefix(IdPrefix(this->options.process, this->options.incarnation)),
      common(common),
      draining(draining) {}

std::optional<http::HttpAnswer> CallerSurface::Handle(
    const http::HttpCall& call) {
  std::optional<http::HttpAnswer> answer = this->Route(call);
  if (answer && this->draining->load()) answer->close = true;
  return answer;
}

std::optional<http::HttpAnswer> CallerSurface::Route(
    const http::HttpCall& call) {
  if (call.path.starts_with(kServices)) {
    return this->Submit(call, call.path.substr(kServices.size()));
  }
  if (call.path.starts_with(kRequests)) {
    return this->Ask(call, call.path.substr(kRequests.size()));
  }
  return this->common->Handle(call);
}

http::HttpAnswer CallerSurface::Refuse(std::int32_t status,
                                       std::error_code error,
                                       std::string detail) {
  return this->RefuseRequest(this->NextId(), status, error, std::move(detail));
}

http::HttpAnswer CallerSurface::RefuseRequest(const RequestId& request,
                                              std::int32_t status,
                                              std::error_code error,
                                              std::string detail) {
  this->Count("gateway_refused", "code=" + std::to_string(error.value()));
  Problem problem{.status = status,
                  .error = error,
                  .detail = std::move(detail),
                  .request = request,
                  .outcome = Outcome::kNotRun};
  if (status == kUnavailable) problem.retry_after = kDefaultRetryAfter;
  return ProblemAnswer(problem);
}

std::optional<http::HttpAnswer> CallerSurface::Submit(
    const http::HttpCall& call, std::string_view service) {
  if (call.method != http::Method::kPost) return OnlyMethods("POST");
  Request request;
  request.id = this->NextId();
  if (!IsServiceName(service)) {
    return this->RefuseRequest(request.id, kNotFound, Error::kUnknownService,
                               "The path names no service.");
  }
  CallerHeaders headers;
  std::string fault =
      CheckHeaders(*call.header, this->options.max_timeout, &headers);
  if (!fault.empty()) {
    return this->RefuseRequest(request.id, kBadRequest, Error::kHeaderInvalid,
                               std::move(fault));
  }
  if (this->draining->load()) {
    return this->RefuseRequest(request.id, kUnavailable, Error::kShuttingDown,
                               "Send the request to another entry process.");
  }
  request.service = ServiceId(service);
  request.team = TeamId(std::move(headers.team));
  request.idempotency_key = std::move(headers.key);
  request.timeout = headers.timeout;
  request.body = call.body;
  request.origin = this->options.process;
  return this->Await(std::move(request), call.descriptor);
}

std::optional<http::HttpAnswer> CallerSurface::Await(Request request,
                                                     int descriptor) {
  RequestId id = request.id;
  Duration guard = request.timeout + kGuardMargin;
  WaitScope<RequestId> scope(&this->requests, id);
  if (scope.Get() == nullptr) {
    return this->RefuseRequest(id, kUnavailable, Error::kTooManyConnections,
                               "The process can not take the request.");
  }
  this->options.sink->Post(RequestArrived{std::move(request)});
  Waiter::End end = scope.Get()->Wait(descriptor, guard);
  if (end == Waiter::End::kSettled) {
    Settlement settlement = scope.Get()->Take();
    this->Count("gateway_requests", EndLabel(settlement));
    return SettledAnswer(id, settlement);
  }
  this->options.sink->Post(CancelRequested{id});
  bool gone = end == Waiter::End::kCallerGone;
  this->Count("gateway_requests", gone ? "end=caller-gone" : "end=unknown");
  if (gone) return std::nullopt;
  return FateUnknown(id, "No answer came within the timeout.");
}

std::optional<http::HttpAnswer> CallerSurface::Ask(const http::HttpCall& call,
                                                   std::string_view rest) {
  bool result = rest.ends_with(kResult);
  if (result) rest.remove_suffix(kResult.size());
  if (!IsRequestId(rest)) {
    return ProblemAnswer({.status = kNotFound,
                          .error = Error::kUnknownRequest,
                          .detail = "The path names no request."});
  }
  RequestId request(rest);
  if (call.method == http::Method::kGet) {
    return this->AskCore(request, result ? Question::kResult : Question::kState,
                         call.descriptor);
  }
  if (call.method == http::Method::kDelete && !result) {
    return this->AskCore(request, Question::kCancel, call.descriptor);
  }
  return OnlyMethods(result ? "GET" : "GET, DELETE");
}

std::optional<http::HttpAnswer> CallerSurface::AskCore(const RequestId& request,
                                                       Question question,
                                                       int descriptor) {
  std::uint64_t query = this->next_query.fetch_add(1) & kQueryMask;
  WaitScope<std::uint64_t> scope(&this->queries, query);
  if (scope.Get() == nullptr) return NoReplyToQuestion(request);
  this->options.sink->Post(
      QueryArrived{.query = query,
                   .request = request,
                   .cancel = question == Question::kCancel});
  Waiter::End end = scope.Get()->Wait(descriptor, kQueryTimeout);
  if (end == Waiter::End::kCallerGone) return std::nullopt;
  if (end == Waiter::End::kTimedOut) return NoReplyToQuestion(request);
  Settlement settlement = scope.Get()->Take();
  const auto* reply = std::get_if<QueryReply>(&settlement);
  if (reply == nullptr) return NoReplyToQuestion(request);
  auto unanswered = Unanswered(request, reply->status);
  if (unanswered) return unanswered;
  if (question == Question::kResult) {
    return ResultAnswer(request, *reply->status);
  }
  return StateAnswer(request, *reply->status, question == Question::kCancel);
}

void CallerSurface::Count(std::string_view name, std::string_view label) {
  if (this->options.metrics == nullptr) return;
  this->options.metrics->Count(name, label);
}

RequestId CallerSurface::NextId() {
  std::uint64_t number = this->next_request.fetch_add(1);
  return RequestId(this->id_prefix + std::to_string(number));
}

void CallerSurface::Settle(const RequestId& request, Settlement settlement) {
  this->requests.Settle(request, std::move(settlement));
}

void CallerSurface::Settle(std::uint64_t query, Settlement settlement) {
  this->queries.Settle(query, std::move(settlement));
}

void CallerSurface::Stop() {
  this->requests.StopAll();
  this->queries.StopAll();
}

}  // namespace mustardproxy::gateway_detail
