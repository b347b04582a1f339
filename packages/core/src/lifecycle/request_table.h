#ifndef MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_TABLE_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_TABLE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "lifecycle/attempt.h"
#include "lifecycle/service_terms.h"
#include "lifecycle/timer_queue.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// The event that a request is waiting for.
enum class RequestPhase {
  /// The claim on its idempotency key.
  kClaiming,
  /// Resources on a worker.
  kQueued,
  /// The answer of its tasks.
  kRunning,
  /// A peer's answer.
  kForwarded,
  /// The answer of a peer to a recall, sent after the connection to it was
  /// lost.
  kRecalling,
  /// The *accepted* record of deferred work.
  kJournalling,
};

/// A request in progress in this process.
struct ActiveRequest {
  Request request;
  ServiceTerms terms;
  RequestPhase phase = RequestPhase::kClaiming;
  Instant arrived;
  /// End of the caller's timeout.
  Instant deadline;
  /// Latest time of placement.
  Instant placement_deadline;
  Instant queued_at;
  /// Attempts whose tasks may have run.
  std::int32_t runs = 0;
  /// Number of the last attempt; task ids are never used twice.
  std::int32_t last_attempt = 0;
  std::int32_t forwards = 0;
  Attempt attempt;
  std::vector<WorkerId> avoid;
  std::vector<ProcessId> avoid_peers;
  ProcessId peer;
  /// Query sent to the lost peer; valid while `kRecalling`.
  std::uint64_t recall_query = 0;
  /// An attempt may have run, so the answer must not be "not run".
  bool may_have_run = false;
  /// This request holds the claim on its idempotency key.
  bool claimed = false;
  bool caller_gone = false;
  /// Delay between the last two cancellations sent to the peer.
  Duration cancel_delay{0};
  /// Queries of peers that recalled the request, answered once its tasks are
  /// stopped.
  std::vector<std::uint64_t> recalls;
  /// Merged answer of the last attempt in which a task reported failure.
  std::optional<Answer> last_failure;
};

/// The requests in progress and the ids of recently answered ones.
class RequestTable {
 public:
  ActiveRequest* Add(ActiveRequest request);
  [[nodiscard]] ActiveRequest* Find(const RequestId& request);
  /// Removes an answered request; its id is remembered to detect duplicates.
  void Remove(const RequestId& request);
  /// @return true if the request is in progress or was answered recently
  [[nodiscard]] bool Seen(const RequestId& request) const;
  void SetDeadline(const RequestId& request, Instant at) {
    this->deadlines.Set(request, at);
  }
  [[nodiscard]] std::vector<RequestId> TakeExpired(Instant now);
  [[nodiscard]] Instant NextDeadline() const { return this->deadlines.Next(); }
  [[nodiscard]] std::size_t Size() const { return this->active.size(); }
  /// Requests that became queued, oldest first; entries may be out of date.
  std::deque<RequestId> queued;

 private:
  std::unordered_map<RequestId, ActiveRequest> active;
  TimerQueue<RequestId> deadlines;
  std::unordered_set<RequestId> answered;
  std::deque<RequestId> answered_order;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_REQUEST_TABLE_H_
