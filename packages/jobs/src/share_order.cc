#include "share_order.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "mustardproxy/core/resource_math.h"

namespace mustardproxy::jobs {
namespace {

using std::chrono::seconds;

/// Minimum time between two log lines about teams above their shares.
constexpr Duration kReportInterval = seconds(5);
/// Teams that such a line names.
constexpr std::size_t kMaxReportedTeams = 3;
/// Lower bound of the usable part of the capacity: work may also be left
/// because its permissions have not arrived.
constexpr double kMinUsable = 0.5;
constexpr double kPerMille = 1000.0;

Resources Scale(const Resources& resources, double factor) {
  Resources scaled = resources;
  scaled.cpu_milli =
      std::llround(factor * static_cast<double>(resources.cpu_milli));
  scaled.memory_mb =
      std::llround(factor * static_cast<double>(resources.memory_mb));
  return scaled;
}

/// @return the resources that shares are measured in
Resources Shared(const Resources& resources) {
  return {.cpu_milli = resources.cpu_milli, .memory_mb = resources.memory_mb};
}

}  // namespace

void ShareOrder::Begin(std::vector<SchedulingUnit>* units, std::size_t first,
                       const PassCapacity& capacities) {
  this->ranked = *units;
  this->position = 0;
  this->delayed.clear();
  this->next_delayed = 0;
  this->current = nullptr;
  this->rest.reset();
  this->work_left = false;
  this->first_count = this->Enabled() ? first : units->size();
  if (!this->Enabled()) return;
  const std::vector<TeamLoad> loads = this->CollectLoads(*units);
  this->total = Shared(capacities.Total());
  this->shares.Update(Scale(this->total, this->usable), loads);
}

std::vector<TeamLoad> ShareOrder::CollectLoads(
    std::span<SchedulingUnit> units) {
  for (SchedulingUnit& unit : units) {
    JobEntry& entry = *unit.entry;
    if (entry.team_number) continue;
    entry.team_number = this->shares.NumberOf(entry.job.access.team);
  }
  const TeamUsage& usage = this->context->workers.Usage();
  for (const auto& [team, used] : usage) (void)this->shares.NumberOf(team);
  std::vector<TeamLoad> loads;
  loads.reserve(this->shares.Teams().size());
  for (const TeamId& name : this->shares.Teams()) {
    TeamLoad& load = loads.emplace_back();
    load.used = usage.Of(name);
    const auto found = this->context->teams.find(name);
    if (found == this->context->teams.end()) continue;
    load.weight = found->second->weight;
    load.cap = found->second->cap;
  }
  for (const SchedulingUnit& unit : units) {
    // What has no value any more must not reduce the shares of others.
    if (unit.deadline_status == DeadlineStatus::kExpired) continue;
    loads[*unit.entry->team_number].waiting +=
        Multiply(unit.step->each, std::ssize(unit.tasks));
  }
  this->waiting_teams = static_cast<std::size_t>(std::count_if(
      loads.begin(), loads.end(),
      [](const TeamLoad& load) { return load.waiting != Resources{}; }));
  return loads;
}

SchedulingUnit* ShareOrder::Next() {
  this->FinishCurrent();
  while (this->position < this->ranked.size()) {
    SchedulingUnit& unit = this->ranked[this->position];
    if (this->position < this->first_count) {
      ++this->position;
      return this->Return(&unit);
    }
    const bool delayed_first =
        this->next_delayed < this->delayed.size() &&
        this->delayed.back().deadline_status != unit.deadline_status;
    if (delayed_first) break;
    ++this->position;
    if (this->LimitToShare(&unit)) return this->Return(&unit);
    unit.beyond_share = true;
    this->delayed.push_back(std::move(unit));
  }
  if (this->next_delayed == this->delayed.size()) return nullptr;
  return this->Return(&this->delayed[this->next_delayed++]);
}

SchedulingUnit* ShareOrder::Return(SchedulingUnit* unit) {
  this->current = unit;
  this->current_tasks = unit->tasks.size();
  return unit;
}

bool ShareOrder::LimitToShare(SchedulingUnit* unit) {
  const TeamNumber team = *unit->entry->team_number;
  const std::int64_t tasks = std::ssize(unit->tasks);
  const Resources& each = unit->step->each;
  if (unit->step->gang) {
    return this->shares.CountWithin(team, Multiply(each, tasks), 1) > 0;
  }
  const std::int64_t within = this->shares.CountWithin(team, each, tasks);
  if (within == 0) return false;
  if (within == tasks) return true;
  this->rest = *unit;
  this->rest->tasks.erase(this->rest->tasks.begin(),
                          this->rest->tasks.begin() + within);
  this->rest->beyond_share = true;
  unit->tasks.resize(static_cast<std::size_t>(within));
  return true;
}

void ShareOrder::FinishCurrent() {
  if (this->current == nullptr || !this->Enabled()) return;
  const SchedulingUnit& unit = *std::exchange(this->current, nullptr);
  if (unit.tasks.size() != this->current_tasks) {
    this->shares.SetUsed(
        *unit.entry->team_number,
        this->context->workers.Usage().Of(unit.entry->job.access.team));
  }
  const bool left =
      !unit.tasks.empty() && unit.deadline_status != DeadlineStatus::kExpired;
  if (left) this->work_left = true;
  // The rest fits nowhere either if not all tasks before it have started.
  if (this->rest && unit.tasks.empty()) {
    this->delayed.push_back(std::move(*this->rest));
  }
  this->rest.reset();
}

void ShareOrder::End(Instant now) {
  if (!this->Enabled()) return;
  Resources used;
  for (const auto& [team, one] : this->context->workers.Usage()) used += one;
  const double part = DominantShare(Shared(used), this->total);
  this->usable = this->work_left ? std::clamp(part, kMinUsable, 1.0) : 1.0;
  if (now >= this->next_report) this->Report(now);
}

bool ShareOrder::Delays(const SchedulingUnit& unit) const {
  return this->Enabled() && unit.beyond_share && this->waiting_teams > 1;
}

void ShareOrder::Report(Instant now) {
  this->next_report = now + kReportInterval;
  const auto excess = [this](TeamNumber team) {
    return this->shares.UsedOf(team) - this->shares.ShareOf(team);
  };
  std::vector<TeamNumber> above;
  std::int64_t below = 0;
  for (TeamNumber team = 0; team < this->shares.Teams().size(); ++team) {
    if (this->shares.Above(team)) {
      above.push_back(team);
    } else if (excess(team) < 0 && this->shares.UsedOf(team) > 0) {
      ++below;
    }
  }
  Metrics& metrics = *this->context->metrics;
  metrics.Set("teams_above_share", "", static_cast<double>(above.size()));
  metrics.Set("teams_below_share", "", static_cast<double>(below));
  if (above.empty()) return;
  const std::size_t named = std::min(kMaxReportedTeams, above.size());
  std::partial_sort(
      above.begin(), above.begin() + static_cast<std::ptrdiff_t>(named),
      above.end(),
      [&](TeamNumber a, TeamNumber b) { return excess(a) > excess(b); });
  std::string largest;
  for (std::size_t i = 0; i < named; ++i) {
    if (i > 0) largest += ' ';
    largest += this->shares.Teams()[above[i]].Text() + ":" +
               std::to_string(
                   std::llround(kPerMille * this->shares.UsedOf(above[i]))) +
               "/" +
               std::to_string(
                   std::llround(kPerMille * this->shares.ShareOf(above[i])));
  }
  this->context->log->Write(
      "jobs", "teams-above-share",
      {{"above", above.size()},
       {"below", below},
       {"waiting_teams", this->waiting_teams},
       {"largest", largest},
       {"usable_per_mille", std::llround(kPerMille * this->usable)}});
}

}  // namespace mustardproxy::jobs
