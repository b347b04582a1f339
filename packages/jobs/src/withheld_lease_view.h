#ifndef MUSTARDPROXY_JOBS_WITHHELD_LEASE_VIEW_H_
#define MUSTARDPROXY_JOBS_WITHHELD_LEASE_VIEW_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>
#include <vector>

#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job_peers.h"
#include "record_codec.h"

namespace mustardproxy::jobs {

/// When this process first saw each withheld lease in the store, so that a new
/// owner need not count from its election. Says nothing about whether a lease
/// is still withheld: the view may lag behind the store.
class WithheldLeaseView {
 public:
  /// Records the withheld leases as stored.
  void Note(std::string_view record, Instant now);
  /// Records that another process saw a withheld lease at this time.
  void NoteSeen(const SeenWithheldLease& lease, Instant at);
  /// @return all withheld leases that are in the view
  [[nodiscard]] std::vector<SeenWithheldLease> Seen(Instant now) const;
  void Clear() { this->seen_at.clear(); }
  /// @param read_at when this process read the lease
  /// @return a time at which the lease was already withheld
  [[nodiscard]] Instant SeenAt(const WithheldLease& lease,
                               Instant read_at) const;

 private:
  using Key = std::tuple<WorkerId, FencingToken, std::int64_t>;
  static Key KeyOf(const WithheldLease& lease) {
    return {lease.worker, lease.token, lease.number};
  }

  std::map<Key, Instant> seen_at;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_WITHHELD_LEASE_VIEW_H_
