#include "fixture.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <stdexcept>
#include <utility>

namespace mustardproxy::process_faults {
namespace {

using std::chrono::milliseconds;

/// Beyond the caller's timeout, so that the answer is the process's own.
constexpr milliseconds kAnswerMargin = std::chrono::seconds(15);

/// FNV-1a 64, in the form of the workers' logs.
std::string HashText(std::string_view bytes) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325U;
  constexpr std::uint64_t kPrime = 0x100000001b3U;
  std::uint64_t hash = kOffset;
  for (char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kPrime;
  }
  constexpr std::size_t kTextSize = 17;
  std::string text(kTextSize, '\0');
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(hash));
  text.pop_back();
  return text;
}

LogLine ReadLine(const std::string& worker, const Poco::JSON::Object& line) {
  auto text = [&](const char* name) {
    return line.optValue<std::string>(name, "");
  };
  return {.worker = worker,
          .event = text("event"),
          .reason = text("reason"),
          .task = text("task"),
          .request = text("request"),
          .service = text("service"),
          .body_hash = text("body_hash"),
          .epoch = line.optValue<std::uint64_t>("epoch", 0),
          .holder = text("holder"),
          .at_ms = line.optValue<std::int64_t>("at_ms", 0)};
}

std::string Get(const std::string& url, const std::string& path) {
  auto reply = cell::SendOnce(
      url, {.method = "GET", .path = path, .body = "", .headers = {}});
  return reply && reply->status == kOk ? reply->body : std::string();
}

}  // namespace

WorkerLogs::WorkerLogs(std::vector<LogLine> lines) : lines(std::move(lines)) {}

std::int64_t WorkerLogs::Count(std::string_view event,
                               std::string_view reason) const {
  return std::count_if(
      this->lines.begin(), this->lines.end(), [&](const LogLine& line) {
        return line.event == event && (reason.empty() || line.reason == reason);
      });
}

std::vector<LogLine> WorkerLogs::StartLines(std::string_view body) const {
  std::string hash = HashText(body);
  std::vector<LogLine> found;
  for (const LogLine& line : this->lines) {
    if (line.event == "start" && line.body_hash == hash) found.push_back(line);
  }
  return found;
}

std::int64_t WorkerLogs::Starts(std::string_view body) const {
  return static_cast<std::int64_t>(this->StartLines(body).size());
}

std::int64_t WorkerLogs::StartsOn(std::string_view worker) const {
  return std::count_if(this->lines.begin(), this->lines.end(),
                       [&](const LogLine& line) {
                         return line.event == "start" && line.worker == worker;
                       });
}

WorkerLogs ReadLogs(const Cell& cell) {
  std::vector<LogLine> lines;
  for (const std::string& worker : cell.Workers()) {
    Poco::JSON::Parser parser;
    auto log = parser.parse(Get(cell.Url(worker), "/log"))
                   .extract<Poco::JSON::Array::Ptr>();
    for (unsigned i = 0; i < log->size(); ++i) {
      lines.push_back(ReadLine(worker, *log->getObject(i)));
      if (lines.back().event == "overflow") {
        throw std::runtime_error("the log of " + worker + " is incomplete");
      }
    }
  }
  return WorkerLogs(std::move(lines));
}

std::string FreshBody(milliseconds run_time) {
  static std::atomic<std::int64_t> number = 0;
  return R"({"run_ms": )" + std::to_string(run_time.count()) +
         R"(, "number": )" + std::to_string(++number) + "}";
}

std::optional<HttpReply> Send(const Cell& cell, const std::string& entry,
                              const Call& call) {
  cell::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/services/" + call.service;
  request.body = call.body;
  request.headers.push_back(
      {"Mustardproxy-Timeout-Ms", std::to_string(call.timeout.count())});
  if (!call.key.empty()) {
    request.headers.push_back({"Idempotency-Key", call.key});
  }
  return cell::SendOnce(cell.Url(entry), request, call.timeout + kAnswerMargin);
}

std::string OutcomeOf(const std::optional<HttpReply>& reply) {
  if (!reply) return "no answer";
  return reply->Header("Mustardproxy-Outcome");
}

bool IsOwnAnswer(const std::optional<HttpReply>& reply, const Call& call) {
  return OutcomeOf(reply) == "completed" && reply->status == kOk &&
         reply->body == call.body;
}

PendingCall::PendingCall(const Cell& cell, const std::string& entry, Call call)
    : state(std::make_unique<State>()) {
  this->state->call = std::move(call);
  State* shared = this->state.get();
  this->thread = std::thread([&cell, entry, shared] {
    shared->reply = Send(cell, entry, shared->call);
    shared->ended = true;
  });
}

PendingCall::PendingCall(PendingCall&&) noexcept = default;

PendingCall::~PendingCall() {
  if (this->thread.joinable()) this->thread.join();
}

const std::optional<HttpReply>& PendingCall::Reply() {
  if (this->thread.joinable()) this->thread.join();
  return this->state->reply;
}

std::int64_t StatusNumber(const Cell& cell, const std::string& entry,
                          const std::string& field) {
  try {
    Poco::JSON::Parser parser;
    auto status = parser.parse(Get(cell.OperatorUrl(entry), "/v1/status"))
                      .extract<Poco::JSON::Object::Ptr>();
    return status->getValue<std::int64_t>(field);
  } catch (const Poco::Exception&) {
    return -1;
  }
}

std::int64_t PlatformCalls(const Cell& cell, const std::string& kind) {
  Poco::JSON::Parser parser;
  auto counters = parser.parse(Get(cell.Url("platform"), "/counters"))
                      .extract<Poco::JSON::Object::Ptr>();
  return counters->optValue<std::int64_t>(kind, 0);
}

std::string Events(const Cell& cell, const std::string& entry) {
  return Get(cell.OperatorUrl(entry), "/v1/events?after=0");
}

std::string MainOwner(const Cell& cell) {
  std::string owner;
  std::int64_t most = -1;
  for (const std::string& entry : cell.Entries()) {
    std::int64_t owned = StatusNumber(cell, entry, "owned_workers");
    if (owned <= most) continue;
    most = owned;
    owner = entry;
  }
  return owner;
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace mustardproxy::process_faults
