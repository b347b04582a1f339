#ifndef MUSTARDPROXY_JOBS_STORED_PROGRESS_H_
#define MUSTARDPROXY_JOBS_STORED_PROGRESS_H_

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "callback_guard.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"

namespace mustardproxy::jobs {

/// The progress of jobs that former owners have stored, from its reading at a
/// takeover until each job has taken up its own.
///
/// Some of it belongs to jobs that are not in the store: they were placed while
/// they were being stored. Such a job may still appear. Failure guarded
/// against: the former owner starts it on a worker that does not obey the new
/// one yet, and the new one, which learns of the job later, would start it
/// again.
class StoredProgress {
 public:
  /// What it works with; all outlive it.
  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    FencingToken token = 0;
  };

  /// @param on_read called once all has been read
  StoredProgress(const Parts& parts, std::function<void()> on_read);

  void Read();
  [[nodiscard]] bool Complete() const { return this->complete; }
  /// @return what is stored of a job; it is given out once
  [[nodiscard]] std::optional<StoreItem> Claim(const JobId& id);
  /// Removes progress from the store that no job has claimed for so long that
  /// none will.
  void RemoveUnclaimed();
  /// Removes a job's progress from the store, if it still has this revision.
  void Remove(const JobId& id, Revision revision);

 private:
  void ReadFrom(const std::string& after);
  void OnPage(const Result<StorePage>& page);

  Parts parts;
  std::function<void()> on_read;
  std::unordered_map<JobId, StoreItem> items;
  bool complete = false;
  Instant completed_at;
  /// The last attempt to read has failed, and has been told of.
  bool failing = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_STORED_PROGRESS_H_
