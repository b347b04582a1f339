#ifndef MUSTARDPROXY_JOBS_SUBMISSION_RATES_H_
#define MUSTARDPROXY_JOBS_SUBMISSION_RATES_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "mustardproxy/core/ids.h"

namespace mustardproxy::jobs {

/// Counts the jobs that each team submits a second. Answers the load of one
/// team that sends many times its share: what exceeds the share starts after
/// the jobs of all teams within theirs, and only while capacity is short does
/// that make a difference.
class SubmissionRates {
 public:
  /// Counts a job by the second of its acceptance, so that the result does not
  /// depend on the order in which a new owner reads the jobs.
  /// @param weight jobs per second that the team is entitled to
  /// @return true if the team has already submitted that many in this second
  bool NoteAndCheckExcess(const TeamId& team, std::int64_t accepted_unix_ms,
                          double weight);

 private:
  /// Jobs by second since 1970.
  using Seconds = std::map<std::int64_t, std::int64_t>;

  std::unordered_map<TeamId, Seconds> teams;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_SUBMISSION_RATES_H_
