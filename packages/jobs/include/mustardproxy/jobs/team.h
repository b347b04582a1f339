#ifndef MUSTARDPROXY_JOBS_TEAM_H_
#define MUSTARDPROXY_JOBS_TEAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/jobs/key_digest.h"

namespace mustardproxy::jobs {

/// A team of the desired state: who may call, and how much it may run.
struct Team {
  TeamId id;
  /// Digests of the API keys that its calls may carry.
  std::vector<KeyDigest> keys;
  /// 0 is the highest.
  std::int32_t priority = 0;
  /// Share of the team when all capacity is in use; also the number of jobs per
  /// second that it is entitled to submit.
  double weight = 1.0;
  /// Upper bound for the resources of all its running tasks together; a
  /// component of 0 is not limited.
  Resources cap;

  friend bool operator==(const Team&, const Team&) = default;
};

/// Who submitted a job, and may therefore see and cancel it.
struct JobAccess {
  /// Empty for a job that was submitted without a key, or stored by a version
  /// that did not know teams: such a job has no cap, and any valid call may see
  /// and cancel it.
  TeamId team;
  /// Fingerprint of the key that the job was submitted with. The key keeps its
  /// access if its team is renamed.
  std::string key_fingerprint;

  friend bool operator==(const JobAccess&, const JobAccess&) = default;
};

/// @return true if a call may see and cancel a job
/// @param caller team and key of the call; empty for one that was admitted
///   without a key, because its queue is public or it is an operator's
[[nodiscard]] bool MayAccess(const JobAccess& caller, const JobAccess& job);

/// @return how many of `limit` tasks may start without exceeding the cap
/// @param used resources of the team's running tasks; may exceed the cap after
///   it was lowered
/// @param each resources of one task
[[nodiscard]] std::int64_t CountUnderCap(const Resources& cap,
                                         const Resources& used,
                                         const Resources& each,
                                         std::int64_t limit);

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_TEAM_H_
