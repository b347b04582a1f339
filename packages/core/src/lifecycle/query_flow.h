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

/// Questions about the state and result of deferred work, which any process
/// answers for any other.
class QueryFlow {
 public:
  explicit QueryFlow(Parts* parts) : parts(parts) {}

  void On(const QueryArrived& event);
  void On(const QueryAnswered& event);
  /// Answers with what is durable.
  void AnswerFromStore(std::uint64_t query, const RequestId& request);
  void Tick();
  [[nodiscard]] Instant NextWakeup() const {
    return this->cancel_deadlines.Next();
  }

 private:
  /// A question that peers are asked, one after the other.
  struct RelayedQuery {
    std::uint64_t query = 0;
    RequestId request;
    bool cancel = false;
    bool from_peer = false;
    std::vector<ProcessId> peers_left;
  };

  /// Stops what other processes have started of the request, and says whether
  /// anything of it is left here.
  void StopOrphans(const QueryArrived& event);
  [[nodiscard]] bool AnswerHere(const QueryArrived& event);
  [[nodiscard]] std::optional<DeferredStatus> StatusHere(
      const RequestId& request) const;
  /// What stood in a journal that this process has given up.
  [[nodiscard]] std::optional<DeferredStatus> LastKnown(
      const RequestId& request) const;
  [[nodiscard]] std::vector<ProcessId> PeersToQuery(const RequestId& request,
                                                    bool from_peer) const;
  void QueryNextPeer(RelayedQuery query);
  void Answer(std::uint64_t query, std::optional<DeferredStatus> status);

  Parts* parts;
  /// By the number of the question to the peer.
  std::map<std::uint64_t, RelayedQuery> relayed_queries;
  /// Cancellations that wait to be settled.
  std::map<std::uint64_t, RequestId> cancelling;
  TimerQueue<std::uint64_t> cancel_deadlines;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_QUERY_FLOW_H_
