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

/// A request that waits for room, as the scheduler sees it. Its tasks are all
/// alike.
struct QueuedRequest {
  RequestId request;
  ServiceId service;
  TeamId team;
  /// When it arrived here.
  Instant arrived;
  /// Given up on at this moment if still not placed.
  Instant placement_deadline;
  /// Attempt number, from 1; part of the task ids.
  std::int32_t attempt = 1;
  /// Workers that must not get it, for example the one it just failed on.
  std::vector<WorkerId> avoid;
};

/// Resources are reserved in the ledger; the task is to be sent now.
struct Placement {
  RequestId request;
  TaskId task;
  WorkerId worker;
  Resources resources;
};

/// A running task that must make room for urgent work.
struct Preemption {
  TaskId task;
  RequestId request;
  WorkerId worker;
};

/// Whether a request may join the queue.
struct Admission {
  /// Empty: it is queued.
  std::error_code refusal;
  /// Names the resource or limit, and the largest worker where it matters.
  std::string detail;
  /// From the measured drain rate.
  Duration retry_after{0};
};

/// Choices of the placement policy.
struct SchedulerOptions {
  /// Share of the cell that the work of each priority but the first may hold
  /// before more urgent priorities, the first excepted; 0 for strict priority.
  double guaranteed_share = 0.15;
};

/// Queues and placement decisions of one process: fair share between teams by
/// dominant resource, deadline order within a team, priority between profiles,
/// reservations for gangs with backfill, headroom for urgent work.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options = {});
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /// Follows a change of the configuration; what is queued stays queued.
  void Configure(const Configuration& configuration);

  /// Queues a request, or says why not. Checks, in order: known service and
  /// team, fits an empty worker (or the gang the emptied workers), queue limit,
  /// quota, and predicted wait against the profile and `placement_deadline`.
  /// @param recovered work that was accepted before and may not be refused
  [[nodiscard]] Admission Enqueue(Instant now, const Ledger& ledger,
                                  QueuedRequest request,
                                  bool recovered = false);
  /// Takes a request out of its queue.
  /// @return false if it was not queued
  /// @complexity constant; the queue entry is removed lazily
  bool Cancel(const RequestId& request);

  /// Places what can be placed, with resources reserved in `ledger`.
  /// A gang appears with all of its placements or not at all.
  /// @param limit most tasks placed in this call, to bound its time
  [[nodiscard]] std::vector<Placement> Schedule(Instant now, Ledger* ledger,
                                                std::size_t limit);
  /// Running tasks to stop so that urgent requests that wait can be placed.
  /// Each is named once.
  [[nodiscard]] std::vector<Preemption> ChooseVictims(Instant now,
                                                      const Ledger& ledger);
  /// Requests whose `placement_deadline` has passed; they are no longer queued.
  [[nodiscard]] std::vector<RequestId> Expire(Instant now);

  /// A placed task has ended or never started; frees it in `ledger` and learns
  /// its run time when `ran`.
  void OnTaskEnded(Instant now, Ledger* ledger, const TaskId& task, bool ran);
  /// Counts a task that was found running at a takeover against its team.
  void AdoptRunningTask(Instant now, const TaskId& task,
                        const RequestId& request, const ServiceId& service,
                        const TeamId& team, const WorkerId& worker,
                        Duration running_for);

  /// @return wait that a request of `service` would meet now
  [[nodiscard]] Duration PredictWait(Instant now, const Ledger& ledger,
                                     const ServiceId& service) const;
  /// @return when to come back, from the measured drain rate, at least 1 s
  [[nodiscard]] Duration RetryAfter(Instant now) const;
  /// @return next moment at which `Schedule` or `Expire` has something to do
  ///   of its own accord, if any
  [[nodiscard]] std::optional<Instant> NextWakeup() const;
  [[nodiscard]] std::size_t QueuedCount() const;
  [[nodiscard]] std::size_t RunningCount() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace mustardproxy

#endif  // MUSTARDPROXY_CORE_SCHEDULER_H_
