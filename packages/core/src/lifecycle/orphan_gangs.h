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

/// Stops the remaining tasks of gangs whose entry process is gone.
///
/// Failure: a process dies after it has started only some tasks of a gang. The
/// others are never started, and the started ones would occupy their workers
/// until their time limit. The next owner of such a worker sees a running task
/// of a gang that no live process tracks. Gangs of deferred work are left to
/// the adopter of the journal; non-idempotent tasks are left to end by
/// themselves.
class OrphanGangs {
 public:
  explicit OrphanGangs(Parts* parts) : parts(parts) {}

  /// Handles a task on an owned worker that this process did not start.
  void OnForeignTask(const RequestId& request, const ServiceId& service);
  /// @return true if the query was sent by this class
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
  /// Peers still to be queried whether they track the request.
  std::map<RequestId, std::vector<ProcessId>> peers_to_query;
  std::map<std::uint64_t, RequestId> pending_queries;
  TimerQueue<RequestId> retries;
  /// Times at which the peers are queried again about a gang that one of them
  /// tracks; `poll_delays` holds the current delays.
  TimerQueue<RequestId> next_queries;
  std::map<RequestId, Duration> poll_delays;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_ORPHAN_GANGS_H_
