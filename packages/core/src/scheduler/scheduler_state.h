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

/// Requests of one profile that wait, whole and by team.
struct ProfileCount {
  std::int64_t all = 0;
  std::vector<std::int64_t> by_team;
};

/// All that the scheduler knows, with the steps that keep its parts in line.
/// Decisions are taken in the modules beside it.
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
  /// Of all owned workers, when last looked at.
  Resources total_capacity;
  /// The last pass ended at its limit, with more to be placed.
  std::optional<Instant> limit_reached_at;
  /// Something waits only because of the headroom.
  bool blocked_by_headroom = false;

  /// Follows a change of the owned workers.
  void UpdateCapacity(const Ledger& ledger);
  /// Files all waiting requests anew, since priorities may have changed.
  void RebuildBands();
  [[nodiscard]] double WeightedShareOf(TeamIndex team) const;
  [[nodiscard]] double DominantShareOf(const Resources& resources) const;
  [[nodiscard]] PriorityBand& BandOf(ServiceIndex service);
  /// @return true if a band's tasks hold less than what is guaranteed to it
  [[nodiscard]] bool BelowGuarantee(const PriorityBand& band) const;

  void AddRequest(Instant now, QueuedRequest request, ServiceIndex service,
                  TeamIndex team);
  /// @return the entry, if the request was queued
  std::optional<QueueEntry> RemoveRequest(const RequestId& request);
  void AddRunningTask(RunningEntry entry);
  /// Frees the task in the ledger and all counts.
  std::optional<RunningEntry> RemoveRunningTask(const TaskId& task,
                                                Ledger* ledger);

 private:
  void UpdateTeamShare(TeamIndex team);
  void AddToBand(const QueueEntry& entry);
};

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_SRC_SCHEDULER_SCHEDULER_STATE_H_
