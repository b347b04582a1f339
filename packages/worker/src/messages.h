#ifndef MUSTARDPROXY_WORKER_MESSAGES_H_
#define MUSTARDPROXY_WORKER_MESSAGES_H_

#include <string>
#include <string_view>

#include "mustardproxy/core/actions.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/core/worker.h"
#include "mustardproxy/http/client_connection.h"
#include "received_ends.h"

/// The worker protocol of docs/PROTOCOLS.md: texts out, typed messages in.
namespace mustardproxy::worker_detail {

/// Who sends orders.
struct Sender {
  ProcessId process;
  Incarnation incarnation = 0;
  /// Lease of each task, renewed with the worker's.
  Duration task_lease{0};
};

std::string AttachBody(const Sender& sender, const AttachWorker& action);
/// @param received ends that the report may leave out
std::string RenewBody(const Sender& sender, const RenewWorker& action,
                      const ReceivedRanges& received);
std::string ReleaseBody(const Sender& sender, const ReleaseWorker& action);
std::string StopBody(const StopTask& action);
/// @return path of a task, its id in percent encoding
std::string TaskPath(const TaskId& task);
/// The body stays a view into the action's.
http::HttpRequest StartRequest(const Sender& sender, const StartTask& action);

/// Why a worker refused an order.
enum class RefusalReason {
  kStaleEpoch,
  kLeaseHeld,
  kUnknownTask,
  kDuplicateTask,
  kNoRoom,
  kLeaving,
};

struct Refusal {
  RefusalReason reason = RefusalReason::kStaleEpoch;
  Epoch highest = 0;
  ProcessId holder;
  Duration lease_left{0};
  /// Task of the refused start, if the worker names it.
  TaskId task;
};

/// Answer to `GET /v1/tasks/{task}`.
struct TaskState {
  TaskQueried::State state = TaskQueried::State::kUnreachable;
  /// The worker still has the answer of the ended task.
  bool has_ended = false;
  EndedTask ended;
};

/// All of these give kMalformedReply for a text that is not such a message.
Result<Refusal> ParseRefusal(const std::string& text);
Result<WorkerReport> ParseReport(const std::string& text);
/// @param task the state must be of this task
Result<TaskState> ParseTaskState(const std::string& text, const TaskId& task);
/// @return true for `{"stopped": true}`
Result<bool> ParseStopped(const std::string& text);
/// Reads the answer to an attached start.
/// @return kAnswerIncomplete if it is not whole, or another task's
Result<EndedTask> ReadEnded(const http::HttpReply& answer,
                            const StartTask& action);
/// @return the number that the answer to an attached start tells; 0 if none
EndNumber ReadEndNumber(const http::HttpReply& answer);

}  // namespace mustardproxy::worker_detail

#endif  // MUSTARDPROXY_WORKER_MESSAGES_H_
