#ifndef MUSTARDPROXY_JOBS_KEYS_H_
#define MUSTARDPROXY_JOBS_KEYS_H_

#include <string>
#include <string_view>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/jobs/job.h"

/// Names of all keys that this package writes to the store.
///
///     mustardproxy/cell/node/<process>   a live process, under its lease
///     mustardproxy/cell/owner/<group>    the owner's process, under its lease;
///                                        its revision is the fencing token
///     mustardproxy/intake/job/<id>       an accepted job that is not final
///     mustardproxy/intake/cancel/<id>    it was cancelled
///     mustardproxy/progress/<id>         how far it is; the owner's alone
///     mustardproxy/ended/<id>            how it ended; takes the place of its
///                                        job and progress, so that a new
///                                        owner reads active jobs only
namespace mustardproxy::jobs::keys {

inline constexpr std::string_view kCell = "mustardproxy/cell/";
inline constexpr std::string_view kNodes = "mustardproxy/cell/node/";
inline constexpr std::string_view kOwners = "mustardproxy/cell/owner/";
inline constexpr std::string_view kIntake = "mustardproxy/intake/";
inline constexpr std::string_view kJobs = "mustardproxy/intake/job/";
inline constexpr std::string_view kCancels = "mustardproxy/intake/cancel/";
inline constexpr std::string_view kProgress = "mustardproxy/progress/";
inline constexpr std::string_view kEnded = "mustardproxy/ended/";

/// The one placement group of today's sizes. With more workers than one process
/// can serve, groups are sets of racks, and this becomes part of the keys
/// above.
inline constexpr std::string_view kGroup = "all";

[[nodiscard]] inline std::string Node(const ProcessId& process) {
  return std::string(kNodes) + process.Text();
}
[[nodiscard]] inline std::string Owner() {
  return std::string(kOwners) + std::string(kGroup);
}
[[nodiscard]] inline std::string OfJob(const JobId& id) {
  return std::string(kJobs) + id.Text();
}
[[nodiscard]] inline std::string OfCancel(const JobId& id) {
  return std::string(kCancels) + id.Text();
}
[[nodiscard]] inline std::string OfProgress(const JobId& id) {
  return std::string(kProgress) + id.Text();
}
[[nodiscard]] inline std::string OfEnded(const JobId& id) {
  return std::string(kEnded) + id.Text();
}

}  // namespace mustardproxy::jobs::keys

#endif  // MUSTARDPROXY_JOBS_KEYS_H_
