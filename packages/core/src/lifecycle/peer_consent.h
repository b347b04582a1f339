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

/// Whether any peer may keep a task alive that this process has lost sight of.
///
/// Failure: this process can't reach a worker any more, and a peer that can has
/// become its owner and renews the leases of all that runs there. Waiting for
/// the lease to lapse would prove nothing, and a review would run in two places
/// at once. So each process of the data centre is asked; it stops what it finds
/// of the request and says when nothing of it is left. A process that does not
/// answer may be such an owner.
class PeerConsent {
 public:
  explicit PeerConsent(Parts* parts) : parts(parts) {}

  /// Asks the peers that have not consented yet.
  void QueryPeers(const RequestId& request);
  /// @return when the last peer said that nothing of the request runs at its
  ///   workers; `Instant::max()` while one has not
  [[nodiscard]] Instant LastConsentAt(const RequestId& request) const;
  void Forget(const RequestId& request);
  /// @return true if the answer was to a question that this part asked
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
