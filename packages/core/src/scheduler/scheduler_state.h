#ifndef MUSTARDPROXY_CORE_SRC_SCHEDULER_SCHEDULER_STATE_H_
#define MUSTARDPROXY_CORE_SRC_SCHEDULER_SCHEDULER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mustardproxy/core/scheduler.h"
#include "scheduler/catalog.h"
#include "scheduler/gang_reservation.h"
#include "scheduler/headroom.h"
#include "scheduler/priority_band.h"
#include "scheduler/request_queue.h"
#include "scheduler/running_tasks.h"

namespace mustardproxy::detail {

/// Number of queued requests of one profile, in total and by team.
struct ProfileCount {
  std::int64_t all = 0;
  std::vector<std::int64_t> by_team;
};

/// State of the scheduler, with the operations that keep its parts consistent.
/// Decisions are made in the other modules of this directory.
struct SchedulerState {
  Catalog catalog;
  RequestQueue queue;
  /// By priority, the most urgent first.
  std::map<std::int32_t, PriorityBand> bands;
  std::unordered_map<ProfileId, ProfileCount> queued_by_profile;
  RunningTasks running;
  Headroom headroom;
  GangReservation reservation;
  /// See `SchedulerOptions`.
  double guaranteed_share = 0;
  /// Total capacity of all owned workers when last read from the ledger.
  Resources total_capacity;
  /// Time of the last pass if it stopped at its limit with more to place.
  std::optional<Instant> limit_reached_at;
  /// A request is waiting only because of the headroom.
  bool blocked_by_headroom = false;

  /// Updates the total capacity after a change of the owned workers.
  void UpdateCapacity(const Ledger& ledger);
  /// Rebuilds the bands from the queued requests, since priorities may have
  /// changed.
  void RebuildBands();
  [[nodiscard]] double WeightedShareOf(TeamIndex team) const;
  [[nodiscard]] double DominantShareOf(const Resources& resources) const;
  [[nodiscard]] PriorityBand& BandOf(ServiceIndex service);
  /// @return true if a band's tasks hold less than its guaranteed share
  [[nodiscard]] bool BelowGuarantee(const PriorityBand& band) const;

  void AddRequest(Instant now, QueuedRequest request, ServiceIndex service,
                  TeamIndex team);
  /// @return the removed entry, if the request was queued
  std::optional<QueueEntry> RemoveRequest(const RequestId& request);
  void AddRunningTask(RunningEntry entry);
  /// Removes a task, releases it in the ledger and updates all counts.
  std::optional<RunningEntry> RemoveRunningTask(const TaskId& task,
                                                Ledger* ledger);

 private:
  void UpdateTeamShare(TeamIndex team);
  void AddToBand(const QueueEntry& entry);
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_SCHEDULER_STATE_H_
