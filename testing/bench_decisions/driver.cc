#include "driver.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

namespace mustardproxy::bench {
namespace {

/// An arrival, or the end of a task.
struct Event {
  Instant at;
  std::uint64_t sequence = 0;
  bool arrival = false;
  /// Of a stream, or of a placement.
  std::size_t index = 0;
};

struct LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
  }
};

/// A request that was accepted and is not placed yet.
struct Waiting {
  std::size_t stream = 0;
  Instant arrived;
  Duration run{0};
  bool counted = false;
  bool placed = false;
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
  }

  RunResult Execute();

 private:
  void Push(Instant at, bool arrival, std::size_t index);
  void ScheduleArrival(std::size_t stream, Instant after);
  void Arrive(std::size_t stream, Instant now);
  void Place(Instant now);
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
  std::unordered_map<RequestId, Waiting> waiting;
  std::vector<Placement> placements;
  RunResult result;
  std::uint64_t sequence = 0;
  std::uint64_t requests = 0;
  Instant last;
  double used_seconds = 0;
};

void Run::Push(Instant at, bool arrival, std::size_t index) {
  this->events.push({at, ++this->sequence, arrival, index});
}

void Run::ScheduleArrival(std::size_t stream, Instant after) {
  std::exponential_distribution<double> gap(
      this->plan.streams[stream].requests_per_second);
  const double seconds = gap(this->random[stream]);
  this->Push(after + Duration(static_cast<Duration::rep>(seconds * 1e6)), true,
             stream);
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
  request.place_by = now + profile.max_wait;
  const bool counted = now >= Instant(Duration(static_cast<Duration::rep>(
                                  this->plan.warm_up_seconds * 1e6)));
  if (!this->dispatcher->Enqueue(now, request)) {
    this->OutcomesOf(stream).refused += counted ? 1 : 0;
  } else {
    this->waiting[request.request] = {
        stream, now, Duration(static_cast<Duration::rep>(run_seconds * 1e6)),
        counted, false};
    this->OutcomesOf(stream).waiting += counted ? 1 : 0;
  }
  this->ScheduleArrival(stream, now);
}

void Run::Place(Instant now) {
  for (Placement& placement : this->dispatcher->Schedule(now)) {
    const auto found = this->waiting.find(placement.request);
    if (found != this->waiting.end() && !found->second.placed) {
      Waiting& known = found->second;
      known.placed = true;
      const std::chrono::duration<double, std::milli> wait =
          now - known.arrived;
      if (known.counted) {
        this->OutcomesOf(known.stream).wait_ms.push_back(wait.count());
        --this->OutcomesOf(known.stream).waiting;
      }
    }
    this->Push(now + this->waiting.at(placement.request).run, false,
               this->placements.size());
    this->placements.push_back(std::move(placement));
  }
}

void Run::Expire(Instant now) {
  for (const RequestId& request : this->dispatcher->Expire(now)) {
    const Waiting& known = this->waiting.at(request);
    if (known.counted) --this->OutcomesOf(known.stream).waiting;
    if (known.counted) ++this->OutcomesOf(known.stream).expired;
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
    if (event.arrival) {
      this->Arrive(event.index, event.at);
    } else {
      this->dispatcher->Done(event.at, this->placements[event.index]);
    }
    this->Place(event.at);
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
  const auto lost =
      static_cast<double>(this->refused + this->expired + this->waiting);
  return placed + lost == 0 ? 1.0 : placed / (placed + lost);
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
