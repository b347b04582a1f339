#include "scheduler/victim_search.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

#include "scheduler/task_ids.h"

namespace mustardproxy::detail {
namespace {

/// Bounds on the time of one call: urgent tasks for which it selects victims,
/// and running tasks examined for each.
constexpr std::int64_t kMaxTasksPerCall = 64;
constexpr int kMaxCandidatesPerTask = 256;

/// Waiting urgent tasks of one size.
struct UrgentDemand {
  Resources task;
  std::int64_t tasks = 0;
};

/// Candidate victims on one worker, and the capacity free there without them.
struct WorkerVictims {
  Resources free;
  std::vector<const RunningEntry*> victims;
};

std::vector<UrgentDemand> UrgentDemands(const Ledger& ledger,
                                        const SchedulerState& state) {
  std::vector<UrgentDemand> needs;
  for (FlowIndex i = 0; i < state.queue.FlowCount(); ++i) {
    const RequestQueue::FlowQueue& flow = state.queue.FlowAt(i);
    const ServiceEntry& service = state.catalog.ServiceAt(flow.service);
    if (flow.live == 0 || service.profile.priority != 0) continue;
    const TeamEntry& team = state.catalog.TeamAt(flow.team);
    if (!team.HasQuotaFor(service.request_resources)) continue;
    const bool gang = service.tasks > 1;
    if (!gang && ledger.Find(service.resources, Packing::kFirstFit, {},
                             HoldPolicy::kIgnore)) {
      continue;
    }
    const auto waiting = static_cast<std::int64_t>(flow.live);
    needs.push_back({service.resources, waiting * service.tasks});
  }
  return needs;
}

/// Removes victims that need not be stopped for the task to fit.
void RemoveUnneededVictims(const Resources& task,
                           WorkerVictims* worker_victims) {
  std::erase_if(worker_victims->victims, [&](const RunningEntry* victim) {
    const Resources without = worker_victims->free - victim->resources;
    if (!task.FitsIn(without)) return false;
    worker_victims->free = without;
    return true;
  });
}

std::vector<const RunningEntry*> VictimsFor(const Resources& task,
                                            const Ledger& ledger,
                                            const SchedulerState& state) {
  std::unordered_map<WorkerId, WorkerVictims> by_worker;
  std::vector<const RunningEntry*> chosen;
  int examined = 0;
  state.running.VisitVictims([&](const RunningEntry& entry) {
    const auto [found, added] = by_worker.try_emplace(entry.worker);
    WorkerVictims& worker_victims = found->second;
    if (added) {
      worker_victims.free = ledger.FreeOn(entry.worker).value_or(Resources{});
    }
    worker_victims.free += entry.resources;
    worker_victims.victims.push_back(&entry);
    if (task.FitsIn(worker_victims.free)) {
      RemoveUnneededVictims(task, &worker_victims);
      chosen = worker_victims.victims;
      return false;
    }
    return ++examined < kMaxCandidatesPerTask;
  });
  return chosen;
}

/// Returns the tasks to stop for a victim: all tasks of a gang, since a gang
/// cannot continue without one of them.
std::vector<TaskId> TasksToStop(const RunningEntry& victim,
                                const SchedulerState& state) {
  if (!victim.gang) return {victim.task};
  std::vector<TaskId> tasks;
  const std::int32_t count = state.catalog.ServiceAt(victim.service).tasks;
  for (std::int32_t i = 0; i < count; ++i) {
    TaskId task = SiblingTask(victim.task, i);
    const RunningEntry* entry = state.running.Find(task);
    if (entry != nullptr && !entry->preemption_group) tasks.push_back(task);
  }
  return tasks;
}

void PreemptAll(std::span<const RunningEntry* const> victims,
                SchedulerState* state, std::vector<Preemption>* preemptions) {
  const PreemptionGroup group = state->running.NewPreemptionGroup();
  std::vector<TaskId> tasks;
  for (const RunningEntry* victim : victims) {
    for (TaskId& task : TasksToStop(*victim, *state)) {
      tasks.push_back(std::move(task));
    }
  }
  for (const TaskId& task : tasks) {
    const RunningEntry* entry = state->running.Find(task);
    if (entry->preemption_group) continue;
    preemptions->push_back({task, entry->request, entry->worker});
    state->running.MarkPreempted(task, group);
  }
}

}  // namespace

std::vector<Preemption> SearchVictims(const Ledger& ledger,
                                      SchedulerState* state) {
  std::vector<Preemption> preemptions;
  auto pending =
      static_cast<std::int64_t>(state->running.ActivePreemptionGroups());
  std::int64_t searched = 0;
  for (const UrgentDemand& need : UrgentDemands(ledger, *state)) {
    const std::int64_t covered = std::min(pending, need.tasks);
    pending -= covered;
    for (std::int64_t i = covered; i < need.tasks; ++i) {
      if (searched++ >= kMaxTasksPerCall) return preemptions;
      const auto victims = VictimsFor(need.task, ledger, *state);
      if (victims.empty()) break;
      PreemptAll(victims, state, &preemptions);
    }
  }
  return preemptions;
}

}  // namespace mustardproxy::detail
