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

/// Opaque bytes, shared so that the core never copies them. Null is empty.
using Body = std::shared_ptr<const std::string>;

/// @return the bytes of `body`, empty if there are none
inline std::string_view View(const Body& body) {
  if (!body) return {};
  return *body;
}

/// The three ends of a request, kept apart to the caller.
enum class Outcome {
  /// Ran; the answer is the upstream's, whole.
  kCompleted,
  /// Said only by a process that knows that no task of it started.
  kNotRun,
  /// May have run once.
  kUnknown,
};

/// State of deferred work as its caller sees it.
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
  /// Empty when the caller gave none.
  std::string idempotency_key;
  /// Time the caller still waits, counted from the arrival at this process.
  Duration timeout = std::chrono::seconds(30);
  Body body;
  /// Hops between entry processes so far; 1 at most within a data centre and 2
  /// in all, so that requests never travel in circles.
  std::int32_t hops = 0;
  /// Process that answers the caller; the origin of a forwarded request.
  ProcessId origin;
};

/// The final answer to a request.
struct Answer {
  Outcome outcome = Outcome::kNotRun;
  /// HTTP status towards the caller; the upstream's own when completed.
  std::int32_t status = 503;
  std::string content_type;
  Body body;
  /// Set unless `outcome` is completed.
  std::error_code error;
  /// One sentence that names the resource, field or limit at fault.
  std::string detail;
  /// When to come back; zero when coming back does not help.
  Duration retry_after{0};
};

/// Answer to a question about deferred work.
struct DeferredStatus {
  RequestId id;
  DeferredState state = DeferredState::kUnknown;
  std::string detail;
  /// Set once finished.
  Answer result;
  bool ran = false;
};

/// One task as it is sent to a worker.
struct TaskSpec {
  TaskId task;
  RequestId request;
  ServiceId service;
  Resources resources;
  Duration max_run{0};
  Body body;
  /// The worker answers as soon as the task has started, and its end is learnt
  /// from renewals. Otherwise the answer is the task's result.
  bool detached = false;
};

/// How a task ended on its worker.
enum class TaskEnd {
  kFinished,
  /// Ran and reported failure (status 500 and above).
  kFailed,
  /// Stopped by order, by its time limit, or because its lease lapsed.
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
