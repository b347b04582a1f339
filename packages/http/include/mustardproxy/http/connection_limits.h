#ifndef MUSTARDPROXY_HTTP_CONNECTION_LIMITS_H_
#define MUSTARDPROXY_HTTP_CONNECTION_LIMITS_H_

#include <chrono>
#include <cstdint>

namespace mustardproxy::http {

/// Bounds on one connection.
struct ConnectionLimits {
  std::int32_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  /// For the whole header; also for the first byte on a new connection.
  std::chrono::milliseconds header_time = std::chrono::seconds(10);
  std::chrono::milliseconds body_time = std::chrono::seconds(30);
  std::chrono::milliseconds send_time = std::chrono::seconds(30);
  /// Between two requests of a connection.
  std::chrono::milliseconds idle_time = std::chrono::seconds(60);
};

}  // namespace mustardproxy::http

#endif  // MUSTARDPROXY_HTTP_CONNECTION_LIMITS_H_
