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

/// What a request is waiting for.
enum class RequestPhase {
  /// The claim on its idempotency key.
  kClaiming,
  /// Room on a worker.
  kQueued,
  /// The answer of its tasks.
  kRunning,
  /// A peer's answer.
  kForwarded,
  /// A peer that was lost, and then asked what became of the request.
  kRecalling,
  /// The *accepted* record of deferred work.
  kJournalling,
};

/// A request that somebody waits for here.
struct ActiveRequest {
  Request request;
  ServiceTerms terms;
  RequestPhase phase = RequestPhase::kClaiming;
  Instant arrived;
  /// When the caller stops waiting.
  Instant deadline;
  /// When waiting for room ends.
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
  /// Question to the lost peer, while `kRecalling`.
  std::uint64_t recall_query = 0;
  /// An attempt may have run, so the answer can't be "not run" any more.
  bool may_have_run = false;
  /// The key's claim is held by this process.
  bool claimed = false;
  bool caller_gone = false;
  /// Time between the last two times that the peer was told so.
  Duration cancel_delay{0};
  /// Questions of peers that wait for its tasks to be stopped.
  std::vector<std::uint64_t> recalls;
  /// Upstream's last answer, a failure.
  std::optional<Answer> last_failure;
};

/// The requests in progress, and which ids were answered lately.
class RequestTable {
 public:
  ActiveRequest* Add(ActiveRequest request);
  [[nodiscard]] ActiveRequest* Find(const RequestId& request);
  /// The request was answered; a duplicate that arrives later is recognised.
  void Remove(const RequestId& request);
  /// @return true if the id is in progress or was answered lately
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
