#ifndef MUSTARDPROXY_JOBS_PROGRESS_WRITER_H_
#define MUSTARDPROXY_JOBS_PROGRESS_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "callback_guard.h"
#include "job_table.h"
#include "mustardproxy/jobs/executor.h"
#include "mustardproxy/jobs/key_value_store.h"
#include "mustardproxy/jobs/worker_driver.h"
#include "mustardproxy/telemetry/event_log.h"

namespace mustardproxy::jobs {

/// Writes the progress of jobs to the store, many jobs in one transaction, and
/// several transactions at a time that share no job: a store whose answers take
/// a third of a second must still take more than forty jobs a second.
///
/// Failures guarded against:
/// - A former owner's write arrives late. Each transaction names the revision
///   of the owner's key, so it fails once there is a new owner.
/// - The answer to a write is lost and the write is done seconds later, over a
///   newer one. Each row names the revision that it replaces, so it fails.
class ProgressWriter {
 public:
  /// What a writer works with; all but the figures outlive it.
  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    JobTable* jobs = nullptr;
    FencingToken token = 0;
    /// Writes a second that the store takes from all processes together.
    std::int64_t store_writes_per_second = 0;
  };

  /// @param on_fenced called once there is a newer owner
  ProgressWriter(const Parts& parts, std::function<void()> on_fenced);

  /// Stores the job's progress as it stands when the write is sent; of a final
  /// job only how it ended, in place of the job and its progress.
  /// @param durable called once that is stored; may be empty
  void Write(const JobId& job, std::function<void()> durable);
  /// @return true if the job's progress is not all stored
  [[nodiscard]] bool Pending(const JobId& job) const;
  /// @return the store's revision after the last write that was answered; above
  ///   the token, and below that of each later owner
  [[nodiscard]] Revision LatestRevision() const { return this->latest; }
  /// @return writes that wait or are on their way
  [[nodiscard]] std::size_t Backlog() const {
    return this->rows.size() + this->busy.size();
  }

 private:
  using Waiters = std::vector<std::function<void()>>;
  struct SentRow {
    JobId job;
    Waiters waiters;
    /// It tells how the job ended, and removes its progress.
    bool final = false;
  };
  using Batch = std::vector<SentRow>;

  void Flush();
  void FlushAt(Instant moment);
  Transaction TakeRows(Batch* batch);
  void OnWritten(Batch batch, const CommitResult& result);
  void OnConflict(Batch batch, const CommitResult& result);
  void Requeue(Batch batch);
  bool Fenced(const CommitResult& result) const;

  Executor* executor;
  KeyValueStore* store;
  EventLog* log;
  JobTable* jobs;
  FencingToken token;
  Revision latest;
  Duration interval;
  std::function<void()> on_fenced;
  /// Jobs to be written, in order, and who waits for each.
  std::deque<JobId> order;
  std::unordered_map<JobId, Waiters> rows;
  /// Jobs whose rows are on their way.
  std::unordered_set<JobId> busy;
  std::size_t in_flight = 0;
  Instant next_write;
  bool timer_set = false;
  bool store_answers = true;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PROGRESS_WRITER_H_
