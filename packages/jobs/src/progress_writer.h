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

/// Writes the progress of jobs to the store. Many jobs share a transaction, and
/// several transactions without common jobs are in flight at the same time, so
/// that more than 40 jobs per second are possible even if the store takes a
/// third of a second to respond.
///
/// Failures:
/// - A write of a previous owner arrives late. Each transaction requires the
///   revision of the owner's key and fails once there is a new owner.
/// - The response to a write is lost, and the write is applied seconds later,
///   after a newer one. Each row requires the revision that it replaces and
///   fails then.
class ProgressWriter {
 public:
  /// Dependencies and settings; all pointers must outlive the writer.
  struct Parts {
    Executor* executor = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    JobTable* jobs = nullptr;
    FencingToken token = 0;
    /// Writes per second that the store accepts from all processes together.
    std::int64_t store_writes_per_second = 0;
  };

  /// @param on_fenced called once there is a newer owner
  ProgressWriter(const Parts& parts, std::function<void()> on_fenced);

  /// Stores the progress of the job as of the time at which the write is sent.
  /// For a final job only the final state is stored; it replaces the job and
  /// its progress.
  /// @param durable called once the write is stored; may be empty
  void Write(const JobId& job, std::function<void()> durable);
  /// @return true if a write for the job is not stored yet
  [[nodiscard]] bool HasPendingWrite(const JobId& job) const;
  /// @return the store revision of the last completed write; higher than the
  ///   token of this owner and lower than that of any later owner
  [[nodiscard]] Revision LatestRevision() const { return this->latest; }
  /// @return the number of jobs whose writes are waiting or in flight
  [[nodiscard]] std::size_t Backlog() const {
    return this->rows.size() + this->jobs_in_flight.size();
  }

 private:
  using Waiters = std::vector<std::function<void()>>;
  struct SentRow {
    JobId job;
    Waiters waiters;
    /// The row holds the final state and removes the progress.
    bool final = false;
  };
  using Batch = std::vector<SentRow>;

  void Flush();
  void FlushAt(Instant moment);
  Transaction BuildTransaction(Batch* batch);
  void OnWritten(Batch batch, const CommitResult& result);
  void OnConflict(Batch batch, const CommitResult& result);
  void Requeue(Batch batch);
  bool Fenced(const CommitResult& result) const;
  /// @return true if more rows wait than one transaction holds
  [[nodiscard]] bool Backlogged() const;

  Executor* executor;
  KeyValueStore* store;
  EventLog* log;
  JobTable* jobs;
  FencingToken token;
  Revision latest;
  Duration interval;
  /// The same while more rows wait than one transaction holds.
  Duration backlogged_interval;
  std::function<void()> on_fenced;
  /// Jobs to be written in order, and the callbacks waiting for each.
  std::deque<JobId> order;
  std::unordered_map<JobId, Waiters> rows;
  /// Jobs whose rows are in flight.
  std::unordered_set<JobId> jobs_in_flight;
  std::size_t in_flight = 0;
  Instant next_write;
  bool timer_set = false;
  bool store_answers = true;
  CallbackGuard guard;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_PROGRESS_WRITER_H_
