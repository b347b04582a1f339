#ifndef MUSTARDPROXY_JOBS_OUTAGE_DETECTOR_H_
#define MUSTARDPROXY_JOBS_OUTAGE_DETECTOR_H_

#include <cstddef>
#include <deque>
#include <set>
#include <span>
#include <unordered_map>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"
#include "mustardproxy/jobs/worker_incarnation.h"

namespace mustardproxy::jobs {

/// A worker that was lost or stopped responding.
struct DownWorker {
  WorkerIncarnation worker;
  Instant since;
  /// The time is exact because a connection to the worker broke at that moment.
  /// Otherwise the worker went down some time before.
  bool exact = false;
  /// Jobs that had runs on the worker.
  std::set<JobId> jobs;
  /// The worker was reserved for a suspicious task, which explains the loss.
  bool quarantined = false;
};

/// A set of workers that went down at about the same time.
struct Outage {
  std::set<WorkerIncarnation> workers;
  /// Number of the workers that were not reserved for a suspicious task.
  std::size_t unexplained = 0;
  /// Number of those workers by job that had runs on them.
  std::unordered_map<JobId, std::size_t> workers_by_job;
  /// If at least this many unexplained losses are on workers without runs of a
  /// job, the job is not the cause.
  std::size_t min_unrelated_workers = 0;

  /// @return true if the job cannot have caused the outage, because too many of
  ///   the workers were not running it
  [[nodiscard]] bool RulesOutAsCause(const JobId& job) const;
};

/// Distinguishes workers that went down together from individual losses. A task
/// can crash the workers that run it or other tasks of its job; the loss of
/// many more workers at the same time has another cause.
class OutageDetector {
 public:
  /// Records a lost worker.
  void Note(DownWorker lost);
  /// @param silent workers that do not respond but are not lost yet
  /// @param workers total number of workers
  /// @return all workers that went down at about the same time as `down`,
  ///   including it
  [[nodiscard]] Outage FindOutage(const DownWorker& down,
                                  std::span<const DownWorker> silent,
                                  std::size_t workers) const;

 private:
  /// In the order in which they were recorded.
  std::deque<DownWorker> lost;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_OUTAGE_DETECTOR_H_
