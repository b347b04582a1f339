#include "mustardproxy/platform/key_value_client.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>

#include <utility>

#include "http_caller.h"
#include "key_value_json.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy {
namespace {

using platform_detail::HttpCall;
using platform_detail::HttpReply;
using Status = Poco::Net::HTTPResponse::HTTPStatus;

constexpr std::string_view kReservedInKeys = "?#[]@!$&'()*+,;= %";

std::string Target(std::string_view key, std::string_view query = "") {
  std::string target = "/v1/kv/";
  Poco::URI::encode(std::string(key), std::string(kReservedInKeys), target);
  if (!query.empty()) {
    target += '?';
    target += query;
  }
  return target;
}

std::string WatchQuery(std::uint64_t index, Duration wait) {
  return "index=" + std::to_string(index) +
         "&wait=" + std::to_string(WholeMilliseconds(wait)) + "ms";
}

std::string CasQuery(std::uint64_t index) {
  return "cas=" + std::to_string(index);
}

SwapEnd EndOfSwap(const std::optional<HttpReply>& reply) {
  if (!reply || reply->status != Status::HTTP_OK) {
    return SwapEnd::kUncertain;
  }
  if (reply->body.starts_with("true")) {
    return SwapEnd::kSwapped;
  }
  return reply->body.starts_with("false") ? SwapEnd::kConflict
                                          : SwapEnd::kUncertain;
}

/// Replies that promise that nothing was done.
bool Refused(int status) {
  return status == Status::HTTP_TOO_MANY_REQUESTS ||
         status == Status::HTTP_REQUEST_ENTITY_TOO_LARGE ||
         status == Status::HTTP_BAD_REQUEST;
}

CallEnd EndOf(const HttpReply& reply) {
  if (Refused(reply.status)) {
    return CallEnd::kRefused;
  }
  // An error inside the platform leaves open what it had done before.
  return reply.status >= Status::HTTP_INTERNAL_SERVER_ERROR
             ? CallEnd::kNoReply
             : CallEnd::kAnswered;
}

}  // namespace

struct KeyValueClient::State {
  State(std::string_view url, Duration timeout) : caller(url, timeout) {}

  std::optional<HttpReply> Do(CallKind kind, const HttpCall& call);
  Result<std::optional<KeyValue>> GetOne(CallKind kind, const HttpCall& call);

  platform_detail::HttpCaller caller;
  CallObserver* observer = nullptr;
  CallEnd last_end = CallEnd::kNotSent;
};

std::optional<HttpReply> KeyValueClient::State::Do(CallKind kind,
                                                   const HttpCall& call) {
  std::optional<HttpReply> reply = this->caller.Do(call);
  this->last_end = reply ? EndOf(*reply) : this->caller.LastEnd();
  if (this->observer != nullptr && !this->caller.Aborted()) {
    this->observer->OnCall(kind, this->last_end);
  }
  return reply;
}

Result<std::optional<KeyValue>> KeyValueClient::State::GetOne(
    CallKind kind, const HttpCall& call) {
  const std::optional<HttpReply> reply = this->Do(kind, call);
  if (!reply) {
    return make_error_code(Error::kPlatformUnavailable);
  }
  if (reply->status == Status::HTTP_NOT_FOUND) {
    return std::optional<KeyValue>();
  }
  if (reply->status != Status::HTTP_OK) {
    return make_error_code(Error::kPlatformUnavailable);
  }
  Result<std::vector<KeyValue>> values =
      platform_detail::ParseKeyValues(reply->body);
  if (!values || values.value().size() != 1) {
    return make_error_code(Error::kMalformedReply);
  }
  return std::optional<KeyValue>(std::move(values.value().front()));
}

KeyValueClient::KeyValueClient(std::string_view url, Duration timeout)
    : state(std::make_unique<State>(url, timeout)) {}
KeyValueClient::~KeyValueClient() = default;

Result<std::optional<KeyValue>> KeyValueClient::Get(std::string_view key) {
  return this->state->GetOne(CallKind::kGet, {"GET", Target(key), {}, {}});
}

Result<std::optional<KeyValue>> KeyValueClient::Watch(std::string_view key,
                                                      std::uint64_t index,
                                                      Duration wait) {
  const std::string target = Target(key, WatchQuery(index, wait));
  return this->state->GetOne(CallKind::kWatch, {"GET", target, {}, wait});
}

Result<std::vector<KeyValue>> KeyValueClient::List(std::string_view prefix) {
  const auto reply = this->state->Do(
      CallKind::kList, {"GET", Target(prefix, "recurse=true"), {}, {}});
  if (reply && reply->status == Status::HTTP_NOT_FOUND) {
    return std::vector<KeyValue>();
  }
  if (!reply || reply->status != Status::HTTP_OK) {
    return make_error_code(Error::kPlatformUnavailable);
  }
  return platform_detail::ParseKeyValues(reply->body);
}

Result<std::vector<std::string>> KeyValueClient::Keys(std::string_view prefix) {
  const auto reply = this->state->Do(
      CallKind::kKeys, {"GET", Target(prefix, "keys=true"), {}, {}});
  if (reply && reply->status == Status::HTTP_NOT_FOUND) {
    return std::vector<std::string>();
  }
  if (!reply || reply->status != Status::HTTP_OK) {
    return make_error_code(Error::kPlatformUnavailable);
  }
  return platform_detail::ParseKeys(reply->body);
}

SwapEnd KeyValueClient::Swap(std::string_view key, std::string_view value,
                             std::uint64_t index) {
  const std::string target = Target(key, CasQuery(index));
  return EndOfSwap(
      this->state->Do(CallKind::kSwap, {"PUT", target, value, {}}));
}

SwapEnd KeyValueClient::RemoveIf(std::string_view key, std::uint64_t index) {
  const std::string target = Target(key, CasQuery(index));
  return EndOfSwap(
      this->state->Do(CallKind::kRemove, {"DELETE", target, {}, {}}));
}

Result<void> KeyValueClient::Remove(std::string_view key) {
  const auto reply =
      this->state->Do(CallKind::kRemove, {"DELETE", Target(key), {}, {}});
  if (!reply || reply->status != Status::HTTP_OK) {
    return make_error_code(Error::kPlatformUnavailable);
  }
  return boost::outcome_v2::success();
}

Result<std::vector<WorkerDescription>> KeyValueClient::Hosts() {
  const auto reply =
      this->state->Do(CallKind::kHosts, {"GET", "/v1/hosts", {}, {}});
  if (!reply || reply->status != Status::HTTP_OK) {
    return make_error_code(Error::kPlatformUnavailable);
  }
  return platform_detail::ParseHosts(reply->body);
}

CallEnd KeyValueClient::LastEnd() const { return this->state->last_end; }

void KeyValueClient::Observe(CallObserver* observer) {
  this->state->observer = observer;
}

void KeyValueClient::Abort() { this->state->caller.Abort(); }

std::string_view Name(CallKind kind) {
  switch (kind) {
    case CallKind::kGet:
      return "get";
    case CallKind::kWatch:
      return "watch";
    case CallKind::kList:
      return "list";
    case CallKind::kKeys:
      return "keys";
    case CallKind::kSwap:
      return "swap";
    case CallKind::kRemove:
      return "remove";
    case CallKind::kHosts:
      return "hosts";
  }
  return "unknown";
}

}  // namespace mustardproxy
