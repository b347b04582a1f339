#ifndef MUSTARDPROXY_CORE_LIFECYCLE_QUERY_FLOW_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_QUERY_FLOW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lifecycle/timer_queue.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/request.h"

namespace mustardproxy::detail {

struct Parts;

/// Queries for the state and result of deferred work. Any process answers them,
/// if necessary by querying its peers.
class QueryFlow {
 public:
  explicit QueryFlow(Parts* parts) : parts(parts) {}

  void On(const QueryArrived& event);
  void On(const QueryAnswered& event);
  /// Answers with the durable state.
  void AnswerFromStore(std::uint64_t query, const RequestId& request);
  void Tick();
  [[nodiscard]] Instant NextWakeup() const {
    return this->cancel_deadlines.Next();
  }

 private:
  /// A query that is sent to peers one after the other.
  struct RelayedQuery {
    std::uint64_t query = 0;
    RequestId request;
    bool cancel = false;
    bool from_peer = false;
    std::vector<ProcessId> peers_left;
  };

  /// Stops tasks of the request that other processes started, and answers
  /// whether any are left here.
  void StopOrphans(const QueryArrived& event);
  [[nodiscard]] bool AnswerHere(const QueryArrived& event);
  [[nodiscard]] std::optional<DeferredStatus> StatusHere(
      const RequestId& request) const;
  /// @return the last state read from a journal that this process no longer
  ///   holds
  [[nodiscard]] std::optional<DeferredStatus> LastKnown(
      const RequestId& request) const;
  [[nodiscard]] std::vector<ProcessId> PeersToQuery(const RequestId& request,
                                                    bool from_peer) const;
  void QueryNextPeer(RelayedQuery next);
  void Answer(std::uint64_t query, std::optional<DeferredStatus> status);

  Parts* parts;
  /// Keyed by the number of the query sent to the peer.
  std::map<std::uint64_t, RelayedQuery> relayed_queries;
  /// Cancellations that are not settled yet.
  std::map<std::uint64_t, RequestId> cancelling;
  TimerQueue<std::uint64_t> cancel_deadlines;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_QUERY_FLOW_H_
