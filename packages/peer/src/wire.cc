#include "wire.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "bounds.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy::peer_detail {
namespace {

/// Bounds that keep sums over all peers far from overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
constexpr std::int64_t kMaxMicros = 7LL * 24 * 3600 * 1'000'000;
constexpr std::int32_t kMaxHops = 8;
constexpr std::int32_t kMinStatus = 100;
constexpr std::int32_t kMaxStatus = 599;
constexpr std::int32_t kBadGateway = 502;
constexpr std::int32_t kMaxErrorNumber = 999;
constexpr std::string_view kUnknownContent = "application/octet-stream";

bool InRange(std::int64_t value, std::int64_t low, std::int64_t high) {
  return value >= low && value <= high;
}

bool IsNameOrEmpty(std::string_view text) {
  return text.empty() || IsName(text);
}

bool IsAmount(const peer::Resources& message) {
  return InRange(message.cpu_milli(), 0, kMaxAmount) &&
         InRange(message.memory_mb(), 0, kMaxAmount) &&
         InRange(message.accelerators(), 0, kMaxAmount) &&
         InRange(message.slots(), 0, kMaxAmount);
}

void ToWire(const Resources& resources, peer::Resources* message) {
  message->set_cpu_milli(resources.cpu_milli);
  message->set_memory_mb(resources.memory_mb);
  message->set_accelerators(resources.accelerators);
  message->set_slots(resources.slots);
}

Resources FromWire(const peer::Resources& message) {
  Resources resources;
  resources.cpu_milli = message.cpu_milli();
  resources.memory_mb = message.memory_mb();
  resources.accelerators = message.accelerators();
  resources.slots = message.slots();
  return resources;
}

Body TakeBody(std::string* bytes) {
  if (bytes->empty()) return nullptr;
  return std::make_shared<const std::string>(std::move(*bytes));
}

std::int64_t Micros(Duration duration) {
  return std::clamp<std::int64_t>(duration.count(), 0, kMaxMicros);
}

std::int32_t ErrorNumber(const std::error_code& code) {
  if (!code) return 0;
  if (code.category() == ErrorCategory()) return code.value();
  return static_cast<std::int32_t>(Error::kMalformedReply);
}

bool IsWellFormed(const peer::Digest& message) {
  const bool journals_are_names =
      std::all_of(message.journals().begin(), message.journals().end(), IsName);
  return IsName(message.data_center()) && journals_are_names &&
         static_cast<std::size_t>(message.journals_size()) <= kMaxJournals &&
         message.owned_workers() >= 0 && message.queued() >= 0 &&
         IsAmount(message.free()) && IsAmount(message.largest_free()) &&
         InRange(message.predicted_wait(), 0, kMaxMicros);
}

bool IsWellFormed(const peer::ForwardRequest& message) {
  return IsName(message.id()) && IsName(message.service()) &&
         IsNameOrEmpty(message.team()) &&
         IsNameOrEmpty(message.idempotency_key()) &&
         IsNameOrEmpty(message.origin()) &&
         message.body().size() <= kMaxBodyBytes &&
         InRange(message.timeout(), 0, kMaxMicros) &&
         InRange(message.hops(), 0, kMaxHops);
}

bool IsWellFormed(const peer::Answer& message) {
  return message.outcome() <= static_cast<unsigned>(Outcome::kUnknown) &&
         InRange(message.status(), kMinStatus, kMaxStatus) &&
         IsNameOrEmpty(message.content_type()) &&
         message.body().size() <= kMaxBodyBytes &&
         InRange(message.error(), 0, kMaxErrorNumber) &&
         message.detail().size() <= kMaxDetailBytes &&
         InRange(message.retry_after(), 0, kMaxMicros);
}

void ToWireTooLarge(peer::Answer* message) {
  message->set_outcome(static_cast<unsigned>(Outcome::kUnknown));
  message->set_status(kBadGateway);
  message->set_error(static_cast<std::int32_t>(Error::kAnswerIncomplete));
  message->set_detail("The answer is larger than peers pass on.");
}

}  // namespace

bool IsName(std::string_view text) {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < kSpace || byte == kDelete;
  });
}

void ToWire(const Digest& digest, peer::Digest* message) {
  message->set_data_center(digest.data_center.Text());
  message->set_configuration_version(digest.configuration_version);
  for (const JournalId& journal : digest.journals) {
    message->add_journals(journal.Text());
  }
  message->set_owned_workers(digest.owned_workers);
  ToWire(digest.free, message->mutable_free());
  ToWire(digest.largest_free, message->mutable_largest_free());
  message->set_predicted_wait(Micros(digest.predicted_wait));
  message->set_queued(digest.queued);
  message->set_stopping(digest.stopping);
  message->set_platform_reachable(digest.platform_reachable);
}

std::optional<Digest> FromWire(const peer::Digest& message,
                               const peer::Envelope& envelope) {
  if (!IsWellFormed(message)) return std::nullopt;
  Digest digest;
  digest.process = ProcessId(envelope.process());
  digest.incarnation = envelope.incarnation();
  digest.data_center = DataCenterId(message.data_center());
  digest.configuration_version = message.configuration_version();
  for (const std::string& journal : message.journals()) {
    digest.journals.emplace_back(journal);
  }
  digest.owned_workers = message.owned_workers();
  digest.free = FromWire(message.free());
  digest.largest_free = FromWire(message.largest_free());
  digest.predicted_wait = Duration(message.predicted_wait());
  digest.queued = message.queued();
  digest.stopping = message.stopping();
  digest.platform_reachable = message.platform_reachable();
  return digest;
}

void ToWire(const Request& request, peer::ForwardRequest* message) {
  message->set_id(request.id.Text());
  message->set_service(request.service.Text());
  message->set_team(request.team.Text());
  message->set_idempotency_key(request.idempotency_key);
  message->set_timeout(Micros(request.timeout));
  if (request.body) message->set_body(*request.body);
  message->set_hops(request.hops);
  message->set_origin(request.origin.Text());
}

std::optional<Request> FromWire(peer::ForwardRequest* message) {
  if (!IsWellFormed(*message)) return std::nullopt;
  Request request;
  request.id = RequestId(message->id());
  request.service = ServiceId(message->service());
  request.team = TeamId(message->team());
  request.idempotency_key = message->idempotency_key();
  request.timeout = Duration(message->timeout());
  request.body = TakeBody(message->mutable_body());
  request.hops = message->hops();
  request.origin = ProcessId(message->origin());
  return request;
}

void ToWire(const Answer& answer, peer::Answer* message) {
  if (View(answer.body).size() > kMaxBodyBytes) {
    ToWireTooLarge(message);
    return;
  }
  message->set_outcome(static_cast<unsigned>(answer.outcome));
  message->set_status(std::clamp(answer.status, kMinStatus, kMaxStatus));
  const bool sendable = IsNameOrEmpty(answer.content_type);
  message->set_content_type(sendable ? answer.content_type
                                     : std::string(kUnknownContent));
  if (answer.body) message->set_body(*answer.body);
  message->set_error(ErrorNumber(answer.error));
  message->set_detail(answer.detail.substr(0, kMaxDetailBytes));
  message->set_retry_after(Micros(answer.retry_after));
}

std::optional<Answer> FromWire(peer::Answer* message) {
  if (!IsWellFormed(*message)) return std::nullopt;
  Answer answer;
  answer.outcome = static_cast<Outcome>(message->outcome());
  answer.status = message->status();
  answer.content_type = message->content_type();
  answer.body = TakeBody(message->mutable_body());
  if (message->error() != 0) {
    answer.error = std::error_code(message->error(), ErrorCategory());
  }
  answer.detail = std::move(*message->mutable_detail());
  answer.retry_after = Duration(message->retry_after());
  return answer;
}

void ToWire(const std::optional<DeferredStatus>& status,
            peer::QueryReply* message) {
  message->set_known(status.has_value());
  if (!status) return;
  message->set_state(static_cast<unsigned>(status->state));
  message->set_detail(status->detail.substr(0, kMaxDetailBytes));
  ToWire(status->result, message->mutable_result());
  message->set_ran(status->ran);
}

std::optional<DeferredStatus> FromWire(const RequestId& request,
                                       peer::QueryReply* message) {
  if (!message->known() ||
      message->state() > static_cast<unsigned>(DeferredState::kUnknown) ||
      message->detail().size() > kMaxDetailBytes) {
    return std::nullopt;
  }
  std::optional<Answer> result = FromWire(message->mutable_result());
  if (!result) return std::nullopt;
  DeferredStatus status;
  status.id = request;
  status.state = static_cast<DeferredState>(message->state());
  status.detail = std::move(*message->mutable_detail());
  status.result = *std::move(result);
  status.ran = message->ran();
  return status;
}

}  // namespace mustardproxy::peer_detail
