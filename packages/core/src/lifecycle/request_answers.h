#ifndef MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_ANSWERS_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_ANSWERS_H_

#include <cstdint>
#include <string>
#include <system_error>

#include "lifecycle/request_table.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/scheduler.h"

namespace mustardproxy::detail {

struct Parts;

/// HTTP status of a temporary refusal.
inline constexpr std::int32_t kUnavailableStatus = 503;

/// Answers to callers: exactly one per request, and "not run" only if no
/// attempt may have run.
class RequestAnswers {
 public:
  explicit RequestAnswers(Parts* parts) : parts(parts) {}

  /// Sends the final answer. "Not run" is replaced by the last failure or
  /// "unknown" if an attempt may have run.
  void Finish(ActiveRequest* entry, Answer answer);
  /// Answers "not run".
  void Refuse(ActiveRequest* entry, std::error_code error, std::int32_t status,
              std::string text, Duration retry_after = Duration{0});
  /// Answers "not run" with the scheduler's refusal.
  void RefuseAdmission(ActiveRequest* entry, const Admission& admission);
  /// Answers "not run" to a request that was never added to the table.
  void RefuseArrival(const Request& request, std::error_code error,
                     std::string text);
  /// Answers "unknown".
  void AnswerUnknown(ActiveRequest* entry, std::error_code error,
                     std::string text);
  /// Answers the peers that recalled the request.
  void AnswerRecalls(ActiveRequest* entry, bool ran, DeferredState state);

 private:
  Parts* parts;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_ANSWERS_H_
