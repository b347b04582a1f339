#ifndef MUSTARDPROXY_JOBS_KEYS_H_
#define MUSTARDPROXY_JOBS_KEYS_H_

#include <string>
#include <string_view>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/jobs/job.h"

/// Keys that this package writes to the store.
///
///     mustardproxy/cell/node/<process>   a live process, under its lease
///     mustardproxy/cell/owner/<group>    the owning process, under its lease;
///                                        its revision is the fencing token
///     mustardproxy/cell/owner/<group>/recent
///                                        the owners whose leases at workers
///                                        may still be in force
///     mustardproxy/cell/withheld/<group> the workers to which no owner grants
///                                        a lease; written by the owner only
///     mustardproxy/intake/job/<id>       an accepted job that is not final
///     mustardproxy/intake/cancel/<id>    a request to cancel the job
///     mustardproxy/intake/tombstone/<id>/<key>
///                                        a request to cancel a job that was
///                                        not in the store, by the fingerprint
///                                        of the caller's key
///     mustardproxy/progress/<id>         progress; written by the owner only
///     mustardproxy/ended/<id>            final state; replaces the keys of the
///                                        job and its progress, so that a new
///                                        owner reads active jobs only
namespace mustardproxy::jobs::keys {

inline constexpr std::string_view kCell = "mustardproxy/cell/";
inline constexpr std::string_view kNodes = "mustardproxy/cell/node/";
inline constexpr std::string_view kOwners = "mustardproxy/cell/owner/";
inline constexpr std::string_view kIntake = "mustardproxy/intake/";
inline constexpr std::string_view kJobs = "mustardproxy/intake/job/";
inline constexpr std::string_view kCancels = "mustardproxy/intake/cancel/";
inline constexpr std::string_view kTombstones =
    "mustardproxy/intake/tombstone/";
inline constexpr std::string_view kProgress = "mustardproxy/progress/";
inline constexpr std::string_view kEnded = "mustardproxy/ended/";

/// The only placement group at present. If there are more workers than one
/// process can serve, groups become sets of racks and part of the keys above.
inline constexpr std::string_view kGroup = "all";

[[nodiscard]] inline std::string Node(const ProcessId& process) {
  return std::string(kNodes) + process.Text();
}
[[nodiscard]] inline std::string Owner() {
  return std::string(kOwners) + std::string(kGroup);
}
/// Below the owner's key, so that processes that track the owner alone know it.
[[nodiscard]] inline std::string RecentOwners() { return Owner() + "/recent"; }
[[nodiscard]] inline std::string WithheldLeases() {
  return std::string(kCell) + "withheld/" + std::string(kGroup);
}
[[nodiscard]] inline std::string OfJob(const JobId& id) {
  return std::string(kJobs) + id.Text();
}
[[nodiscard]] inline std::string OfCancel(const JobId& id) {
  return std::string(kCancels) + id.Text();
}
[[nodiscard]] inline std::string OfTombstone(const JobId& id,
                                             std::string_view fingerprint) {
  return std::string(kTombstones) + id.Text() + "/" + std::string(fingerprint);
}
[[nodiscard]] inline std::string OfProgress(const JobId& id) {
  return std::string(kProgress) + id.Text();
}
[[nodiscard]] inline std::string OfEnded(const JobId& id) {
  return std::string(kEnded) + id.Text();
}

}  // namespace mustardproxy::jobs::keys

#endif  // MUSTARDPROXY_JOBS_KEYS_H_
