#include "scheduler/running_tasks.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::detail {

bool RunningTasks::VictimOrder::operator()(const RunningEntry* a,
                                           const RunningEntry* b) const {
  if (a->gang != b->gang) return !a->gang;
  if (a->priority != b->priority) return a->priority > b->priority;
  if (a->started != b->started) return a->started > b->started;
  return a->task < b->task;
}

bool RunningTasks::Add(RunningEntry entry) {
  const TaskId task = entry.task;
  const auto [found, added] = this->entries.emplace(task, std::move(entry));
  if (!added) return false;
  this->AdjustReleaseRate(found->second, 1.0);
  if (!found->second.preemptible) return true;
  this->victims.insert(&found->second);
  this->preemptible += found->second.resources;
  return true;
}

std::optional<RunningEntry> RunningTasks::Remove(const TaskId& task) {
  const auto found = this->entries.find(task);
  if (found == this->entries.end()) return std::nullopt;
  this->victims.erase(&found->second);
  RunningEntry entry = std::move(found->second);
  this->entries.erase(found);
  this->AdjustReleaseRate(entry, -1.0);
  if (entry.preemptible) this->preemptible -= entry.resources;
  if (entry.preemption_group) {
    const auto group = this->preemption_groups.find(*entry.preemption_group);
    if (--group->second == 0) this->preemption_groups.erase(group);
  }
  return entry;
}

const RunningEntry* RunningTasks::Find(const TaskId& task) const {
  const auto found = this->entries.find(task);
  return found == this->entries.end() ? nullptr : &found->second;
}

void RunningTasks::AdjustReleaseRate(const RunningEntry& entry, double sign) {
  double& sum = entry.priority == 0 ? this->urgent_release_rate
                                    : this->non_urgent_release_rate;
  sum = std::max(0.0, sum + sign * entry.release_per_second);
  // Floating-point sums drift, so they are reset to zero when nothing runs.
  if (!this->entries.empty()) return;
  this->urgent_release_rate = 0;
  this->non_urgent_release_rate = 0;
}

double RunningTasks::ReleasePerSecond() const {
  return this->urgent_release_rate + this->non_urgent_release_rate;
}

double RunningTasks::NonUrgentReleasePerSecond() const {
  return this->non_urgent_release_rate;
}

const Resources& RunningTasks::Preemptible() const { return this->preemptible; }

std::vector<ExpectedRelease> RunningTasks::ExpectedReleases(
    Instant now, const Catalog& catalog) const {
  std::vector<ExpectedRelease> releases;
  releases.reserve(this->entries.size());
  for (const auto& [task, entry] : this->entries) {
    const ServiceEntry& service = catalog.ServiceAt(entry.service);
    const Duration left = service.ExpectedRemaining(now - entry.started);
    releases.push_back({now + left, entry.worker, entry.resources});
  }
  std::ranges::sort(releases,
                    [](const ExpectedRelease& a, const ExpectedRelease& b) {
                      return a.at != b.at ? a.at < b.at : a.worker < b.worker;
                    });
  return releases;
}

void RunningTasks::MarkPreempted(const TaskId& task, PreemptionGroup group) {
  const auto found = this->entries.find(task);
  if (found == this->entries.end() || found->second.preemption_group) return;
  this->victims.erase(&found->second);
  found->second.preemption_group = group;
  ++this->preemption_groups[group];
}

std::size_t RunningTasks::ActivePreemptionGroups() const {
  return this->preemption_groups.size();
}

}  // namespace mustardproxy::detail
