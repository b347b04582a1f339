#ifndef MUSTARDPROXY_JOBS_ENDED_JOBS_H_
#define MUSTARDPROXY_JOBS_ENDED_JOBS_H_

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"

namespace mustardproxy::jobs {

/// Final jobs, kept for as long as callers may query them. Only their final
/// state is kept; tasks and payload are no longer needed.
///
/// Records of previous owners are read page by page in the background, so that
/// the duration of a takeover does not depend on the number of final jobs.
class EndedJobs {
 public:
  /// Dependencies; all of them must outlive this object.
  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    FencingToken token = 0;
  };

  explicit EndedJobs(const Parts& parts);

  /// Records that the final state of a job is stored.
  void Note(const JobId& id, JobStatus status);
  /// @return the final state of a job, or `std::nullopt` if it is not known to
  ///   be final
  [[nodiscard]] std::optional<JobStatus> Find(const JobId& id) const;
  /// Reads the records of previous owners.
  void Read();
  /// Removes the records whose retention time has passed from the store.
  void RemoveExpired();

 private:
  struct Ended {
    JobId id;
    Instant noted;
  };

  void ReadFrom(const std::string& after);
  void OnPage(const std::string& after, const Result<StorePage>& page);
  void OnRemoved(const std::vector<JobId>& removed, const CommitResult& result);

  Parts parts;
  std::unordered_map<JobId, JobStatus> ends;
  /// In the order in which they were recorded.
  std::deque<Ended> order;
  bool removing = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_ENDED_JOBS_H_
