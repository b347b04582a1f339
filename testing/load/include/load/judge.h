#ifndef MUSTARDPROXY_LOAD_JUDGE_H_
#define MUSTARDPROXY_LOAD_JUDGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "load/sent_request.h"

namespace mustardproxy::load {

/// One run of one task, as its worker logged it.
struct TaskRun {
  std::string worker;
  std::string task;
  std::string request;
  std::string service;
  std::int64_t start_ms = 0;
  /// Nothing while it runs.
  std::optional<std::int64_t> end_ms;
};

/// What a worker logged.
struct WorkerLog {
  std::vector<TaskRun> runs;
  /// Starts that would have gone past its capacity; it refused them.
  std::int64_t overcommit_refused = 0;
  /// It could not be read, or had overflowed: no judgement is possible.
  bool incomplete = false;
};

/// Reads `GET /log` of a worker stand-in.
[[nodiscard]] WorkerLog ParseWorkerLog(const std::string& worker,
                                       const std::string& json);
/// Fetches the logs of all workers.
[[nodiscard]] std::vector<WorkerLog> FetchLogs(
    std::span<const std::string> worker_urls);

/// What came of a load.
struct Judgement {
  std::int64_t sent = 0;
  std::int64_t completed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  /// Answered completed without a run, got a wrong answer, or accepted and
  /// never finished.
  std::int64_t lost = 0;
  /// Ran twice though it must not, ran in two places at once, or ran though
  /// its caller was told that it did not.
  std::int64_t doubled = 0;
  std::int64_t overcommit_refused = 0;
  bool logs_complete = true;
  /// A line on each fault.
  std::vector<std::string> faults;

  [[nodiscard]] bool Clean() const {
    return this->lost == 0 && this->doubled == 0 && this->logs_complete;
  }
};

/// The workers' logs are the judge of what ran, not the counters of the system.
[[nodiscard]] Judgement Judge(std::span<const SentRequest> requests,
                              std::span<const WorkerLog> logs);
/// @return `demo: S sent, C completed, N not run, U unknown, L lost, D doubled`
[[nodiscard]] std::string Summary(std::string_view prefix,
                                  const Judgement& judgement);

}  // namespace mustardproxy::load

#endif  // MUSTARDPROXY_LOAD_JUDGE_H_
