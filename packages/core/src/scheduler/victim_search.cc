#include "scheduler/victim_search.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

#include "scheduler/task_ids.h"

namespace mustardproxy::detail {
namespace {

/// Urgent tasks that one call makes room for, and running tasks it looks at
/// for each, so that its time is bounded.
constexpr std::int64_t kMostRoomsPerCall = 64;
constexpr int kMostLookedAt = 256;

/// Urgent tasks of one size that wait.
struct UrgentNeed {
  Resources task;
  std::int64_t tasks = 0;
};

/// Tasks on one worker that would be stopped, and what is free with them gone.
struct WorkerGain {
  Resources room;
  std::vector<const RunningEntry*> victims;
};

std::vector<UrgentNeed> UrgentNeeds(const Ledger& ledger,
                                    const SchedulerState& state) {
  std::vector<UrgentNeed> needs;
  for (LaneIndex i = 0; i < state.queue.LaneCount(); ++i) {
    const RequestQueue::Lane& lane = state.queue.LaneAt(i);
    const ServiceEntry& service = state.catalog.ServiceAt(lane.service);
    if (lane.live == 0 || service.profile.priority != 0) continue;
    const TeamEntry& team = state.catalog.TeamAt(lane.team);
    if (!team.HasQuotaFor(service.all_tasks)) continue;
    const bool gang = service.tasks > 1;
    if (!gang && ledger.Find(service.resources, Packing::kFirstFit, {},
                             HoldPolicy::kIgnore)) {
      continue;
    }
    const auto waiting = static_cast<std::int64_t>(lane.live);
    needs.push_back({service.resources, waiting * service.tasks});
  }
  return needs;
}

/// Leaves out victims without which the task fits as well.
void DropNeedless(const Resources& task, WorkerGain* gain) {
  std::erase_if(gain->victims, [&](const RunningEntry* victim) {
    const Resources without = gain->room - victim->resources;
    if (!task.FitsIn(without)) return false;
    gain->room = without;
    return true;
  });
}

std::vector<const RunningEntry*> VictimsFor(const Resources& task,
                                            const Ledger& ledger,
                                            const SchedulerState& state) {
  std::unordered_map<WorkerId, WorkerGain> gains;
  std::vector<const RunningEntry*> chosen;
  int looked_at = 0;
  state.running.VisitVictims([&](const RunningEntry& entry) {
    const auto [found, added] = gains.try_emplace(entry.worker);
    WorkerGain& gain = found->second;
    if (added) {
      gain.room = ledger.FreeOn(entry.worker).value_or(Resources{});
    }
    gain.room += entry.resources;
    gain.victims.push_back(&entry);
    if (task.FitsIn(gain.room)) {
      DropNeedless(task, &gain);
      chosen = gain.victims;
      return false;
    }
    return ++looked_at < kMostLookedAt;
  });
  return chosen;
}

/// A gang that loses one task is worth nothing, so all of it goes.
std::vector<TaskId> WholeRequest(const RunningEntry& victim,
                                 const SchedulerState& state) {
  if (!victim.gang) return {victim.task};
  std::vector<TaskId> tasks;
  const std::int32_t count = state.catalog.ServiceAt(victim.service).tasks;
  for (std::int32_t i = 0; i < count; ++i) {
    TaskId task = SiblingTask(victim.task, i);
    const RunningEntry* entry = state.running.Find(task);
    if (entry != nullptr && !entry->stop_group) tasks.push_back(task);
  }
  return tasks;
}

void StopAll(std::span<const RunningEntry* const> victims,
             SchedulerState* state, std::vector<Preemption>* preemptions) {
  const StopGroup group = state->running.NewStopGroup();
  std::vector<TaskId> tasks;
  for (const RunningEntry* victim : victims) {
    for (TaskId& task : WholeRequest(*victim, *state)) {
      tasks.push_back(std::move(task));
    }
  }
  for (const TaskId& task : tasks) {
    const RunningEntry* entry = state->running.Find(task);
    if (entry->stop_group) continue;
    preemptions->push_back({task, entry->request, entry->worker});
    state->running.MarkStopping(task, group);
  }
}

}  // namespace

std::vector<Preemption> SearchVictims(const Ledger& ledger,
                                      SchedulerState* state) {
  std::vector<Preemption> preemptions;
  auto promised = static_cast<std::int64_t>(state->running.OpenStopGroups());
  std::int64_t rooms = 0;
  for (const UrgentNeed& need : UrgentNeeds(ledger, *state)) {
    const std::int64_t covered = std::min(promised, need.tasks);
    promised -= covered;
    for (std::int64_t i = covered; i < need.tasks; ++i) {
      if (rooms++ >= kMostRoomsPerCall) return preemptions;
      const auto victims = VictimsFor(need.task, ledger, *state);
      if (victims.empty()) break;
      StopAll(victims, state, &preemptions);
    }
  }
  return preemptions;
}

}  // namespace mustardproxy::detail
