#ifndef MUSTARDPROXY_CORE_LIFECYCLE_PEER_CONSENT_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_PEER_CONSENT_H_

#include <cstdint>
#include <map>
#include <set>

#include "mustardproxy/core/events.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

struct Parts;

/// Determines whether a peer may be renewing the lease of a task whose worker
/// this process can't reach.
///
/// Failure: this process can't reach a worker, and a peer that can has become
/// its owner and renews the leases of all tasks there. The task would then
/// outlive its last known lease and run twice at the same time. So each process
/// of the data centre is queried; it stops the tasks of the request and reports
/// when none is left. A process that does not answer may be such an owner.
class PeerConsent {
 public:
  explicit PeerConsent(Parts* parts) : parts(parts) {}

  /// Queries the peers that have not consented yet.
  void QueryPeers(const RequestId& request);
  /// @return the time at which the last peer reported that no task of the
  ///   request runs at its workers; `Instant::max()` while a report is missing
  [[nodiscard]] Instant LastConsentAt(const RequestId& request) const;
  void Forget(const RequestId& request);
  /// @return true if the query was sent by this class
  [[nodiscard]] bool OnQueryAnswered(const QueryAnswered& event);

 private:
  struct Inquiry {
    std::map<ProcessId, Instant> consented;
    std::set<ProcessId> queried;
  };
  struct PendingQuery {
    RequestId request;
    ProcessId peer;
  };

  Parts* parts;
  std::map<RequestId, Inquiry> inquiries;
  std::map<std::uint64_t, PendingQuery> pending_queries;
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_PEER_CONSENT_H_
