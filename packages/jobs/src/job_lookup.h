#ifndef MUSTARDPROXY_JOBS_JOB_LOOKUP_H_
#define MUSTARDPROXY_JOBS_JOB_LOOKUP_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "callback_guard.h"
#include "mustardproxy/core/result.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/key_value_store.h"

namespace mustardproxy::jobs {

/// Finds out the state of a job from the store alone, while the owner can't be
/// asked or has not heard of the job.
///
/// Its keys are read one by one: a job is there until its end takes its place,
/// so one that is missed is found at the next. Progress alone tells nothing: it
/// may be that of a job that is still being stored.
class JobLookup {
 public:
  using Done = std::function<void(Result<JobStatus>)>;

  JobLookup(Executor* executor, KeyValueStore* store);

  /// Ends with the state, `kUnknownRequest`, or `kPlatformUnavailable` once
  /// `timeout` has passed.
  void Find(const JobId& id, Duration timeout, Done done);

 private:
  struct Search {
    JobId id;
    Instant deadline;
    Done done;
  };
  using SearchPtr = std::shared_ptr<Search>;

  void ReadProgress(const SearchPtr& search);
  void ReadCancel(const SearchPtr& search, const JobStatus& status);
  void ReadJob(const SearchPtr& search);
  /// @param otherwise what its other keys say, if it has not ended
  void ReadEnd(const SearchPtr& search, const Result<JobStatus>& otherwise);
  /// @return true if the search was ended or will be tried again
  bool HandleFailure(const SearchPtr& search, const Result<StoreItem>& item);

  Executor* executor;
  KeyValueStore* store;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_LOOKUP_H_
