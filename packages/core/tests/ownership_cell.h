#ifndef MUSTARDPROXY_CORE_TESTS_OWNERSHIP_CELL_H_
#define MUSTARDPROXY_CORE_TESTS_OWNERSHIP_CELL_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mustardproxy/core/membership.h"
#include "mustardproxy/core/ownership.h"

namespace mustardproxy::testing {

using namespace std::chrono_literals;

inline const DataCenterId kCellDataCenter("addis-1");
inline constexpr std::size_t kSlots = 8;
inline constexpr Duration kRunTime = 400ms;
inline constexpr Duration kStep = 10ms;
/// One-way latency between any two participants.
inline constexpr Duration kLatency = 2ms;
/// Time after which an unanswered call is reported as unreachable.
inline constexpr Duration kCallTimeout = 800ms;

/// Sender of an attach or a start.
struct Sender {
  ProcessId process;
  Incarnation incarnation = 0;

  friend bool operator==(const Sender&, const Sender&) = default;
};

/// Model of a worker that follows the lease rules in docs/PROTOCOLS.md. It
/// counts running tasks but refuses none for lack of resources, so that
/// overcommitment becomes visible.
class ModelWorker {
 public:
  explicit ModelWorker(WorkerDescription description)
      : description(std::move(description)) {}

  bool Attach(Instant now, const Sender& sender, Epoch epoch, Duration lease) {
    const bool in_force = now < this->lease_until;
    const bool repeat = in_force && sender == this->holder &&
                        epoch == this->highest && this->attached;
    const bool free = !in_force || sender == this->holder;
    if (!repeat && !(epoch > this->highest && free)) return false;
    if (!repeat) ++this->attaches;
    this->highest = epoch;
    this->attached = true;
    this->holder = sender;
    this->lease_until = now + lease;
    return true;
  }
  bool Renew(Instant now, Epoch epoch, Duration lease) {
    if (!this->Accepts(epoch)) return false;
    this->lease_until = now + lease;
    return true;
  }
  bool Release(Instant now, Epoch epoch) {
    if (!this->Accepts(epoch)) return false;
    this->attached = false;
    this->lease_until = now;
    return true;
  }
  bool Start(Instant now, Epoch epoch, std::uint64_t task, Duration lease) {
    if (this->checks_epoch && !this->Accepts(epoch)) return false;
    if (this->checks_epoch) this->lease_until = now + lease;
    this->tasks[task] = now + kRunTime;
    this->peak = std::max(this->peak, this->Running(now).size());
    return true;
  }
  /// Simulates a restart of the host: all tasks and all state are lost.
  void Restart() {
    *this = ModelWorker(this->description);
    ++this->incarnation;
  }

  [[nodiscard]] std::set<std::uint64_t> Running(Instant now) {
    std::erase_if(this->tasks,
                  [now](const auto& task) { return task.second <= now; });
    std::set<std::uint64_t> running;
    for (const auto& [task, end] : this->tasks) running.insert(task);
    return running;
  }
  [[nodiscard]] WorkerReport Report(Instant now) {
    WorkerReport report;
    report.worker = this->description.id;
    report.epoch = this->highest;
    report.incarnation = this->incarnation;
    for (const std::uint64_t task : this->Running(now)) {
      RunningTask running;
      running.task = TaskId(std::to_string(task));
      report.running.push_back(running);
    }
    return report;
  }
  [[nodiscard]] WorkerRefused Refuse(Instant now, Epoch epoch) const {
    const Duration left = std::max(Duration::zero(), this->lease_until - now);
    return {this->description.id, epoch, this->highest, this->holder.process,
            left};
  }

  WorkerDescription description;
  bool checks_epoch = true;
  Incarnation incarnation = 1;
  std::size_t peak = 0;
  std::int32_t attaches = 0;
  std::int32_t calls = 0;
  Sender holder;

 private:
  [[nodiscard]] bool Accepts(Epoch epoch) const {
    return this->attached && epoch == this->highest;
  }

  Epoch highest = 0;
  bool attached = false;
  Instant lease_until;
  std::map<std::uint64_t, Instant> tasks;
};

/// Model of an entry process that is limited to membership and ownership. It
/// starts as many tasks as it believes to fit when `places_tasks` is set.
struct ModelProcess {
  ModelProcess(const PeerDescription& self,
               const std::vector<PeerDescription>& peers,
               const OwnershipOptions& options, Incarnation incarnation)
      : membership(self, peers, {}),
        ownership(options, incarnation),
        sender{self.process, incarnation} {}

  [[nodiscard]] Digest OwnDigest() const {
    Digest digest;
    digest.process = this->sender.process;
    digest.incarnation = this->sender.incarnation;
    digest.data_center = kCellDataCenter;
    digest.owned_workers =
        static_cast<std::int32_t>(this->ownership.OwnedCount());
    return digest;
  }

  Membership membership;
  Ownership ownership;
  Sender sender;
  bool alive = true;
  bool paused = false;
  bool places_tasks = false;
  std::int32_t started = 0;
  std::int32_t calls = 0;
  std::int32_t heartbeats = 0;
  /// Tasks that the process counts on each worker that it owns.
  std::map<WorkerId, std::set<std::uint64_t>> ledger;
  /// Events that are queued while the process is paused.
  std::vector<std::function<void()>> inbox;
};

/// Processes, workers and the links between them, in virtual time.
class OwnershipCell {
 public:
  OwnershipCell(std::vector<std::string> names, std::size_t workers,
                OwnershipOptions options = {})
      : names(std::move(names)), options(options) {
    for (std::size_t i = 0; i < workers; ++i) {
      const RackId rack(std::to_string(i / 2));
      const WorkerDescription description{WorkerId(Name(i)), "ip:port",
                                          kCellDataCenter, rack, false};
      auto worker = std::make_unique<ModelWorker>(description);
      worker->checks_epoch = options.worker_checks_epoch;
      this->hosts.push_back(description);
      this->workers.push_back(std::move(worker));
    }
  }

  ModelProcess& Start(const std::string& name) {
    std::vector<PeerDescription> peers;
    for (const std::string& peer : this->names) {
      peers.push_back({ProcessId(peer), kCellDataCenter});
    }
    auto process = std::make_unique<ModelProcess>(
        PeerDescription{ProcessId(name), kCellDataCenter}, peers, this->options,
        ++this->last_incarnation);
    ModelProcess& started = *process;
    (void)started.ownership.OnHostList(this->hosts, kCellDataCenter);
    if (this->processes.contains(name)) {
      this->processes[name]->alive = false;
      this->former.push_back(std::move(this->processes[name]));
    }
    this->processes[name] = std::move(process);
    return started;
  }
  void StartAll() {
    for (const std::string& name : this->names) this->Start(name);
  }
  ModelProcess& At(const std::string& name) { return *this->processes[name]; }
  ModelWorker& Worker(std::size_t i) { return *this->workers[i]; }

  /// Blocks all messages between the two until `Heal` is called.
  void Cut(const std::string& a, const std::string& b) {
    this->cuts.insert(a + b);
    this->cuts.insert(b + a);
  }
  void Heal() { this->cuts.clear(); }

  void Resume(const std::string& name) {
    ModelProcess& process = this->At(name);
    process.paused = false;
    for (const auto& event : std::exchange(process.inbox, {})) event();
  }

  /// @param each called after each step
  void Run(Duration time, const std::function<void()>& each = {}) {
    const Instant end = this->now + time;
    while (this->now < end) {
      this->now += kStep;
      this->Deliver();
      for (auto& [name, process] : this->processes) {
        if (process->alive && !process->paused) this->RunProcess(process.get());
      }
      if (each) each();
    }
  }

  /// @return workers on which `name` may start tasks now
  [[nodiscard]] std::size_t OwnedBy(const std::string& name) {
    std::size_t count = 0;
    for (const auto& worker : this->workers) {
      const WorkerId& id = worker->description.id;
      if (this->At(name).ownership.OwnedForStart(this->now, id)) ++count;
    }
    return count;
  }
  [[nodiscard]] bool AllOwnedByPreferred() {
    ModelProcess& any = *this->processes.begin()->second;
    return std::ranges::all_of(this->workers, [&](const auto& worker) {
      const ProcessId owner =
          any.membership.PreferredOwner(worker->description.rack);
      ModelProcess& process = this->At(owner.Text());
      return process.ownership.OwnedForStart(this->now,
                                             worker->description.id) &&
             worker->holder == process.sender;
    });
  }
  [[nodiscard]] std::size_t Peak() const {
    std::size_t peak = 0;
    for (const auto& worker : this->workers) {
      peak = std::max(peak, worker->peak);
    }
    return peak;
  }
  [[nodiscard]] std::int32_t Attaches() const {
    std::int32_t attaches = 0;
    for (const auto& worker : this->workers) attaches += worker->attaches;
    return attaches;
  }
  [[nodiscard]] std::int32_t Refusals() const { return this->refusals; }
  /// Sends a start directly to the worker, like a delayed message that arrives
  /// regardless of what has happened since.
  bool StartAt(std::size_t worker, Epoch epoch) {
    return this->workers[worker]->Start(this->now, epoch, ++this->last_task,
                                        this->options.lease);
  }

  Instant now = Instant(1s);
  std::vector<WorkerDescription> hosts;

 private:
  using Call = std::function<std::function<void()>(ModelWorker&)>;

  static std::string Name(std::size_t i) {
    std::string name = std::to_string(100 + i);
    name.front() = 'w';
    return name;
  }
  void ScheduleEvent(Duration delay, std::function<void()> event) {
    this->queue.emplace(this->now + delay, std::move(event));
  }
  void Deliver() {
    while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
      const auto event = std::move(this->queue.begin()->second);
      this->queue.erase(this->queue.begin());
      event();
    }
  }
  [[nodiscard]] bool Linked(const std::string& a, const std::string& b) const {
    return !this->cuts.contains(a + b);
  }
  static void DeliverTo(ModelProcess* process, std::function<void()> event) {
    if (!process->alive) return;
    if (process->paused) {
      process->inbox.push_back(std::move(event));
    } else {
      event();
    }
  }

  void RunProcess(ModelProcess* process) {
    Actions actions;
    const Digest digest = process->OwnDigest();
    if (process->membership.NextWakeup() <= this->now) {
      process->membership.Tick(this->now, digest, &actions);
    }
    (void)process->membership.TakeLostPeers(this->now);
    process->ownership.Tick(this->now, process->membership, &actions);
    for (const Action& action : actions) this->Perform(process, action);
    if (process->places_tasks) this->Place(process);
  }

  void Perform(ModelProcess* process, const Action& action) {
    if (const auto* digest = std::get_if<SendDigest>(&action)) {
      return this->Perform(process, *digest);
    }
    if (const auto* attach = std::get_if<AttachWorker>(&action)) {
      return this->Perform(process, *attach);
    }
    if (const auto* renew = std::get_if<RenewWorker>(&action)) {
      return this->Perform(process, *renew);
    }
    return this->Perform(process, std::get<ReleaseWorker>(action));
  }

  void Perform(ModelProcess* process, const SendDigest& action) {
    ++process->heartbeats;
    const std::string to = action.peer.Text();
    const std::string from = process->sender.process.Text();
    const bool arrives = this->Linked(from, to) && this->processes.contains(to);
    if (!arrives || !this->At(to).alive || this->At(to).paused) {
      return this->ScheduleEvent(kCallTimeout, [=, this] {
        DeliverTo(process, [=, this] {
          process->membership.OnUnreachable(this->now, action.peer);
        });
      });
    }
    this->ScheduleEvent(kLatency, [=, this] {
      ModelProcess* peer = this->processes[to].get();
      (void)peer->membership.OnDigest(this->now, action.digest);
      const Digest answer = peer->OwnDigest();
      DeliverTo(process, [=, this] {
        (void)process->membership.OnDigest(this->now, answer);
      });
    });
  }

  void Perform(ModelProcess* process, const AttachWorker& action) {
    this->Send(process, action.worker, action.epoch, [=, this](ModelWorker& w) {
      const bool ok =
          w.Attach(this->now, process->sender, action.epoch, action.lease);
      if (!ok) return this->Refusal(process, w, action.epoch);
      return std::function([=, this, report = w.Report(this->now)] {
        if (!process->ownership.OnAttached(this->now, report)) return;
        process->ledger[report.worker] = TasksOf(report);
      });
    });
  }
  void Perform(ModelProcess* process, const RenewWorker& action) {
    this->Send(process, action.worker, action.epoch, [=, this](ModelWorker& w) {
      const bool ok = w.Renew(this->now, action.epoch, action.lease);
      if (!ok) return this->Refusal(process, w, action.epoch);
      return std::function([=, this, report = w.Report(this->now)] {
        process->ownership.OnRenewed(this->now, report);
      });
    });
  }
  void Perform(ModelProcess* process, const ReleaseWorker& action) {
    process->ledger.erase(action.worker);
    this->Send(process, action.worker, action.epoch, [=, this](ModelWorker& w) {
      const bool ok = w.Release(this->now, action.epoch);
      if (!ok) return this->Refusal(process, w, action.epoch);
      return std::function([=, this] {
        process->ownership.OnReleased(this->now, action.worker);
      });
    });
  }

  std::function<void()> Refusal(ModelProcess* process, const ModelWorker& w,
                                Epoch epoch) {
    ++this->refusals;
    return [=, this, refused = w.Refuse(this->now, epoch)] {
      if (process->ownership.OnRefused(this->now, refused)) {
        process->ledger.erase(refused.worker);
      }
    };
  }

  void Send(ModelProcess* process, const WorkerId& worker, Epoch,
            const Call& call) {
    ++process->calls;
    const bool reached =
        this->Linked(process->sender.process.Text(), worker.Text());
    if (!reached) {
      return this->ScheduleEvent(kCallTimeout, [=, this] {
        DeliverTo(process, [=, this] {
          if (process->ownership.OnUnreachable(this->now, worker)) {
            process->ledger.erase(worker);
          }
        });
      });
    }
    this->ScheduleEvent(kLatency, [=, this] {
      ModelWorker& target = this->Find(worker);
      ++target.calls;
      const std::function<void()> answer = call(target);
      this->ScheduleEvent(kLatency, [=] { DeliverTo(process, answer); });
    });
  }

  void Place(ModelProcess* process) {
    for (const auto& worker : this->workers) {
      const WorkerId& id = worker->description.id;
      const auto owned = process->ownership.OwnedForStart(this->now, id);
      if (!owned || process->ledger[id].size() >= kSlots) continue;
      const std::uint64_t task = ++this->last_task;
      process->ledger[id].insert(task);
      process->ownership.OnStartSent(this->now, id);
      this->SendStart(process, id, owned->epoch, task);
    }
  }
  void SendStart(ModelProcess* process, const WorkerId& worker, Epoch epoch,
                 std::uint64_t task) {
    const auto ended = [=, this](bool ran) {
      DeliverTo(process, [=, this] {
        process->ledger[worker].erase(task);
        if (ran) process->ownership.OnStartAnswered(this->now, worker);
        if (!ran) process->ownership.OnStartRefused(this->now, worker);
      });
    };
    const bool reached =
        this->Linked(process->sender.process.Text(), worker.Text());
    if (!reached) {
      return this->ScheduleEvent(kCallTimeout, [=] { ended(false); });
    }
    this->ScheduleEvent(kLatency, [=, this] {
      const bool ran =
          this->Find(worker).Start(this->now, epoch, task, this->options.lease);
      if (ran) ++process->started;
      this->ScheduleEvent(ran ? kRunTime + kLatency : kLatency,
                          [=] { ended(ran); });
    });
  }

  static std::set<std::uint64_t> TasksOf(const WorkerReport& report) {
    std::set<std::uint64_t> tasks;
    for (const RunningTask& task : report.running) {
      tasks.insert(std::stoull(task.task.Text()));
    }
    return tasks;
  }
  ModelWorker& Find(const WorkerId& worker) {
    return **std::ranges::find_if(this->workers, [&worker](const auto& known) {
      return known->description.id == worker;
    });
  }

  std::vector<std::string> names;
  OwnershipOptions options;
  Incarnation last_incarnation = 100;
  std::uint64_t last_task = 0;
  std::int32_t refusals = 0;
  std::map<std::string, std::unique_ptr<ModelProcess>> processes;
  std::vector<std::unique_ptr<ModelProcess>> former;
  std::vector<std::unique_ptr<ModelWorker>> workers;
  std::set<std::string> cuts;
  std::multimap<Instant, std::function<void()>> queue;
};

}  // namespace mustardproxy::testing

#endif  // MUSTARDPROXY_CORE_TESTS_OWNERSHIP_CELL_H_
