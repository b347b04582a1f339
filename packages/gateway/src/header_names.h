#ifndef MUSTARDPROXY_GATEWAY_HEADER_NAMES_H_
#define MUSTARDPROXY_GATEWAY_HEADER_NAMES_H_

#include <string_view>

namespace mustardproxy::gateway_detail {

inline constexpr std::string_view kRequestIdHeader = "Mustardproxy-Request-Id";
inline constexpr std::string_view kOutcomeHeader = "Mustardproxy-Outcome";
inline constexpr std::string_view kTeamHeader = "Mustardproxy-Team";
inline constexpr std::string_view kTimeoutHeader = "Mustardproxy-Timeout-Ms";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";

}  // namespace mustardproxy::gateway_detail

#endif  // MUSTARDPROXY_GATEWAY_HEADER_NAMES_H_
