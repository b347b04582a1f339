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

/// Final jobs for as long as callers may ask for them. Only how they ended is
/// kept: a job's tasks and payload are of no use any more.
///
/// What former owners have stored is read beside the work, page by page, so
/// that a takeover takes no longer the more jobs have ended.
class EndedJobs {
 public:
  /// What it works with; all outlive it.
  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    FencingToken token = 0;
  };

  explicit EndedJobs(const Parts& parts);

  /// A job's final state is stored.
  void Note(const JobId& id, JobStatus status);
  /// @return how it ended, or nothing if it is not known to have ended
  [[nodiscard]] std::optional<JobStatus> Find(const JobId& id) const;
  /// Reads what former owners have stored.
  void Read();
  /// Removes those from the store that nobody may ask for any more.
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
  /// In the order in which they were noted.
  std::deque<Ended> order;
  bool removing = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_ENDED_JOBS_H_
