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

/// Attempt numbers of one request at different processes start apart, so that
/// no two of them make the same task id.
inline constexpr std::int32_t kAttemptsPerProcess = 1000;

/// A request from its arrival to its one answer: admission, placement here or
/// at a peer, attempts, and what the caller is told.
class RequestFlow {
 public:
  explicit RequestFlow(Parts* parts) : parts(parts) {}

  void On(const RequestArrived& event);
  /// The caller is gone, or the peer that forwarded the request takes it back.
  void On(const CancelRequested& event);
  /// The tasks of a queued request were placed together.
  void OnPlaced(std::span<const Placement> placements);
  void OnTaskUpdate(const TaskUpdate& update);
  /// The scheduler gave up on a queued request.
  void OnExpired(const RequestId& request);
  /// A task is stopped to make room.
  void OnPreempted(const Preemption& preemption);
  /// Deals with deadlines and with requests that wait for a peer to show room.
  void Tick();
  [[nodiscard]] Instant NextWakeup() const;

  /// Places a request that is allowed to start: here if it fits now, else at a
  /// peer, else in the queue; else it is refused.
  void Place(ActiveRequest* entry);
  /// A peer lost sight of a request that it forwarded here, and wants its tasks
  /// stopped; the question is answered when no task of it runs any more.
  void Recall(ActiveRequest* entry, std::uint64_t query);
  /// Goes on with a request that provably does not run anywhere now.
  /// @param last answer for the caller if it can't be tried again
  void Retry(ActiveRequest* entry, Answer last);

 private:
  [[nodiscard]] bool Admit(const Request& request);
  [[nodiscard]] Admission Queue(ActiveRequest* entry);
  /// Forwards what could not be queued here.
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
