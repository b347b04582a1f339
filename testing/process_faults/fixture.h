#ifndef MUSTARDPROXY_PROCESS_FAULTS_FIXTURE_H_
#define MUSTARDPROXY_PROCESS_FAULTS_FIXTURE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "cell/cell.h"

namespace mustardproxy::process_faults {

using cell::Cell;
using cell::CellLayout;
using cell::HttpReply;
using cell::WaitUntil;

inline constexpr int kOk = 200;

/// One line of a worker's `GET /log`, the judge of what really ran.
struct LogLine {
  std::string worker;
  /// start, end, refused or overcommit-refused.
  std::string event;
  std::string reason;
  std::string task;
  std::string request;
  std::string service;
  std::string body_hash;
  std::uint64_t epoch = 0;
  std::string holder;
  /// Milliseconds of the machine's monotonic clock, the same for all workers.
  std::int64_t at_ms = 0;
};

/// Lines of all workers.
class WorkerLogs {
 public:
  explicit WorkerLogs(std::vector<LogLine> lines);

  [[nodiscard]] const std::vector<LogLine>& Lines() const {
    return this->lines;
  }
  [[nodiscard]] std::int64_t Count(std::string_view event,
                                   std::string_view reason = {}) const;
  /// @return starts of requests with this body; tests draw a body for each
  [[nodiscard]] std::int64_t Starts(std::string_view body) const;
  /// @return starts on one worker
  [[nodiscard]] std::int64_t StartsOn(std::string_view worker) const;
  /// @return the lines that start requests with this body
  [[nodiscard]] std::vector<LogLine> StartLines(std::string_view body) const;

 private:
  std::vector<LogLine> lines;
};

/// Reads the logs of all workers; throws if one is incomplete.
[[nodiscard]] WorkerLogs ReadLogs(const Cell& cell);

/// @return a body that runs for `run_time` and is like no other of this process
[[nodiscard]] std::string FreshBody(std::chrono::milliseconds run_time);

/// A request as a caller sends it.
struct Call {
  std::string service = "screen";
  std::string body = {};
  std::string key = {};
  std::chrono::milliseconds timeout = std::chrono::seconds(15);
};

/// Sends it to an entry process on a connection of its own.
/// @return nothing if no whole answer came
[[nodiscard]] std::optional<HttpReply> Send(const Cell& cell,
                                            const std::string& entry,
                                            const Call& call);
[[nodiscard]] std::string OutcomeOf(const std::optional<HttpReply>& reply);
/// @return true if the answer is completed and is the echo of the call's body
[[nodiscard]] bool IsOwnAnswer(const std::optional<HttpReply>& reply,
                               const Call& call);

/// A call in progress on a thread of its own.
class PendingCall {
 public:
  PendingCall(const Cell& cell, const std::string& entry, Call call);
  ~PendingCall();
  PendingCall(PendingCall&&) noexcept;
  PendingCall& operator=(PendingCall&&) = delete;

  /// Waits for its end.
  [[nodiscard]] const std::optional<HttpReply>& Reply();
  [[nodiscard]] bool Ended() const { return this->state->ended; }
  [[nodiscard]] const Call& Sent() const { return this->state->call; }

 private:
  struct State {
    Call call;
    std::optional<HttpReply> reply;
    std::atomic<bool> ended = false;
  };
  std::unique_ptr<State> state;
  std::thread thread;
};

/// @return a number of an entry's status, or -1 if it does not answer
[[nodiscard]] std::int64_t StatusNumber(const Cell& cell,
                                        const std::string& entry,
                                        const std::string& field);
/// @return calls of one kind that the platform has counted
[[nodiscard]] std::int64_t PlatformCalls(const Cell& cell,
                                         const std::string& kind);
/// @return the time line of an entry process, as it gives it
[[nodiscard]] std::string Events(const Cell& cell, const std::string& entry);
/// @return the entry process that owns most workers
[[nodiscard]] std::string MainOwner(const Cell& cell);
/// @return the time now on the clock of `LogLine::at_ms`
[[nodiscard]] std::int64_t NowMs();

}  // namespace mustardproxy::process_faults

#endif  // MUSTARDPROXY_PROCESS_FAULTS_FIXTURE_H_
