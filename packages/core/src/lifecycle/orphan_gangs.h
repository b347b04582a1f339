#ifndef MUSTARDPROXY_CORE_LIFECYCLE_ORPHAN_GANGS_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_ORPHAN_GANGS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "lifecycle/timer_queue.h"
#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"

namespace mustardproxy::detail {

struct Parts;

/// Stops what is left of gangs whose process is gone.
///
/// Failure: a process dies after it has started a part of a gang. Nobody starts
/// the rest, and the part would hold its workers until its time limit. It shows
/// to the next owner of a worker as a running task of a gang that no live
/// process follows. Gangs of deferred work are left to whoever adopts the
/// journal; tasks that must not run twice are left to end by themselves.
class OrphanGangs {
 public:
  explicit OrphanGangs(Parts* parts) : parts(parts) {}

  /// A task that this process did not start runs at one of its workers.
  void OnForeignTask(const RequestId& request, const ServiceId& service);
  /// @return true if the answer was to a question that this part asked
  [[nodiscard]] bool OnQueryAnswered(const QueryAnswered& event);
  void Tick();
  [[nodiscard]] Instant NextWakeup() const {
    return std::min(this->retries.Next(), this->next_queries.Next());
  }

 private:
  void QueryPeers(const RequestId& request);
  void QueryNextPeer(const RequestId& request);
  void Forget(const RequestId& request);

  Parts* parts;
  /// Peers still to be asked whether they follow the request.
  std::map<RequestId, std::vector<ProcessId>> peers_to_query;
  std::map<std::uint64_t, RequestId> pending_queries;
  TimerQueue<RequestId> retries;
  /// When a gang that a peer says it follows is asked about again, and the
  /// pause until then.
  TimerQueue<RequestId> next_queries;
  std::map<RequestId, Duration> poll_delays;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_ORPHAN_GANGS_H_
