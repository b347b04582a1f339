#ifndef MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_FLOW_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_FLOW_H_

#include <cstdint>
#include <span>
#include <string>
#include <system_error>

#include "lifecycle/request_table.h"
#include "lifecycle/task_tracker.h"
#include "mustardproxy/core/error.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/scheduler.h"

namespace mustardproxy::detail {

struct Parts;

/// Size of the range of attempt numbers of each process for one request. The
/// ranges are disjoint, so that no two processes create the same task id.
inline constexpr std::int32_t kAttemptsPerProcess = 1000;

/// Life cycle of a request from its arrival to its answer: admission, placement
/// here or at a peer, attempts, and the answer.
class RequestFlow {
 public:
  explicit RequestFlow(Parts* parts) : parts(parts) {}

  void On(const RequestArrived& event);
  /// Handles a caller that has disconnected, or a cancellation by the peer that
  /// forwarded the request.
  void On(const CancelRequested& event);
  /// Starts the tasks of a queued request, which were placed together.
  void OnPlaced(std::span<const Placement> placements);
  void OnTaskUpdate(const TaskUpdate& update);
  /// Refuses a queued request that the scheduler has expired.
  void OnExpired(const RequestId& request);
  /// Handles the preemption of a task.
  void OnPreempted(const Preemption& preemption);
  /// Handles deadlines, and forwards queued requests to peers with free
  /// resources.
  void Tick();
  [[nodiscard]] Instant NextWakeup() const;

  /// Places a request that may start: here if it fits now, else at a peer, else
  /// in the queue. Otherwise the request is refused.
  void Place(ActiveRequest* entry);
  /// Stops a request whose forwarding peer lost the connection to this process.
  /// The query is answered when no task of the request runs any more.
  void Recall(ActiveRequest* entry, std::uint64_t query);
  /// Retries a request of which certainly no task runs.
  /// @param last the answer if the request can't be retried
  void Retry(ActiveRequest* entry, Answer last);

 private:
  [[nodiscard]] bool Admit(const Request& request);
  [[nodiscard]] Admission Queue(ActiveRequest* entry);
  /// Forwards a request that could not be queued here.
  [[nodiscard]] bool ForwardUnqueued(ActiveRequest* entry,
                                     const Admission& admission);
  void StopTasks(ActiveRequest* entry);
  void Settled(ActiveRequest* entry);
  void HandleFailure(ActiveRequest* entry);
  void OnUncertain(ActiveRequest* entry, const TaskUpdate& update);
  void OnDeadline(const RequestId& request);
  void ForwardWaiting();
  [[nodiscard]] bool MayRetry(const ActiveRequest& entry);
  [[nodiscard]] bool TimeLeft(const ActiveRequest& entry) const;

  Parts* parts;
  Instant next_forward_round = Instant::max();
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_FLOW_H_
