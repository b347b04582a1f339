#ifndef MUSTARDPROXY_BENCH_ENTRY_CALLERS_H_
#define MUSTARDPROXY_BENCH_ENTRY_CALLERS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardproxy::bench {

/// Callers that each send their next request when the last is answered.
struct CallerPlan {
  std::string url;
  /// Callers, each with a kept-open connection of its own.
  std::int32_t connections = 1;
  std::chrono::milliseconds length = std::chrono::seconds(5);
};

/// What the callers saw.
struct CallerResult {
  std::int64_t completed = 0;
  /// Answered otherwise, or not at all.
  std::int64_t others = 0;
  double seconds = 0;
  /// From sending to the answer, ascending.
  std::vector<double> answer_ms;

  [[nodiscard]] double CompletedPerSecond() const;
  [[nodiscard]] double AnswerMs(double quantile) const;
};

[[nodiscard]] CallerResult RunCallers(const CallerPlan& plan);

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_ENTRY_CALLERS_H_
