#ifndef MUSTARDPROXY_CORE_LIFECYCLE_FORWARDING_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_FORWARDING_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lifecycle/request_table.h"
#include "lifecycle/timer_queue.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"

namespace mustardproxy::detail {

struct Parts;

/// How far a request may be forwarded.
enum class Reach { kOwnDataCenter, kAnywhere };

/// Requests that peers run for this process.
class Forwarding {
 public:
  explicit Forwarding(Parts* parts) : parts(parts) {}

  /// Hands the request to a peer whose digest shows room; takes it out of the
  /// queue if it waits there.
  /// @return false if no peer shows room, or the hops are used up
  [[nodiscard]] bool TryForward(ActiveRequest* entry, Reach reach);
  /// Hands the request to a peer that shows room, else to one of the own data
  /// centre that owns workers, which queues or refuses it.
  [[nodiscard]] bool TryForwardToOwner(ActiveRequest* entry);
  /// Tells the peer that nobody waits for the answer any more, and says so
  /// again until the peer has answered the request.
  void Cancel(ActiveRequest* entry);
  /// Repeats cancellations that are due.
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->cancels.Next(); }
  void On(const ForwardAnswered& event);
  void On(const ForwardFailed& event);
  /// @return true if the answer was to a question that this part asked
  [[nodiscard]] bool OnQueryAnswered(const QueryAnswered& event);
  /// @return the peer that took on deferred work that arrived here
  [[nodiscard]] std::optional<ProcessId> AcceptedBy(
      const RequestId& request) const;

 private:
  void Send(ActiveRequest* entry, const ProcessId& peer);
  [[nodiscard]] std::optional<std::vector<ProcessId>> ExcludedPeers(
      const ActiveRequest& entry, Reach reach) const;
  [[nodiscard]] bool MayForward(const ActiveRequest& entry) const;
  void RecordAcceptedBy(const RequestId& request, const ProcessId& peer);
  void HandleNotRun(ActiveRequest* entry, Answer answer);

  Parts* parts;
  std::map<std::uint64_t, RequestId> recalls;
  TimerQueue<RequestId> cancels;
  std::unordered_map<RequestId, ProcessId> accepted_by;
  std::deque<RequestId> accepted_by_order;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_FORWARDING_H_
