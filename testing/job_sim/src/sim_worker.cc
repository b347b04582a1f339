#include "job_sim/sim_worker.h"

#include <algorithm>
#include <utility>

#include "job_sim/sim_ticket.h"
#include "mustardproxy/core/resource_math.h"

namespace job_sim {
namespace {

using jobs::OrderOutcome;
using jobs::OrderResult;
using jobs::RunEnd;
using std::chrono::milliseconds;

/// The users' bound on a lease.
constexpr std::int64_t kMaxLeaseMs = 10'000;
/// Work that survives a stop or a lapse, in steps of this.
constexpr std::int64_t kCheckpointMs = 500;
/// How long after a worker has shrunk starts may still go by its former room:
/// the time in which processes are in touch, and a heartbeat.
constexpr Duration kShrinkNotice = milliseconds(4500);
/// The latest that a late order is carried out.
constexpr Duration kLatestOrder = std::chrono::seconds(12);

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

SimWorker::SimWorker(SimWorkers* all, jobs::WorkerInfo info, double clock_rate)
    : all(all),
      info(std::move(info)),
      clock_rate(clock_rate),
      started(all->time->Now()) {}

std::int64_t SimWorker::ClockMs() const {
  const Duration age = this->all->time->Now() - this->started;
  // Zero would stand for no reading.
  return 1 + static_cast<std::int64_t>(this->clock_rate *
                                       static_cast<double>(Milliseconds(age)));
}

OrderResult SimWorker::Refuse(OrderOutcome end) const {
  return {end, this->ClockMs()};
}

bool SimWorker::Fenced(jobs::FencingToken given) {
  if (given < this->token) return true;
  this->token = given;
  return false;
}

void SimWorker::Extend(std::int64_t until_ms) {
  until_ms = std::min(until_ms, this->ClockMs() + kMaxLeaseMs);
  if (until_ms <= this->lease_until_ms) return;
  this->lease_until_ms = until_ms;
  this->CheckLease();
}

void SimWorker::CheckLease() {
  const std::int64_t left = this->lease_until_ms - this->ClockMs();
  const auto real =
      static_cast<std::int64_t>(static_cast<double>(left) / this->clock_rate);
  if (left > 0) {
    this->all->time->After(milliseconds(real + 1), [this] {
      if (this->alive) this->CheckLease();
    });
    return;
  }
  ++this->lapses;
  std::vector<jobs::RunRef> all_runs;
  for (const auto& [run, record] : this->running) all_runs.push_back(run);
  for (const jobs::RunRef& run : all_runs) this->EndRun(run, RunEnd::kLapsed);
}

mustardproxy::Resources SimWorker::Each(const jobs::RunRef& run) const {
  mustardproxy::Resources each =
      this->all->promises->StepOf(run.task.step)->each;
  each.slots = 0;
  return each;
}

mustardproxy::Resources SimWorker::Used() const {
  mustardproxy::Resources used;
  for (const auto& [run, record] : this->running) used += this->Each(run);
  return used;
}

void SimWorker::Resize(const mustardproxy::Resources& capacity) {
  this->former_capacities.emplace_back(this->all->time->Now(),
                                       this->info.capacity);
  this->info.capacity = capacity;
}

mustardproxy::Resources SimWorker::CapacitySince(Instant moment) const {
  mustardproxy::Resources most = this->info.capacity;
  for (const auto& [ended, capacity] : this->former_capacities) {
    if (ended >= moment) most = mustardproxy::ComponentMax(most, capacity);
  }
  return most;
}

void SimWorker::CheckCapacity(const jobs::RunRef& run, bool late) {
  mustardproxy::Resources used = this->Used();
  used += this->Each(run);
  const Duration notice = late ? kShrinkNotice + kLatestOrder : kShrinkNotice;
  if (!used.FitsIn(this->CapacitySince(this->all->time->Now() - notice))) {
    this->all->promises->OnOvercommit(this->info.incarnation.id.Text(), run);
  }
}

bool SimWorker::Permitted(const jobs::StartOrder& order) const {
  const SimJob* job = this->all->promises->Find(order.run.task.step.job);
  if (job == nullptr || !job->job.queue.advice) return true;
  const SimTicket now{order.run.task.step, this->info.incarnation.id,
                      this->info.incarnation.start_unix_ms,
                      this->all->time->Now()};
  return now.Admits(order.ticket);
}

OrderResult SimWorker::Start(const jobs::StartOrder& order, bool late) {
  if (this->refuses_all) return this->Refuse(OrderOutcome::kRefused);
  if (this->Fenced(order.token)) return this->Refuse(OrderOutcome::kFenced);
  if (this->running.contains(order.run)) {
    this->Extend(order.lease_until_ms);
    return this->Refuse(OrderOutcome::kDone);
  }
  const auto closed_run = this->closed.find(order.run.task);
  if (closed_run != this->closed.end() && order.run.run <= closed_run->second) {
    this->Extend(order.lease_until_ms);
    return this->Refuse(OrderOutcome::kOldRun);
  }
  if (order.lease_until_ms <= this->ClockMs()) {
    return this->Refuse(OrderOutcome::kLeaseExpired);
  }
  this->Extend(order.lease_until_ms);
  if (!this->Permitted(order)) return this->Refuse(OrderOutcome::kNoTicket);
  this->CheckCapacity(order.run, late);
  this->all->promises->OnStart(this->info.incarnation.id.Text(), order.run,
                               late);
  this->all->promises->CheckEvacuation(this->info.data_center, order.run, late);
  Running record;
  record.started = this->all->time->Now();
  record.work = this->all->promises->LengthOf(order.run.task.step);
  record.saved_ms = order.checkpoint.empty() ? 0 : std::stoll(order.checkpoint);
  if (record.saved_ms > 0) record.restore = this->all->restore_time;
  this->running[order.run] = record;
  this->Begin(order.run, &this->running[order.run]);
  this->PlanCrash(order.run);
  return this->Refuse(OrderOutcome::kDone);
}

void SimWorker::PlanCrash(const jobs::RunRef& run) {
  if (!this->all->promises->Crashes(run.task)) return;
  const auto crash = [this, run] {
    if (!this->alive || !this->running.contains(run)) return;
    this->all->promises->OnTaskCrash(this->info.incarnation.id.Text(), run);
    if (this->all->crash) {
      this->all->crash(this);
    } else {
      this->Crash();
    }
  };
  const Duration after =
      this->all->promises->Find(run.task.step.job)->crashing->after;
  if (after == Duration::zero()) {
    crash();
  } else {
    this->all->time->After(after, crash);
  }
}

void SimWorker::Begin(const jobs::RunRef& run, Running* record) {
  const SimJob* job = this->all->promises->Find(run.task.step.job);
  if (this->fails_all || job == nullptr || job->hopeless) {
    this->all->time->After(milliseconds(20),
                           [this, run] { this->EndRun(run, RunEnd::kFailed); });
    return;
  }
  if (this->all->promises->StepOf(run.task.step)->gang) {
    this->all->JoinGang(this, run);
    return;
  }
  record->working = true;
  const auto left =
      static_cast<double>(Milliseconds(record->work) - record->saved_ms) *
      this->slowness;
  this->all->time->After(
      record->restore + milliseconds(std::max<std::int64_t>(
                            1, static_cast<std::int64_t>(left))),
      [this, run] { this->EndRun(run, RunEnd::kDone); });
}

std::int64_t SimWorker::DoneMs(const Running& record) const {
  if (!record.working) return record.saved_ms;
  const Duration age = this->all->time->Now() - record.started;
  const auto worked = static_cast<double>(
      Milliseconds(std::max<Duration>(Duration::zero(), age - record.restore)));
  return record.saved_ms + static_cast<std::int64_t>(worked / this->slowness);
}

std::string SimWorker::Checkpoint(const Running& record, bool at_stop) const {
  const std::int64_t step =
      at_stop && this->all->saves_at_stop ? 1 : kCheckpointMs;
  const std::int64_t done = this->DoneMs(record) / step;
  return done == 0 ? std::string() : std::to_string(done * step);
}

OrderResult SimWorker::Stop(const jobs::StopOrder& order) {
  if (this->Fenced(order.token)) return this->Refuse(OrderOutcome::kFenced);
  jobs::RunNumber& closed_run = this->closed[order.run.task];
  closed_run = std::max(closed_run, order.run.run);
  if (this->running.contains(order.run)) {
    this->all->time->After(this->all->stop_time, [this, run = order.run] {
      this->EndRun(run, RunEnd::kStopped);
    });
  }
  return this->Refuse(OrderOutcome::kDone);
}

void SimWorker::CountWork(const Ended& entry, const Running& record) const {
  const auto core_seconds = [&](std::int64_t ms) {
    return static_cast<double>(ms) *
           static_cast<double>(this->Each(entry.run.run).cpu_milli) / 1e6;
  };
  const std::int64_t age =
      Milliseconds(this->all->time->Now() - record.started);
  this->all->busy_core_s += core_seconds(age);
  std::int64_t lost = std::min(age, Milliseconds(record.restore));
  const bool by_itself =
      entry.run.end == RunEnd::kDone || entry.run.end == RunEnd::kFailed;
  const std::string& saved = entry.run.checkpoint;
  if (!by_itself) {
    lost += this->DoneMs(record) - (saved.empty() ? 0 : std::stoll(saved));
  }
  this->all->lost_core_s += core_seconds(lost);
}

void SimWorker::EndRun(const jobs::RunRef& run, RunEnd end) {
  const auto found = this->running.find(run);
  if (!this->alive || found == this->running.end()) return;
  Ended entry;
  entry.run = {this->next_end++, run, end,
               this->Checkpoint(found->second, end == RunEnd::kStopped)};
  entry.lapses = this->lapses;
  this->CountWork(entry, found->second);
  this->running.erase(found);
  jobs::RunNumber& closed_run = this->closed[run.task];
  closed_run = std::max(closed_run, run.run);
  this->ended.push_back(entry);
  this->all->promises->OnEnd(this->info.incarnation.id.Text(), run, end);
  this->all->LeaveGang(run, end);
  this->Answer();
}

void SimWorker::Hold(const jobs::HoldOrder& order,
                     std::function<void(jobs::HoldResult)> done) {
  if (this->Fenced(order.token)) {
    jobs::HoldResult refused;
    refused.order = this->Refuse(OrderOutcome::kFenced);
    done(refused);
    return;
  }
  this->Extend(order.lease_until_ms);
  std::erase_if(this->ended, [&](const Ended& entry) {
    if (entry.run.number > order.acknowledged_end) return false;
    if (entry.lapses == this->lapses) {
      this->all->promises->OnNoted(entry.run.run, entry.run.end);
    }
    return true;
  });
  if (!this->ended.empty() || order.wait == Duration::zero()) {
    done(this->Lists());
    return;
  }
  auto entry = std::make_shared<Waiting>();
  entry->done = std::move(done);
  this->waiting.push_back(entry);
  this->all->time->After(order.wait, [this, entry] {
    if (!entry->done || !this->alive) return;
    std::erase(this->waiting, entry);
    std::exchange(entry->done, {})(this->Lists());
  });
}

jobs::HoldResult SimWorker::Lists() const {
  jobs::HoldResult lists;
  lists.order = this->Refuse(OrderOutcome::kDone);
  lists.order.start_unix_ms = this->info.incarnation.start_unix_ms;
  for (const auto& [run, record] : this->running) {
    const std::int64_t percent = std::min<std::int64_t>(
        99, 100 * this->DoneMs(record) /
                std::max<std::int64_t>(1, Milliseconds(record.work)));
    lists.running.push_back(
        {run, this->Checkpoint(record), static_cast<std::int32_t>(percent), 0});
  }
  for (const Ended& entry : this->ended) lists.ended.push_back(entry.run);
  return lists;
}

void SimWorker::Answer() {
  for (const auto& entry : std::exchange(this->waiting, {})) {
    if (entry->done) std::exchange(entry->done, {})(this->Lists());
  }
}

void SimWorker::Crash() {
  std::vector<jobs::RunRef> all_runs;
  for (const auto& [run, record] : this->running) all_runs.push_back(run);
  const auto cut_off = std::exchange(this->waiting, {});
  this->alive = false;
  this->running.clear();
  for (const jobs::RunRef& run : all_runs) {
    this->all->promises->OnWorkerCrash(run);
    this->all->promises->OnEnd(this->info.incarnation.id.Text(), run,
                               RunEnd::kLapsed);
    this->all->LeaveGang(run, RunEnd::kLapsed);
  }
  if (!this->all->resets_connections) return;
  for (const auto& entry : cut_off) {
    if (entry->done) std::exchange(entry->done, {})({});
  }
}

void SimWorker::FollowLife(const SimWorker& former) {
  this->former_capacities = former.former_capacities;
  this->former_capacities.emplace_back(this->started, former.info.capacity);
}

void SimWorkers::JoinGang(SimWorker* worker, const jobs::RunRef& run) {
  const auto key = std::make_pair(run.task.step, run.run);
  Gang& gang = this->gangs[key];
  gang.members[run] = worker;
  const jobs::Step* step = this->promises->StepOf(run.task.step);
  this->time->After(this->gang_wait, [this, key, run, worker] {
    const auto found = this->gangs.find(key);
    if (found == this->gangs.end()) return;
    const auto size = std::ssize(found->second.members);
    if (size < this->promises->StepOf(key.first)->tasks) {
      worker->EndRun(run, RunEnd::kGangIncomplete);
    }
  });
  if (std::ssize(gang.members) < step->tasks) return;
  gang.begun = this->time->Now();
  for (auto& [member, at] : gang.members) {
    at->running[member].working = true;
    at->running[member].started = this->time->Now();
  }
  const Duration length = this->promises->LengthOf(run.task.step);
  this->time->After(length, [this, key, begun = gang.begun] {
    const auto found = this->gangs.find(key);
    if (found == this->gangs.end() || found->second.begun != begun) return;
    const Gang whole = found->second;
    this->gangs.erase(found);
    for (const auto& [member, at] : whole.members) {
      at->EndRun(member, RunEnd::kDone);
    }
  });
}

void SimWorkers::LeaveGang(const jobs::RunRef& run, RunEnd end) {
  if (end == RunEnd::kDone) return;
  const auto found = this->gangs.find({run.task.step, run.run});
  if (found == this->gangs.end()) return;
  Gang rest = std::move(found->second);
  this->gangs.erase(found);
  rest.members.erase(run);
  for (const auto& [member, at] : rest.members) {
    at->EndRun(member, RunEnd::kGangMemberEnded);
  }
}

SimWorker* SimWorkers::Add(jobs::WorkerInfo info) {
  const std::string id = info.incarnation.id.Text();
  this->at_address[info.address] = id;
  // A worker's clock may be two in a hundred slow.
  const double rate = 0.98 + 0.02 * this->time->Draw();
  auto& slot = this->workers[id];
  if (slot) this->former.push_back(std::move(slot));
  slot = std::make_unique<SimWorker>(this, std::move(info), rate);
  return slot.get();
}

SimWorker* SimWorkers::At(const std::string& address) {
  const auto found = this->at_address.find(address);
  return found == this->at_address.end() ? nullptr : this->Find(found->second);
}

SimWorker* SimWorkers::Find(const std::string& id) {
  const auto found = this->workers.find(id);
  return found == this->workers.end() ? nullptr : found->second.get();
}

SimWorker* SimWorkers::FindLife(const std::string& id,
                                std::int64_t start_unix_ms) {
  SimWorker* latest = this->Find(id);
  if (latest == nullptr ||
      latest->Info().incarnation.start_unix_ms == start_unix_ms)
    return latest;
  for (const auto& life : this->former) {
    const jobs::WorkerInfo& info = life->Info();
    if (info.incarnation.id.Text() == id &&
        info.incarnation.start_unix_ms == start_unix_ms)
      return life.get();
  }
  return nullptr;
}

std::vector<SimWorker*> SimWorkers::Alive() {
  std::vector<SimWorker*> alive;
  for (const auto& [id, worker] : this->workers) {
    if (worker->Alive()) alive.push_back(worker.get());
  }
  return alive;
}

/// One process's way to the workers.
class SimDriver final : public jobs::WorkerDriver {
 public:
  SimDriver(SimWorkers* workers, Process* process)
      : workers(workers), process(process) {}

  void Start(const jobs::WorkerTarget& worker, jobs::StartOrder order,
             std::function<void(OrderResult)> done) override {
    std::optional<Duration> delayed;
    if (this->workers->delay_start) {
      delayed = this->workers->delay_start(worker, order);
    }
    this->Send<OrderResult>(
        worker, milliseconds(500), kWaits, std::move(done),
        [order](SimWorker* at, bool late,
                const std::function<void(OrderResult)>& answer) {
          answer(at->Start(order, late));
        },
        delayed);
  }

  void Stop(const jobs::WorkerTarget& worker, jobs::StopOrder order,
            std::function<void(OrderResult)> done) override {
    this->Send<OrderResult>(
        worker, milliseconds(500), kWaits, std::move(done),
        [order](SimWorker* at, bool,
                const std::function<void(OrderResult)>& answer) {
          answer(at->Stop(order));
        });
  }

  void Hold(const jobs::WorkerTarget& worker, jobs::HoldOrder order,
            std::function<void(jobs::HoldResult)> done) override {
    ++this->workers->holds;
    if (this->Cut(worker)) ++this->workers->unreached_holds;
    this->Send<jobs::HoldResult>(
        worker, order.wait + milliseconds(600), !kWaits, std::move(done),
        [order](SimWorker* at, bool,
                const std::function<void(jobs::HoldResult)>& answer) {
          at->Hold(order, answer);
        });
  }

  void SetConnectionShare(std::size_t connections) override {
    this->workers->connections.SetShare(this->process, connections);
  }
  void CancelWaitingOrders() override {
    this->workers->connections.CancelWaiting(this->process);
  }
  void ReleaseConnections() override {
    this->workers->connections.Release(this->process);
  }

 private:
  /// Whether an order waits for a connection.
  static constexpr bool kWaits = true;

  static void SetEnd(OrderResult* result, OrderOutcome end) {
    result->end = end;
  }
  static void SetEnd(jobs::HoldResult* result, OrderOutcome end) {
    result->order.end = end;
  }

  template <typename Outcome, typename Task>
  void Send(const jobs::WorkerTarget& target, Duration timeout, bool waits,
            std::function<void(Outcome)> done, Task task,
            std::optional<Duration> delayed = std::nullopt) {
    this->workers->connections.Use(
        this->process, target.address, waits,
        [this, target, timeout, done = std::move(done), task,
         delayed](Connection connection) {
          if (connection == Connection::kOpen) {
            this->SendConnected<Outcome>(target, timeout, done, task, delayed);
            return;
          }
          Outcome unsent;
          SetEnd(&unsent, connection == Connection::kReset
                              ? OrderOutcome::kRefused
                              : OrderOutcome::kNotSent);
          this->workers->time->After(
              this->workers->latency, [this, done, unsent] {
                this->process->Post([done, unsent] { done(unsent); });
              });
        });
  }

  template <typename Outcome, typename Task>
  void SendConnected(const jobs::WorkerTarget& target, Duration timeout,
                     std::function<void(Outcome)> done, Task task,
                     std::optional<Duration> delayed) {
    VirtualTime* time = this->workers->time;
    auto shared =
        std::make_shared<std::function<void(Outcome)>>(std::move(done));
    const auto answer = [this, shared, target](const Outcome& result) {
      this->process->Post([this, shared, target, result] {
        const auto call = std::exchange(*shared, {});
        if (!call) return;
        this->workers->connections.End(this->process, target.address);
        call(result);
      });
    };
    time->After(timeout, [answer] { answer(Outcome{}); });
    const bool drawn_late = time->Chance(this->workers->late_orders);
    const bool late = drawn_late || delayed.has_value();
    const bool lost = late || time->Chance(this->workers->lost_answers);
    Duration delay = this->workers->latency;
    if (drawn_late) {
      delay =
          time->DrawBetween(std::chrono::seconds(2), std::chrono::seconds(12));
    }
    delay = delayed.value_or(delay);
    time->After(delay, [this, target, late, lost, answer, task] {
      const auto back = [this, answer, lost, target](const Outcome& result) {
        if (lost || this->Cut(target)) return;
        this->workers->time->After(this->workers->latency,
                                   [answer, result] { answer(result); });
      };
      this->Arrive<Outcome>(target, late, back, task);
    });
  }

  template <typename Outcome, typename Task>
  void Arrive(const jobs::WorkerTarget& target, bool late,
              const std::function<void(Outcome)>& back, const Task& task) {
    if (this->Cut(target)) return;
    SimWorker* at = this->workers->At(target.address);
    Outcome refused;
    if (at == nullptr || !at->Alive()) {
      SetEnd(&refused, OrderOutcome::kRefused);
      back(refused);
    } else if (at->Info().incarnation.id != target.incarnation.id) {
      SetEnd(&refused, OrderOutcome::kOtherIncarnation);
      back(refused);
    } else {
      // One that crashes as it carries the order out closes the connection.
      task(at, late, [at, back](const Outcome& result) {
        back(at->Alive() ? result : Outcome{});
      });
    }
  }

  [[nodiscard]] bool Cut(const jobs::WorkerTarget& target) const {
    const std::string& worker = target.incarnation.id.Text();
    return this->process->workers_cut || this->workers->cut.contains(worker) ||
           this->workers->cut_from.contains({this->process->Name(), worker});
  }

  SimWorkers* workers;
  Process* process;
};

std::unique_ptr<jobs::WorkerDriver> SimWorkers::Connect(Process* process) {
  return std::make_unique<SimDriver>(this, process);
}

}  // namespace job_sim
