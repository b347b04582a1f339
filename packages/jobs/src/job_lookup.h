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

/// Determines the state of a job from the store alone, when the owner can't be
/// asked or does not know the job.
///
/// The keys are read one after the other. A job's key exists until the key of
/// its end replaces it, so a job that is missed at one key is found at the
/// next. Progress alone is no evidence, because its job may still be in the
/// process of being stored.
class JobLookup {
 public:
  using Done = std::function<void(Result<JobStatus>)>;

  JobLookup(Executor* executor, KeyValueStore* store);

  /// Passes the state to `done`, or `kUnknownRequest`, or
  /// `kPlatformUnavailable` once `timeout` has passed.
  void Find(const JobId& id, Duration timeout, Done done);

 private:
  struct Search {
    JobId id;
    Instant deadline;
    Done done;
    /// From the record of the job.
    JobAccess access;
  };
  using SearchPtr = std::shared_ptr<Search>;

  void ReadProgress(const SearchPtr& search);
  void ReadCancel(const SearchPtr& search, const JobStatus& status);
  void ReadJob(const SearchPtr& search);
  /// @param if_not_ended result from the other keys, for a job that has not
  /// ended
  void ReadEnd(const SearchPtr& search, const Result<JobStatus>& if_not_ended);
  /// @return true if the search was ended or a retry is scheduled
  bool HandleFailure(const SearchPtr& search, const Result<StoreItem>& item);

  Executor* executor;
  KeyValueStore* store;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_JOB_LOOKUP_H_
