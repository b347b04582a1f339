#ifndef MUSTARDPROXY_CORE_ERROR_H_
#define MUSTARDPROXY_CORE_ERROR_H_

#include <string>
#include <system_error>

namespace mustardproxy {

/// Errors that are reported to callers and operators. The numbers are stable;
/// docs/ERRORS.md describes the cause and the remedy of each.
enum class Error {
  kOk = 0,
  // 1xx: errors in the request itself.
  kUnknownService = 101,
  kUnknownTeam = 102,
  kHeaderInvalid = 103,
  kBodyTooLarge = 104,
  kUnknownRequest = 105,
  kNeverFits = 106,
  kKeyReused = 107,
  kKeyInProgress = 108,
  kUnknownQueue = 109,
  kUnknownJob = 110,
  kJobInvalid = 111,
  kUnknownKey = 112,
  kJobOfOtherTeam = 113,
  kExceedsTeamCap = 114,
  // 2xx: refused without running; the caller may retry later.
  kWaitTooLong = 201,
  kQueueFull = 202,
  kQuotaExceeded = 203,
  kShuttingDown = 204,
  kJournalUnavailable = 205,
  kNoWorker = 206,
  kTooManyConnections = 207,
  kStarting = 208,
  kGangImpossible = 209,
  kStoreUnavailable = 210,
  kOverloaded = 211,
  kConfigurationStale = 212,
  // 3xx: the request was started or may have been started.
  kDeadlineExceeded = 301,
  kWorkerLost = 302,
  kAnswerIncomplete = 303,
  kPeerLost = 304,
  kCancelled = 305,
  kTaskFailed = 306,
  kResultExpired = 307,
  // 4xx: errors between the processes and the platform.
  kPlatformUnavailable = 401,
  kConflict = 402,
  kFenced = 403,
  kStaleEpoch = 404,
  kLeaseHeld = 405,
  kPeerMismatch = 406,
  kMalformedReply = 407,
  kHistoryLost = 408,
  kNotOwner = 409,
  // 5xx: errors in the settings or in the configuration document.
  kFileMissing = 501,
  kSyntax = 502,
  kUnknownField = 503,
  kWrongType = 504,
  kOutOfRange = 505,
  kDuplicateField = 506,
  kMissingField = 507,
  kUnknownReference = 508,
};

/// @return the category of `Error`; its messages are short English sentences
const std::error_category& ErrorCategory() noexcept;

/// Makes `Error` convert to `std::error_code`.
std::error_code make_error_code(Error error) noexcept;  // NOLINT: found by ADL

}  // namespace mustardproxy

template <>
struct std::is_error_code_enum<mustardproxy::Error> : std::true_type {};

#endif  // MUSTARDPROXY_CORE_ERROR_H_
