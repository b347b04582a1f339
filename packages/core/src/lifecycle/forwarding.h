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

/// Requests forwarded to peers.
class Forwarding {
 public:
  explicit Forwarding(Parts* parts) : parts(parts) {}

  /// Forwards the request to a peer whose digest shows enough free resources,
  /// and removes it from the local queue.
  /// @return false if no peer has enough free resources, or the hop limit is
  ///   reached
  [[nodiscard]] bool TryForward(ActiveRequest* entry, Reach reach);
  /// Forwards the request to a peer with enough free resources, else to a peer
  /// of the own data centre that owns workers and queues or refuses it.
  [[nodiscard]] bool TryForwardToOwner(ActiveRequest* entry);
  /// Sends a cancellation to the peer and repeats it until the peer has
  /// answered the request.
  void Cancel(ActiveRequest* entry);
  /// Repeats due cancellations.
  void Tick();
  [[nodiscard]] Instant NextWakeup() const { return this->cancels.Next(); }
  void On(const ForwardAnswered& event);
  void On(const ForwardFailed& event);
  /// @return true if the query was sent by this class
  [[nodiscard]] bool OnQueryAnswered(const QueryAnswered& event);
  /// @return the peer that accepted deferred work forwarded by this process
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
