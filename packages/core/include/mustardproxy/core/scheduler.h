#ifndef MUSTARDPROXY_CORE_SCHEDULER_H_
#define MUSTARDPROXY_CORE_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <vector>

#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/ledger.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy {

/// A request waiting for placement, as the scheduler sees it. All of its tasks
/// need the same resources.
struct QueuedRequest {
  RequestId request;
  ServiceId service;
  TeamId team;
  /// When the request arrived at this process.
  Instant arrived;
  /// The request expires if it is not placed by this time.
  Instant placement_deadline;
  /// Attempt number, starting at 1; part of the task ids.
  std::int32_t attempt = 1;
  /// Workers that must not run the request, for example the one on which it
  /// just failed.
  std::vector<WorkerId> avoid;
};

/// A task with resources reserved in the ledger, ready to be sent to its
/// worker.
struct Placement {
  RequestId request;
  TaskId task;
  WorkerId worker;
  Resources resources;
};

/// A running task to be stopped so that urgent work can be placed.
struct Preemption {
  TaskId task;
  RequestId request;
  WorkerId worker;
};

/// Result of the admission check for a request.
struct Admission {
  /// Empty if the request was queued.
  std::error_code refusal;
  /// Names the resource or limit that caused the refusal, and the largest
  /// worker where it matters.
  std::string detail;
  /// Computed from the measured drain rate.
  Duration retry_after{0};
};

/// Parameters of the placement policy.
struct SchedulerOptions {
  /// Share of the cell that each priority other than 0 may hold before more
  /// urgent priorities (except priority 0) are served; 0 selects strict
  /// priority.
  double guaranteed_share = 0.15;
};

/// Queues and placement decisions of one process: dominant-resource fair
/// sharing between teams, earliest deadline first within a team, priorities
/// between profiles, reservations for gangs with backfill, and headroom for
/// urgent work.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options = {});
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /// Applies a new configuration; queued requests stay queued.
  void Configure(const Configuration& configuration);

  /// Queues a request or returns the reason for refusing it. Checks, in order:
  /// the service and team are known; the task fits an idle worker (a gang: all
  /// workers when idle); queue limit; quota; predicted wait against the profile
  /// and `placement_deadline`.
  /// @param recovered the request was accepted earlier and must not be refused,
  ///   except if its service is unknown
  [[nodiscard]] Admission Enqueue(Instant now, const Ledger& ledger,
                                  QueuedRequest request,
                                  bool recovered = false);
  /// Removes a request from its queue.
  /// @return false if it was not queued
  /// @complexity constant; the queue entry is removed lazily
  bool Cancel(const RequestId& request);

  /// Places queued requests and reserves their resources in `ledger`. A gang is
  /// placed with all of its tasks or not at all.
  /// @param limit number of placements after which the call stops, to bound its
  ///   run time; the last gang placed may exceed it
  [[nodiscard]] std::vector<Placement> Schedule(Instant now, Ledger* ledger,
                                                std::size_t limit);
  /// Selects running tasks to stop so that waiting urgent requests can be
  /// placed. Each task is returned once.
  [[nodiscard]] std::vector<Preemption> ChooseVictims(Instant now,
                                                      const Ledger& ledger);
  /// Removes and returns the queued requests whose `placement_deadline` has
  /// passed.
  [[nodiscard]] std::vector<RequestId> Expire(Instant now);

  /// Records that a placed task ended or never started. Releases its resources
  /// in `ledger`; if `ran` is true, its run time is added to the statistics of
  /// the service.
  void OnTaskEnded(Instant now, Ledger* ledger, const TaskId& task, bool ran);
  /// Adds a task that was found running after a takeover and charges it to its
  /// team.
  void AdoptRunningTask(Instant now, const TaskId& task,
                        const RequestId& request, const ServiceId& service,
                        const TeamId& team, const WorkerId& worker,
                        Duration running_for);

  /// @return predicted wait of a request of `service` that arrives now
  [[nodiscard]] Duration PredictWait(Instant now, const Ledger& ledger,
                                     const ServiceId& service) const;
  /// @return delay after which a refused caller should retry, computed from the
  ///   measured drain rate; at least 1 s
  [[nodiscard]] Duration RetryAfter(Instant now) const;
  /// @return next time at which `Schedule` or `Expire` should be called even
  ///   without another event, if any
  [[nodiscard]] std::optional<Instant> NextWakeup() const;
  [[nodiscard]] std::size_t QueuedCount() const;
  [[nodiscard]] std::size_t RunningCount() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_SCHEDULER_H_
