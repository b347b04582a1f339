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

/// Progress records of previous owners, from the time they are read at a
/// takeover until the corresponding job claims its record.
///
/// Some records belong to jobs that are not in the store, because they were
/// placed while the job was still being stored. Such a job may still appear.
/// Failure: the previous owner starts such a job on a worker that has not
/// accepted the new owner's token yet, and the new owner, which reads the job
/// later, starts it again.
class StoredProgress {
 public:
  /// Dependencies; all of them must outlive this object.
  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    FencingToken token = 0;
  };

  /// @param on_read called once all records are read
  StoredProgress(const Parts& parts, std::function<void()> on_read);

  void Read();
  [[nodiscard]] bool Complete() const { return this->complete; }
  /// @return the stored progress of a job; each record is returned only once
  [[nodiscard]] std::optional<StoreItem> Claim(const JobId& id);
  /// Removes records that no job has claimed within the retention time.
  void RemoveUnclaimed();
  /// Removes the progress of a job from the store if it still has this
  /// revision.
  void Remove(const JobId& id, Revision revision);

 private:
  void ReadFrom(const std::string& after);
  void OnPage(const Result<StorePage>& page);

  Parts parts;
  std::function<void()> on_read;
  std::unordered_map<JobId, StoreItem> items;
  bool complete = false;
  Instant completed_at;
  /// The last attempt to read failed and was logged.
  bool failing = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_STORED_PROGRESS_H_
