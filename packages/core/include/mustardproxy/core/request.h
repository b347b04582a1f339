#ifndef MUSTARDPROXY_CORE_REQUEST_H_
#define MUSTARDPROXY_CORE_REQUEST_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// Opaque bytes, shared so that the core never copies them. A null pointer
/// means an empty body.
using Body = std::shared_ptr<const std::string>;

/// @return the bytes of `body`, empty if there are none
inline std::string_view View(const Body& body) {
  if (!body) return {};
  return *body;
}

/// Possible outcomes of a request, reported to the caller as distinct results.
enum class Outcome {
  /// The request ran; the answer is the complete answer of the upstream.
  kCompleted,
  /// Reported only by a process that knows that no task of the request was
  /// started.
  kNotRun,
  /// The request may have run once.
  kUnknown,
};

/// State of deferred work as reported to its caller.
enum class DeferredState {
  kQueued,
  kRunning,
  kFinished,
  kFailed,
  kCancelled,
  kUnknown,
};

/// A caller's request.
struct Request {
  RequestId id;
  ServiceId service;
  TeamId team;
  /// Empty if the caller sent none.
  std::string idempotency_key;
  /// Remaining time for which the caller waits, counted from the arrival at
  /// this process.
  Duration timeout = std::chrono::seconds(30);
  Body body;
  /// Number of hops between entry processes so far: at most 1 within a data
  /// centre and 2 in total, which prevents forwarding loops.
  std::int32_t hops = 0;
  /// Process that answers the caller; the origin of a forwarded request.
  ProcessId origin;
};

/// The final answer to a request.
struct Answer {
  Outcome outcome = Outcome::kNotRun;
  /// HTTP status for the caller; the upstream's own status if completed.
  std::int32_t status = 503;
  std::string content_type;
  Body body;
  /// Set unless `outcome` is `kCompleted`.
  std::error_code error;
  /// One sentence that names the resource, field or limit that caused the
  /// error.
  std::string detail;
  /// Time after which a retry is useful; zero if a retry does not help.
  Duration retry_after{0};
};

/// Answer to a query about deferred work.
struct DeferredStatus {
  RequestId id;
  DeferredState state = DeferredState::kUnknown;
  std::string detail;
  /// Set once the work has finished.
  Answer result;
  bool ran = false;
};

/// Specification of a task as sent to a worker.
struct TaskSpec {
  TaskId task;
  RequestId request;
  ServiceId service;
  Resources resources;
  Duration max_run{0};
  Body body;
  /// The worker answers as soon as the task has started, and the end of the
  /// task is reported with a renewal. Otherwise the answer is the task's
  /// result.
  bool detached = false;
};

/// How a task ended on its worker.
enum class TaskEnd {
  kFinished,
  /// Ran and reported failure (status 500 and above).
  kFailed,
  /// Stopped on request, by its time limit, or because its lease expired.
  kStopped,
  kCheckpointed,
};

/// A task that has ended, as the worker reports it.
struct EndedTask {
  TaskId task;
  RequestId request;
  TaskEnd end = TaskEnd::kFinished;
  std::int32_t status = 200;
  std::string content_type;
  Body body;
  Duration run_time{0};
  Resources peak_usage;
};

/// A task that a worker is running, as the worker reports it.
struct RunningTask {
  TaskId task;
  RequestId request;
  ServiceId service;
  Resources resources;
  Duration running_for{0};
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_REQUEST_H_
