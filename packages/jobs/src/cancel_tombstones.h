#ifndef MUSTARDPROXY_JOBS_CANCEL_TOMBSTONES_H_
#define MUSTARDPROXY_JOBS_CANCEL_TOMBSTONES_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "callback_guard.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/team.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"

namespace mustardproxy::jobs {

/// Cancellations of jobs that were not in the store. A write that creates such
/// a job may still be under way, or its caller may submit it again; the job is
/// then cancelled as soon as the owner learns of it.
///
/// A tombstone is kept as long as the final state of a job, so that an id names
/// one job for the same time whether the job was stored before its cancellation
/// or after it.
class CancelTombstones {
 public:
  /// Dependencies; all of them must outlive this object.
  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    FencingToken token = 0;
  };

  explicit CancelTombstones(const Parts& parts);

  /// @return the job that the tombstone with this key cancels
  [[nodiscard]] static JobId JobOf(std::string_view key);

  /// Records a tombstone that is in the store.
  void Note(const StoreItem& item);
  /// Forgets a tombstone that was removed from the store.
  void Forget(const std::string& key);
  /// @return true if a caller who may access this job has cancelled it
  [[nodiscard]] bool Cover(const Job& job) const;
  /// Removes the tombstones whose retention time has passed from the store.
  void RemoveExpired();

 private:
  struct Tombstone {
    /// Who has cancelled; nothing if the record is broken.
    std::optional<JobAccess> caller;
    Revision revision = 0;
  };
  struct Noted {
    std::string key;
    Revision revision = 0;
    Instant at;
  };

  /// @return true if this tombstone is still in the store
  [[nodiscard]] bool Kept(const Noted& noted) const;
  void OnRemoved(const std::vector<Noted>& removed, const CommitResult& result);

  Parts parts;
  std::map<std::string, Tombstone, std::less<>> tombstones;
  /// In the order in which they were recorded; some are forgotten already.
  std::deque<Noted> order;
  bool removing = false;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_CANCEL_TOMBSTONES_H_
