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

/// A worker that went down, or fell silent.
struct DownWorker {
  WorkerIncarnation worker;
  Instant since;
  /// A call to it broke at that moment; else it went some time before.
  bool exact = false;
  /// Jobs of which it had runs.
  std::set<JobId> jobs;
  /// It was kept for a suspicious task, which explains why it went.
  bool quarantined = false;
};

/// Workers that went down at about the same moment.
struct Outage {
  std::set<WorkerIncarnation> workers;
  /// How many of them no suspicious task explains …
  std::size_t unexplained = 0;
  /// … and on how many of those each job had runs.
  std::unordered_map<JobId, std::size_t> workers_by_job;
  /// So many besides those of a job tell that the job was not the cause.
  std::size_t min_unrelated_workers = 0;

  /// @return true if more workers went down than the job can have taken down
  [[nodiscard]] bool RulesOutAsCause(const JobId& job) const;
};

/// Tells workers that went down together from those that went one by one. A
/// task can take down the workers that run it and other tasks of its job; many
/// more at the same moment have another cause.
class OutageDetector {
 public:
  /// Takes note of a worker that was lost.
  void Note(DownWorker lost);
  /// @param silent workers that do not answer and are not lost yet
  /// @param workers how many there are
  /// @return all that went down with a worker, and itself
  [[nodiscard]] Outage FindOutage(const DownWorker& down,
                                  std::span<const DownWorker> silent,
                                  std::size_t workers) const;

 private:
  /// In the order in which they were lost.
  std::deque<DownWorker> lost;
};

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_OUTAGE_DETECTOR_H_
