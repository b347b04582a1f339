#ifndef MUSTARDPROXY_GATEWAY_PROBLEM_H_
#define MUSTARDPROXY_GATEWAY_PROBLEM_H_

#include <optional>
#include <string>
#include <string_view>

#include "mustardproxy/core/request.h"
#include "mustardproxy/http/message.h"

namespace mustardproxy::gateway_detail {

/// What a problem document says.
struct Problem {
  std::int32_t status = 500;
  std::error_code error = {};
  std::string detail = {};
  RequestId request = {};
  /// Only where it is known; "not run" is never a guess.
  std::optional<Outcome> outcome = std::nullopt;
  /// Zero: no Retry-After.
  Duration retry_after{0};
};

/// Time after which a caller may come back when nothing better is known.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

/// @return the answer as `application/problem+json`
[[nodiscard]] http::HttpAnswer ProblemAnswer(const Problem& problem);
/// @return the final answer to a request: the upstream's own if it completed,
///   else a problem
[[nodiscard]] http::HttpAnswer FinalAnswer(const RequestId& request,
                                           const Answer& answer);
/// @return `completed`, `not-run` or `unknown`
[[nodiscard]] std::string_view Name(Outcome outcome);

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_PROBLEM_H_
