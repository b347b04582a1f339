#ifndef MUSTARDPROXY_STANDIN_SRC_RATE_LIMIT_H_
#define MUSTARDPROXY_STANDIN_SRC_RATE_LIMIT_H_

#include <chrono>
#include <cstdint>

namespace mustardproxy::standin {

/// Token bucket that holds a second's worth. Not thread-safe.
class RateLimit {
 public:
  explicit RateLimit(std::int64_t per_second);

  /// Changes the rate and fills the bucket.
  void SetRate(std::int64_t per_second);
  /// @return true if a call may pass now
  [[nodiscard]] bool TryTake();

 private:
  double rate;
  double tokens;
  std::chrono::steady_clock::time_point refilled;
};

}  // namespace mustardproxy::standin

#endif  // MUSTARDPROXY_STANDIN_SRC_RATE_LIMIT_H_
