#include "driver.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace mustardproxy::bench {
namespace {

/// After this time a failing worker says that a task failed.
constexpr Duration kFailsAfter = std::chrono::milliseconds(5);
/// Time in which a task that is told to stop ends.
constexpr Duration kStopsAfter = std::chrono::milliseconds(50);
/// Shortest time between two choices of tasks to stop, like the product's.
constexpr Duration kVictimInterval = std::chrono::milliseconds(5);

enum class EventKind { kArrival, kEnd, kStop };

struct Event {
  Instant at;
  std::uint64_t sequence = 0;
  EventKind kind = EventKind::kArrival;
  /// Of a stream, or of a placement.
  std::size_t index = 0;
};

struct LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
  }
};

/// A request that was accepted.
struct Accepted {
  QueuedRequest request;
  std::size_t stream = 0;
  Duration run{0};
  bool counted = false;
  /// On workers that do not fail it.
  bool placed = false;
  /// Tasks that run.
  std::int32_t tasks_left = 0;
};

/// A task that was placed.
struct StartedTask {
  Placement placement;
  /// Its request failed in this attempt, since one of its workers fails.
  bool fails = false;
  /// Its own worker fails.
  bool at_fault = false;
  bool ended = false;
  Instant began;
};

/// Shares of a cell.
struct Shares {
  double cpu = 0;
  double memory = 0;
  double slots = 0;

  [[nodiscard]] double Largest() const {
    return std::max({this->cpu, this->memory, this->slots});
  }
};

/// @return what `tasks` tasks take of all workers
Shares SharesOf(const Service& service, const CellShape& cell) {
  const auto share = [&](std::int64_t part, std::int64_t whole) {
    return static_cast<double>(part * service.tasks) /
           static_cast<double>(whole * cell.workers);
  };
  return {share(service.resources.cpu_milli, cell.capacity.cpu_milli),
          share(service.resources.memory_mb, cell.capacity.memory_mb),
          share(service.resources.slots, cell.capacity.slots)};
}

class Run {
 public:
  Run(const RunPlan& plan, Ledger* ledger, Dispatcher* dispatcher)
      : plan(plan), ledger(ledger), dispatcher(dispatcher) {
    for (std::size_t i = 0; i < plan.streams.size(); ++i) {
      this->random.emplace_back(plan.seed * 1000 + i);
    }
    const double failing_workers = plan.failing_share * plan.cell.workers;
    if (failing_workers < 1) return;
    const double step = plan.cell.workers / failing_workers;
    for (double i = 0; i < plan.cell.workers; i += step) {
      this->failing.insert(WorkerName(static_cast<std::int32_t>(i)));
    }
  }

  RunResult Execute();

 private:
  void Push(Instant at, EventKind kind, std::size_t index);
  void ScheduleArrival(std::size_t stream, Instant after);
  void Arrive(std::size_t stream, Instant now);
  void Place(Instant now);
  void Start(Instant now, std::span<Placement> tasks);
  void CountPlaced(Instant now, Accepted* accepted);
  void End(Instant now, std::size_t index);
  void StopVictims(Instant now);
  void Stop(Instant now, std::size_t index);
  void TryAgain(Instant now, const RequestId& request, const WorkerId& failed);
  void Hold(const Placement& placement, std::int64_t sign);
  [[nodiscard]] bool Fails(const WorkerId& worker) const;
  void Expire(Instant now);
  void CountUse(Instant now);
  Outcomes& OutcomesOf(std::size_t stream);

  const RunPlan& plan;
  Ledger* ledger;
  Dispatcher* dispatcher;
  /// One generator per stream, so that each gives the same arrivals whatever
  /// the dispatcher does.
  std::vector<std::mt19937_64> random;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events;
  std::unordered_map<RequestId, Accepted> accepted;
  std::vector<StartedTask> started;
  std::unordered_map<TaskId, std::size_t> running;
  std::unordered_set<WorkerId> failing;
  std::map<TeamId, Resources> held;
  RunResult result;
  std::uint64_t sequence = 0;
  std::uint64_t requests = 0;
  Instant last;
  Instant next_victims;
  double used_seconds = 0;
};

void Run::Push(Instant at, EventKind kind, std::size_t index) {
  this->events.push({at, ++this->sequence, kind, index});
}

void Run::ScheduleArrival(std::size_t stream, Instant after) {
  std::exponential_distribution<double> gap(
      this->plan.streams[stream].requests_per_second);
  const double seconds = gap(this->random[stream]);
  this->Push(after + Duration(static_cast<Duration::rep>(seconds * 1e6)),
             EventKind::kArrival, stream);
}

Outcomes& Run::OutcomesOf(std::size_t stream) {
  const Stream& source = this->plan.streams[stream];
  return this->result
      .by_stream[source.team.Text() + "/" + source.load.service.Text()];
}

void Run::Arrive(std::size_t stream, Instant now) {
  const Stream& source = this->plan.streams[stream];
  const ServiceLoad& load = source.load;
  std::lognormal_distribution<double> run(
      std::log(load.run_seconds) - load.sigma * load.sigma / 2, load.sigma);
  const double run_seconds = run(this->random[stream]);
  const Service& service = this->plan.configuration.services.at(load.service);
  const Profile& profile =
      this->plan.configuration.profiles.at(service.profile);
  QueuedRequest request;
  request.request =
      RequestId(std::string("q").append(std::to_string(++this->requests)));
  request.service = load.service;
  request.team = source.team;
  request.arrived = now;
  request.placement_deadline = now + profile.max_wait;
  const bool counted = now >= Instant(Duration(static_cast<Duration::rep>(
                                  this->plan.warm_up_seconds * 1e6)));
  if (!this->dispatcher->Enqueue(now, request)) {
    this->OutcomesOf(stream).refused += counted ? 1 : 0;
  } else {
    this->OutcomesOf(stream).waiting += counted ? 1 : 0;
    const Duration run_time(static_cast<Duration::rep>(run_seconds * 1e6));
    this->accepted[request.request] = {request, stream, run_time,
                                       counted, false,  0};
  }
  this->ScheduleArrival(stream, now);
}

bool Run::Fails(const WorkerId& worker) const {
  return this->failing.contains(worker);
}

void Run::Place(Instant now) {
  std::vector<Placement> placements = this->dispatcher->Schedule(now);
  // Tasks of one request stand together.
  for (std::size_t begin = 0; begin < placements.size();) {
    std::size_t end = begin + 1;
    while (end < placements.size() &&
           placements[end].request == placements[begin].request) {
      ++end;
    }
    this->Start(now, std::span(placements).subspan(begin, end - begin));
    begin = end;
  }
}

void Run::Start(Instant now, std::span<Placement> tasks) {
  Accepted& accepted = this->accepted.at(tasks.front().request);
  const bool fails = std::ranges::any_of(tasks, [this](const Placement& task) {
    return this->Fails(task.worker);
  });
  if (!fails) this->CountPlaced(now, &accepted);
  const Instant end = now + (fails ? kFailsAfter : accepted.run);
  for (Placement& task : tasks) {
    ++this->result.tasks;
    ++accepted.tasks_left;
    const bool at_fault = this->Fails(task.worker);
    if (at_fault) ++this->result.failed_tasks;
    this->Hold(task, 1);
    this->Push(end, EventKind::kEnd, this->started.size());
    this->running[task.task] = this->started.size();
    this->started.push_back({std::move(task), fails, at_fault, false, now});
  }
}

void Run::CountPlaced(Instant now, Accepted* accepted) {
  if (accepted->placed) return;
  accepted->placed = true;
  if (!accepted->counted) return;
  const std::chrono::duration<double, std::milli> wait =
      now - accepted->request.arrived;
  this->OutcomesOf(accepted->stream).wait_ms.push_back(wait.count());
  --this->OutcomesOf(accepted->stream).waiting;
}

void Run::Hold(const Placement& placement, std::int64_t sign) {
  const TeamId& team = this->accepted.at(placement.request).request.team;
  Resources& now_held = this->held[team];
  if (sign > 0) {
    now_held += placement.resources;
  } else {
    now_held -= placement.resources;
  }
  const Resources whole = this->ledger->TotalCapacity();
  const auto share = [](std::int64_t part, std::int64_t all) {
    return static_cast<double>(part) / static_cast<double>(all);
  };
  double& most = this->result.most_held[team];
  most = std::max({most, share(now_held.cpu_milli, whole.cpu_milli),
                   share(now_held.memory_mb, whole.memory_mb),
                   share(now_held.slots, whole.slots)});
}

void Run::End(Instant now, std::size_t index) {
  StartedTask& task = this->started[index];
  if (task.ended) return;
  task.ended = true;
  this->running.erase(task.placement.task);
  --this->accepted.at(task.placement.request).tasks_left;
  this->Hold(task.placement, -1);
  this->dispatcher->Done(now, task.placement, !task.at_fault);
  if (!task.fails) {
    const Accepted& known = this->accepted.at(task.placement.request);
    ++this->OutcomesOf(known.stream).finished_tasks;
  } else {
    this->TryAgain(now, task.placement.request, task.placement.worker);
  }
}

void Run::TryAgain(Instant now, const RequestId& request,
                   const WorkerId& failed) {
  Accepted& known = this->accepted.at(request);
  if (this->Fails(failed)) known.request.avoid.push_back(failed);
  // The last task of a gang to end speaks for all of them.
  if (known.tasks_left > 0) return;
  const ServiceId& service = known.request.service;
  const Service& entry = this->plan.configuration.services.at(service);
  const Profile& profile = this->plan.configuration.profiles.at(entry.profile);
  if (known.request.attempt >= profile.max_attempts) {
    if (!known.counted) return;
    --this->OutcomesOf(known.stream).waiting;
    ++this->OutcomesOf(known.stream).failed;
    return;
  }
  ++known.request.attempt;
  this->dispatcher->Requeue(now, known.request);
}

void Run::StopVictims(Instant now) {
  if (now < this->next_victims) return;
  this->next_victims = now + kVictimInterval;
  for (const Preemption& victim : this->dispatcher->ChooseVictims(now)) {
    const auto found = this->running.find(victim.task);
    if (found == this->running.end()) continue;
    this->Push(now + kStopsAfter, EventKind::kStop, found->second);
  }
}

void Run::Stop(Instant now, std::size_t index) {
  StartedTask& task = this->started[index];
  if (task.ended) return;
  task.ended = true;
  ++this->result.stopped_tasks;
  this->result.lost_seconds +=
      std::chrono::duration<double>(now - task.began).count();
  this->running.erase(task.placement.task);
  --this->accepted.at(task.placement.request).tasks_left;
  this->Hold(task.placement, -1);
  this->dispatcher->Done(now, task.placement, false);
  // Runs again from its beginning, with a new time to wait.
  Accepted& known = this->accepted.at(task.placement.request);
  known.request.placement_deadline =
      now + (known.request.placement_deadline - known.request.arrived);
  ++known.request.attempt;
  this->dispatcher->Requeue(now, known.request);
}

void Run::Expire(Instant now) {
  for (const RequestId& request : this->dispatcher->Expire(now)) {
    const Accepted& known = this->accepted.at(request);
    if (!known.counted || known.placed) continue;
    --this->OutcomesOf(known.stream).waiting;
    ++this->OutcomesOf(known.stream).expired;
  }
}

void Run::CountUse(Instant now) {
  const double seconds =
      std::chrono::duration<double>(now - this->last).count();
  const Resources free = this->ledger->TotalFree();
  const Resources whole = this->ledger->TotalCapacity();
  const auto used = [](std::int64_t left, std::int64_t all) {
    return 1.0 - static_cast<double>(left) / static_cast<double>(all);
  };
  this->used_seconds +=
      seconds * std::max({used(free.cpu_milli, whole.cpu_milli),
                          used(free.memory_mb, whole.memory_mb),
                          used(free.slots, whole.slots)});
  this->last = now;
}

RunResult Run::Execute() {
  const Instant end{
      Duration(static_cast<Duration::rep>(this->plan.seconds * 1e6))};
  for (std::size_t i = 0; i < this->plan.streams.size(); ++i) {
    this->ScheduleArrival(i, Instant{});
  }
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->CountUse(event.at);
    this->Expire(event.at);
    if (event.kind == EventKind::kArrival) {
      this->Arrive(event.index, event.at);
    } else if (event.kind == EventKind::kEnd) {
      this->End(event.at, event.index);
    } else {
      this->Stop(event.at, event.index);
    }
    this->Place(event.at);
    if (this->plan.preempts) this->StopVictims(event.at);
  }
  this->result.utilisation =
      this->used_seconds /
      std::chrono::duration<double>(this->last - Instant{}).count();
  return std::move(this->result);
}

}  // namespace

double Outcomes::Wait(double quantile) {
  if (this->wait_ms.empty()) return 0;
  const auto rank =
      std::min(this->wait_ms.size() - 1,
               static_cast<std::size_t>(
                   quantile * static_cast<double>(this->wait_ms.size())));
  std::ranges::nth_element(
      this->wait_ms, this->wait_ms.begin() + static_cast<std::ptrdiff_t>(rank));
  return this->wait_ms[rank];
}

double Outcomes::Placed() const {
  const auto placed = static_cast<double>(this->wait_ms.size());
  const auto lost = static_cast<double>(this->refused + this->expired +
                                        this->failed + this->waiting);
  return placed + lost == 0 ? 1.0 : placed / (placed + lost);
}

double Outcomes::Expired() const {
  const auto placed = static_cast<double>(this->wait_ms.size());
  const auto lost = static_cast<double>(this->refused + this->expired +
                                        this->failed + this->waiting);
  if (placed + lost == 0) return 0.0;
  return static_cast<double>(this->expired) / (placed + lost);
}

double Outcomes::MeanWait() const {
  if (this->wait_ms.empty()) return 0;
  double sum = 0;
  for (const double wait : this->wait_ms) sum += wait;
  return sum / static_cast<double>(this->wait_ms.size());
}

Outcomes RunResult::OfService(const std::string& service) const {
  Outcomes sum;
  for (const auto& [name, outcomes] : this->by_stream) {
    if (!name.ends_with("/" + service)) continue;
    sum.wait_ms.insert(sum.wait_ms.end(), outcomes.wait_ms.begin(),
                       outcomes.wait_ms.end());
    sum.refused += outcomes.refused;
    sum.expired += outcomes.expired;
    sum.failed += outcomes.failed;
    sum.finished_tasks += outcomes.finished_tasks;
    sum.waiting += outcomes.waiting;
  }
  return sum;
}

Outcomes RunResult::Of(const std::string& team,
                       const std::string& service) const {
  const auto found = this->by_stream.find(team + "/" + service);
  return found == this->by_stream.end() ? Outcomes{} : found->second;
}

RunResult Drive(const RunPlan& plan, Ledger* ledger, Dispatcher* dispatcher) {
  return Run(plan, ledger, dispatcher).Execute();
}

std::vector<Stream> StreamsOf(const CellShape& cell, const Mix& mix,
                              const std::string& team, double load) {
  std::vector<Stream> streams;
  Shares sum;
  for (const ServiceLoad& known : mix.loads) {
    const Service& service = mix.configuration.services.at(known.service);
    const Shares shares = SharesOf(service, cell);
    const double at_once = known.part / shares.Largest();
    streams.push_back({known, TeamId(team), at_once / known.run_seconds});
    sum.cpu += at_once * shares.cpu;
    sum.memory += at_once * shares.memory;
    sum.slots += at_once * shares.slots;
  }
  for (Stream& stream : streams) {
    stream.requests_per_second *= load / sum.Largest();
  }
  return streams;
}

}  // namespace mustardproxy::bench
