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

/// HTTP status of a refusal that may pass.
inline constexpr std::int32_t kUnavailableStatus = 503;

/// What callers are told: one answer per request, and "not run" only where it
/// is true of every attempt.
class RequestAnswers {
 public:
  explicit RequestAnswers(Parts* parts) : parts(parts) {}

  /// Answers, once and for all. Turns "not run" into what is true if an
  /// attempt may have run.
  void Finish(ActiveRequest* entry, Answer answer);
  /// Answers "not run".
  void Refuse(ActiveRequest* entry, std::error_code error, std::int32_t status,
              std::string text, Duration retry_after = Duration{0});
  /// Answers "not run" with what the scheduler said.
  void RefuseAdmission(ActiveRequest* entry, const Admission& admission);
  /// Answers "not run" to a request that was not even taken in.
  void RefuseArrival(const Request& request, std::error_code error,
                     std::string text);
  /// Answers "unknown".
  void AnswerUnknown(ActiveRequest* entry, std::error_code error,
                     std::string text);
  /// Answers the peers that asked for the request's tasks to be stopped.
  void AnswerRecalls(ActiveRequest* entry, bool ran, DeferredState state);

 private:
  Parts* parts;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_ANSWERS_H_
