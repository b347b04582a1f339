#ifndef MUSTARDPROXY_JOBS_INTAKE_H_
#define MUSTARDPROXY_JOBS_INTAKE_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "guard.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/job_service.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/telemetry/event_log.h"

namespace mustardproxy::jobs {

/// Stores what callers hand in, whichever process they reach: a job is accepted
/// once its key is created, and the same id is one job however often and
/// wherever it comes. Callers that come together share a transaction.
class Intake {
 public:
  using Done = std::function<void(SubmitResult)>;

  Intake(Executor* executor, KeyValueStore* store, EventLog* log);

  /// Creates a key unless it exists.
  /// @param kind `job` or `cancel`, for the log
  void Create(std::string_view kind, const JobId& id, std::string key,
              std::string value, Duration timeout, Done done);
  /// Answers all that wait, and takes nothing more.
  void Stop();

 private:
  struct Entry {
    std::string_view kind;
    JobId id;
    std::string key;
    std::string value;
    Instant deadline;
    Done done;
    /// A write of it was sent and not answered.
    bool uncertain = false;
    std::int32_t tries = 0;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  void Flush();
  void OnCommitted(const std::vector<EntryPtr>& batch,
                   const CommitResult& result);
  void OnConflict(const std::vector<EntryPtr>& batch,
                  const CommitResult& result);
  void Again(const EntryPtr& entry);
  void Accept(const EntryPtr& entry, bool existed);
  void GiveUp(const EntryPtr& entry, std::error_code reason);
  void Settle(const EntryPtr& entry, const SubmitResult& result);

  Executor* executor;
  KeyValueStore* store;
  EventLog* log;
  std::deque<EntryPtr> waiting;
  std::size_t in_flight = 0;
  bool stopped = false;
  Guard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_INTAKE_H_
