#ifndef MUSTARDPROXY_JOBS_LOAD_REPORT_H_
#define MUSTARDPROXY_JOBS_LOAD_REPORT_H_

#include <algorithm>
#include <memory>
#include <vector>

#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"
#include "mustardproxy/jobs/job.h"

namespace mustardproxy::jobs {

/// Load of a queue whose service has too little capacity. Amounts of work are
/// given as the time for which they keep all workers of the service busy.
struct QueueLoad {
  QueueName queue;
  /// Predicted time until the first task of a job submitted now would start,
  /// if the job is on time then.
  Duration wait{0};
  /// The same for a job of a team that is above its share.
  Duration wait_above_share{0};
  /// The same for a job that is late by then.
  Duration late_wait{0};
  /// Work of teams within their shares that is late, or will be when its turn
  /// comes.
  Duration late_work{0};
  /// The same of all teams.
  Duration late_work_of_all{0};
  /// Work of all queues of the service that is or will be late, or has no value
  /// any more and still waits.
  Duration overdue_work{0};
  /// Time from the acceptance of a job to its first start while capacity
  /// suffices.
  Duration overhead{0};
  /// Actual run times relative to the estimates of callers.
  double run_time_ratio = 1.0;
  /// Total capacity of the service.
  Resources capacity;

  friend bool operator==(const QueueLoad&, const QueueLoad&) = default;
};

/// Load of the placement group as its owner measured it.
struct LoadReport {
  /// By the clock of the process that holds the report.
  Instant made_at;
  /// Queues that are not listed have enough capacity.
  std::vector<QueueLoad> queues;
  std::vector<TeamId> teams_above_share;

  /// @return null if the queue has enough capacity
  [[nodiscard]] const QueueLoad* Find(const QueueName& queue) const {
    const auto found =
        std::find_if(this->queues.begin(), this->queues.end(),
                     [&](const QueueLoad& one) { return one.queue == queue; });
    return found == this->queues.end() ? nullptr : &*found;
  }
  [[nodiscard]] bool IsAboveShare(const TeamId& team) const {
    return std::find(this->teams_above_share.begin(),
                     this->teams_above_share.end(),
                     team) != this->teams_above_share.end();
  }
};

using LoadReportPtr = std::shared_ptr<const LoadReport>;

}  // namespace mustardproxy::jobs

#endif  // MUSTARDPROXY_JOBS_LOAD_REPORT_H_
