#include "mustardproxy/core/error.h"

#include <string>

namespace mustardproxy {
namespace {

class Category final : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override {
    return "mustardproxy";
  }
  [[nodiscard]] std::string message(int value) const override;
};

std::string Category::message(int value) const {
  switch (static_cast<Error>(value)) {
    case Error::kOk:
      return "no error";
    case Error::kUnknownService:
      return "no such service is configured";
    case Error::kUnknownTeam:
      return "no such team is configured";
    case Error::kHeaderInvalid:
      return "a header is too long or holds characters that are not allowed";
    case Error::kBodyTooLarge:
      return "the body is larger than the limit";
    case Error::kUnknownRequest:
      return "no such request is known";
    case Error::kNeverFits:
      return "the task is too large for every worker";
    case Error::kKeyReused:
      return "the idempotency key was used with another body";
    case Error::kKeyInProgress:
      return "a request with this idempotency key is still in progress";
    case Error::kUnknownQueue:
      return "no queue of the desired state matches host and path";
    case Error::kUnknownJob:
      return "the job is not known";
    case Error::kJobInvalid:
      return "the job is malformed or exceeds a limit";
    case Error::kUnknownKey:
      return "the call carries no API key that is in force";
    case Error::kJobOfOtherTeam:
      return "the job belongs to another team";
    case Error::kExceedsTeamCap:
      return "a step of the job needs more than its team may run";
    case Error::kWaitTooLong:
      return "the predicted wait is longer than allowed";
    case Error::kQueueFull:
      return "the queue is full";
    case Error::kQuotaExceeded:
      return "the team's quota is used up";
    case Error::kShuttingDown:
      return "this process is shutting down";
    case Error::kJournalUnavailable:
      return "the journal cannot be written at present";
    case Error::kNoWorker:
      return "no worker accepts work at present";
    case Error::kTooManyConnections:
      return "too many requests are in progress here";
    case Error::kStarting:
      return "this process has no configuration yet";
    case Error::kGangImpossible:
      return "the tasks can never all run at the same time";
    case Error::kStoreUnavailable:
      return "the platform's store does not accept the job";
    case Error::kOverloaded:
      return "the queued work would take too long";
    case Error::kConfigurationStale:
      return "the configuration could not be confirmed lately";
    case Error::kDeadlineExceeded:
      return "the request took longer than its timeout";
    case Error::kWorkerLost:
      return "the worker was lost while it ran the task";
    case Error::kAnswerIncomplete:
      return "the worker's answer is incomplete";
    case Error::kPeerLost:
      return "the entry process that ran the request was lost";
    case Error::kCancelled:
      return "the request was cancelled";
    case Error::kTaskFailed:
      return "the task failed on every worker it was tried on";
    case Error::kResultExpired:
      return "the result is no longer kept";
    case Error::kPlatformUnavailable:
      return "the platform's key-value service does not answer";
    case Error::kConflict:
      return "another process changed it first";
    case Error::kFenced:
      return "another process has taken over the journal";
    case Error::kStaleEpoch:
      return "the worker has a newer owner";
    case Error::kLeaseHeld:
      return "the worker's lease is held by another process";
    case Error::kPeerMismatch:
      return "the peer serves another customer or uses another protocol "
             "version";
    case Error::kMalformedReply:
      return "the reply can not be understood";
    case Error::kHistoryLost:
      return "the store no longer holds the requested changes";
    case Error::kNotOwner:
      return "the process does not own the placement group";
    case Error::kFileMissing:
      return "the file can not be read";
    case Error::kSyntax:
      return "the text is not valid JSON with comments";
    case Error::kUnknownField:
      return "no such field is known";
    case Error::kWrongType:
      return "the field has the wrong type";
    case Error::kOutOfRange:
      return "the value is out of range";
    case Error::kDuplicateField:
      return "the field stands twice";
    case Error::kMissingField:
      return "a required field is missing";
    case Error::kUnknownReference:
      return "the name refers to nothing";
  }
  return "unknown error";
}

}  // namespace

const std::error_category& ErrorCategory() noexcept {
  static const Category category;
  return category;
}

std::error_code make_error_code(Error error) noexcept {
  return {static_cast<int>(error), ErrorCategory()};
}

}  // namespace mustardproxy
