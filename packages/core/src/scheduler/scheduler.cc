#include "mustardproxy/core/scheduler.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "ledger/resource_math.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

struct Running {
  RequestId request;
  ServiceId service;
  TeamId team;
  WorkerId worker;
  Resources resources;
  Instant started;
  bool stopping = false;
};

TaskId MakeTaskId(const QueuedRequest& request, std::int32_t index) {
  return TaskId(request.request.Text() + "/" + std::to_string(index) + "/" +
                std::to_string(request.attempt));
}

}  // namespace

struct Scheduler::State {
  Configuration configuration;
  std::vector<QueuedRequest> queue;
  std::map<TaskId, Running> running;
  std::map<TeamId, Resources> usage;

  [[nodiscard]] const Service* FindService(const ServiceId& id) const;
  [[nodiscard]] Profile ProfileOf(const ServiceId& id) const;
  [[nodiscard]] bool WithinQuota(const TeamId& team,
                                 const Resources& more) const;
  [[nodiscard]] std::vector<WorkerId> Room(const QueuedRequest& request,
                                           const Ledger& ledger) const;
  [[nodiscard]] std::vector<std::size_t> Order(const Ledger& ledger) const;
};

const Service* Scheduler::State::FindService(const ServiceId& id) const {
  const auto found = this->configuration.services.find(id);
  return found == this->configuration.services.end() ? nullptr : &found->second;
}

Profile Scheduler::State::ProfileOf(const ServiceId& id) const {
  const Service* service = this->FindService(id);
  if (service == nullptr) return {};
  const auto found = this->configuration.profiles.find(service->profile);
  return found == this->configuration.profiles.end() ? Profile{}
                                                     : found->second;
}

bool Scheduler::State::WithinQuota(const TeamId& team,
                                   const Resources& more) const {
  const auto found = this->configuration.teams.find(team);
  if (found == this->configuration.teams.end()) return true;
  const auto used = this->usage.find(team);
  const Resources sum = used == this->usage.end() ? more : used->second + more;
  const Resources& quota = found->second.quota;
  const auto within = [](std::int64_t amount, std::int64_t limit) {
    return limit == 0 || amount <= limit;
  };
  return within(sum.cpu_milli, quota.cpu_milli) &&
         within(sum.memory_mb, quota.memory_mb) &&
         within(sum.accelerators, quota.accelerators) &&
         within(sum.slots, quota.slots);
}

std::vector<WorkerId> Scheduler::State::Room(const QueuedRequest& request,
                                             const Ledger& ledger) const {
  const Service* service = this->FindService(request.service);
  if (service == nullptr) return {};
  const Resources all = detail::Times(service->resources, service->tasks);
  if (!this->WithinQuota(request.team, all)) return {};
  return ledger.FindGang(service->resources, service->tasks,
                         this->ProfileOf(request.service).packing,
                         request.avoid);
}

std::vector<std::size_t> Scheduler::State::Order(const Ledger& ledger) const {
  const Resources total = ledger.TotalCapacity();
  std::vector<std::size_t> order(this->queue.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  const auto share = [&](const TeamId& team) {
    const auto used = this->usage.find(team);
    const auto found = this->configuration.teams.find(team);
    if (used == this->usage.end()) return 0.0;
    const double weight =
        found == this->configuration.teams.end() ? 1.0 : found->second.weight;
    return detail::DominantShare(used->second, total) / weight;
  };
  std::ranges::stable_sort(order, [&](std::size_t a, std::size_t b) {
    const QueuedRequest& x = this->queue[a];
    const QueuedRequest& y = this->queue[b];
    const std::int32_t priority_x = this->ProfileOf(x.service).priority;
    const std::int32_t priority_y = this->ProfileOf(y.service).priority;
    if (priority_x != priority_y) return priority_x < priority_y;
    if (x.team != y.team) {
      const double share_x = share(x.team);
      const double share_y = share(y.team);
      if (share_x != share_y) return share_x < share_y;
      return x.team < y.team;
    }
    return x.place_by < y.place_by;
  });
  return order;
}

Scheduler::Scheduler() : state(std::make_unique<State>()) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::Configure(const Configuration& configuration) {
  this->state->configuration = configuration;
}

Admission Scheduler::Enqueue(Instant now, const Ledger& ledger,
                             QueuedRequest request, bool recovered) {
  const Service* service = this->state->FindService(request.service);
  if (service == nullptr) {
    return {Error::kUnknownService, "service " + request.service.Text()};
  }
  if (!recovered && !this->state->configuration.teams.contains(request.team)) {
    return {Error::kUnknownTeam, "team " + request.team.Text()};
  }
  if (!recovered && !ledger.CouldEverFit(service->resources)) {
    return {Error::kNeverFits, "no worker is large enough"};
  }
  if (!recovered && ledger.EmptyRoomFor(service->resources) < service->tasks) {
    return {Error::kGangImpossible, "the workers are too few"};
  }
  const Profile profile = this->state->ProfileOf(request.service);
  if (!recovered && std::ssize(this->state->queue) >= profile.queue_limit) {
    return {Error::kQueueFull, "profile " + profile.id.Text(),
            this->RetryAfter(now)};
  }
  this->state->queue.push_back(std::move(request));
  return {};
}

bool Scheduler::Cancel(const RequestId& request) {
  return std::erase_if(this->state->queue, [&](const QueuedRequest& queued) {
           return queued.request == request;
         }) > 0;
}

std::vector<Placement> Scheduler::Schedule(Instant now, Ledger* ledger,
                                           std::size_t limit) {
  std::vector<Placement> placements;
  std::vector<RequestId> placed;
  for (const std::size_t position : this->state->Order(*ledger)) {
    const QueuedRequest& request = this->state->queue[position];
    const std::vector<WorkerId> workers = this->state->Room(request, *ledger);
    if (workers.empty()) continue;
    if (!placements.empty() && placements.size() + workers.size() > limit) {
      break;
    }
    const Resources& each =
        this->state->FindService(request.service)->resources;
    for (std::size_t i = 0; i < workers.size(); ++i) {
      TaskId task = MakeTaskId(request, static_cast<std::int32_t>(i));
      if (!ledger->Reserve(workers[i], task, each)) continue;
      this->state->running[task] = {request.request,
                                    request.service,
                                    request.team,
                                    workers[i],
                                    each,
                                    now};
      this->state->usage[request.team] += each;
      placements.push_back({request.request, task, workers[i], each});
    }
    placed.push_back(request.request);
  }
  for (const RequestId& request : placed) this->Cancel(request);
  return placements;
}

std::vector<Preemption> Scheduler::ChooseVictims(Instant /*now*/,
                                                 const Ledger& /*ledger*/) {
  std::int64_t wanted = 0;
  for (const QueuedRequest& request : this->state->queue) {
    if (this->state->ProfileOf(request.service).priority == 0) ++wanted;
  }
  std::vector<Preemption> victims;
  for (auto& [task, running] : this->state->running) {
    if (std::ssize(victims) >= wanted) break;
    const Profile profile = this->state->ProfileOf(running.service);
    if (!profile.preemptible || profile.priority == 0) continue;
    if (running.stopping) continue;
    running.stopping = true;
    victims.push_back({task, running.request, running.worker});
  }
  return victims;
}

std::vector<RequestId> Scheduler::Expire(Instant now) {
  std::vector<RequestId> expired;
  for (const QueuedRequest& request : this->state->queue) {
    if (request.place_by <= now) expired.push_back(request.request);
  }
  for (const RequestId& request : expired) this->Cancel(request);
  return expired;
}

void Scheduler::TaskDone(Instant /*now*/, Ledger* ledger, const TaskId& task,
                         bool /*ran*/) {
  const auto found = this->state->running.find(task);
  if (found == this->state->running.end()) return;
  ledger->Free(found->second.worker, task);
  this->state->usage[found->second.team] -= found->second.resources;
  this->state->running.erase(found);
}

void Scheduler::TaskFound(Instant now, const TaskId& task,
                          const RequestId& request, const ServiceId& service,
                          const TeamId& team, const WorkerId& worker,
                          Duration running_for) {
  if (this->state->running.contains(task)) return;
  const Service* known = this->state->FindService(service);
  const Resources resources = known == nullptr ? Resources{} : known->resources;
  this->state->running[task] = {request, service,   team,
                                worker,  resources, now - running_for};
  this->state->usage[team] += resources;
}

Duration Scheduler::PredictWait(Instant /*now*/, const Ledger& /*ledger*/,
                                const ServiceId& /*service*/) const {
  return Duration(0);
}

Duration Scheduler::RetryAfter(Instant /*now*/) const { return kMinRetryAfter; }

std::optional<Instant> Scheduler::NextWakeup() const {
  std::optional<Instant> next;
  for (const QueuedRequest& request : this->state->queue) {
    if (!next || request.place_by < *next) next = request.place_by;
  }
  return next;
}

std::size_t Scheduler::QueuedCount() const { return this->state->queue.size(); }

std::size_t Scheduler::RunningCount() const {
  return this->state->running.size();
}

}  // namespace mustardproxy
