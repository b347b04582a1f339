#include "cell.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mustardproxy/core/membership.h"
#include "mustardproxy/core/ownership.h"

namespace mustardproxy::bench {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 5ms;
constexpr Duration kWarmUp = 120s;
constexpr Duration kMeasured = 240s;
constexpr Duration kStartInterval = 50ms;
constexpr Duration kBatchStartInterval = 7500ms;
constexpr std::int32_t kWorkersPerRack = 6;

/// Adds the processor time of its life to a total.
class Stopwatch {
 public:
  explicit Stopwatch(double* total)
      : total(total), begun(std::chrono::steady_clock::now()) {}
  Stopwatch(const Stopwatch&) = delete;
  Stopwatch& operator=(const Stopwatch&) = delete;
  ~Stopwatch() {
    const auto spent = std::chrono::steady_clock::now() - this->begun;
    *this->total += std::chrono::duration<double, std::nano>(spent).count();
  }

 private:
  double* total;
  std::chrono::steady_clock::time_point begun;
};

std::string Numbered(char kind, std::int32_t number) {
  std::string name = std::to_string(10'000 + number);
  name.front() = kind;
  return name;
}

/// An entry process and what it has cost.
struct Process {
  Process(const PeerDescription& self,
          const std::vector<PeerDescription>& peers, std::uint64_t seed)
      : self(self), membership(self, peers, {}), ownership({}, seed) {}

  PeerDescription self;
  Membership membership;
  Ownership ownership;
  Digest digest;
  double heartbeats = 0;
  double renewals = 0;
  double task_reports = 0;
  double end_reports = 0;
  double nanoseconds = 0;
};

/// All entry processes; those of the first data centre own workers.
class Cell {
 public:
  explicit Cell(const Shape& shape) : shape(shape) {
    this->MakeProcesses();
    this->MakeWorkers();
  }

  Cost Measure() {
    this->Run(kWarmUp);
    for (auto& process : this->processes) Reset(process.get());
    this->Run(kMeasured);
    return this->PerProcess();
  }

 private:
  void MakeProcesses() {
    std::vector<PeerDescription> all;
    const std::int32_t count = this->shape.data_centers * this->shape.members;
    all.reserve(static_cast<std::size_t>(count));
    for (std::int32_t i = 0; i < count; ++i) {
      const DataCenterId home(Numbered('d', i / this->shape.members));
      all.push_back({ProcessId(Numbered('p', i)), home});
    }
    for (const PeerDescription& self : all) {
      const std::uint64_t seed = this->processes.size() + 1;
      this->index[self.process] = this->processes.size();
      this->processes.push_back(std::make_unique<Process>(self, all, seed));
      Digest& digest = this->processes.back()->digest;
      digest.process = self.process;
      digest.incarnation = seed;
      digest.data_center = self.data_center;
      digest.queued = this->shape.load == Load::kOverload ? 100 : 0;
    }
  }
  void MakeWorkers() {
    const DataCenterId home = this->processes.front()->self.data_center;
    for (std::int32_t i = 0; i < this->shape.workers; ++i) {
      const RackId rack(Numbered('r', i / kWorkersPerRack));
      this->workers.push_back(
          {WorkerId(Numbered('w', i)), "10.0.0.1:8080", home, rack, false});
    }
    for (Process* process : this->Owners()) {
      (void)process->ownership.OnHostList(this->workers, home);
    }
  }
  [[nodiscard]] std::vector<Process*> Owners() const {
    std::vector<Process*> owners;
    owners.reserve(static_cast<std::size_t>(this->shape.members));
    for (std::int32_t i = 0; i < this->shape.members; ++i) {
      owners.push_back(this->processes[i].get());
    }
    return owners;
  }
  static void Reset(Process* process) {
    process->heartbeats = 0;
    process->renewals = 0;
    process->task_reports = 0;
    process->end_reports = 0;
    process->nanoseconds = 0;
  }

  void Run(Duration time) {
    const std::vector<Process*> owners = this->Owners();
    const Instant end = this->now + time;
    while (this->now < end) {
      this->now += kStep;
      for (auto& process : this->processes) this->Beat(process.get());
      for (Process* owner : owners) this->Own(owner);
    }
  }

  void Beat(Process* process) {
    if (process->membership.NextWakeup() > this->now) return;
    Actions actions;
    process->digest.owned_workers =
        static_cast<std::int32_t>(process->ownership.OwnedCount());
    {
      const Stopwatch watch(&process->nanoseconds);
      process->membership.Tick(this->now, process->digest, &actions);
      (void)process->membership.TakeLostPeers(this->now);
    }
    for (const Action& action : actions) {
      const auto& sent = std::get<SendDigest>(action);
      Process* peer = this->processes[this->index[sent.peer]].get();
      this->Deliver(sent.digest, peer);
      this->Deliver(peer->digest, process);
    }
  }
  void Deliver(const Digest& digest, Process* process) {
    ++process->heartbeats;
    const Stopwatch watch(&process->nanoseconds);
    (void)process->membership.OnDigest(this->now, digest);
  }

  void Own(Process* process) {
    this->SendStarts(process);
    if (process->ownership.NextWakeup() > this->now) return;
    Actions actions;
    {
      const Stopwatch watch(&process->nanoseconds);
      process->ownership.Tick(this->now, process->membership, &actions);
    }
    for (const Action& action : actions) this->Answer(process, action);
  }
  void SendStarts(Process* process) {
    const bool batch = this->shape.load == Load::kBatch;
    const Duration interval = batch ? kBatchStartInterval : kStartInterval;
    if (this->shape.load == Load::kIdle) {
      // Tells that this process announces its starts; there are none.
      process->ownership.OnStartSent(this->now, WorkerId());
      return;
    }
    if (this->now.time_since_epoch() % interval >= kStep) return;
    const Stopwatch watch(&process->nanoseconds);
    for (const WorkerDescription& worker : this->workers) {
      if (!process->ownership.OwnedForStart(this->now, worker.id)) continue;
      process->ownership.OnStartSent(this->now, worker.id);
      process->ownership.OnStartAnswered(this->now, worker.id);
      // In a full worker each start takes the slot of a task that has ended.
      if (batch) ++this->unreported[worker.id];
    }
  }
  void Answer(Process* process, const Action& action) {
    WorkerReport report = this->Report();
    if (const auto* attach = std::get_if<AttachWorker>(&action)) {
      report.worker = attach->worker;
      report.epoch = attach->epoch;
      (void)process->ownership.OnAttached(this->now, report);
    }
    const auto* renew = std::get_if<RenewWorker>(&action);
    if (renew == nullptr) return;
    report.worker = renew->worker;
    report.epoch = renew->epoch;
    ++process->renewals;
    process->task_reports += static_cast<double>(report.running.size());
    report.ended.resize(std::exchange(this->unreported[renew->worker], 0));
    process->end_reports += static_cast<double>(report.ended.size());
    const Stopwatch watch(&process->nanoseconds);
    process->ownership.OnRenewed(this->now, report);
  }
  [[nodiscard]] WorkerReport Report() const {
    WorkerReport report;
    report.incarnation = 1;
    if (this->shape.load == Load::kIdle) return report;
    const bool batch = this->shape.load == Load::kBatch;
    report.running.resize(batch ? 8 : 1);
    for (RunningTask& task : report.running) {
      task.running_for = batch ? Duration(30s) : Duration(25ms);
    }
    return report;
  }

  [[nodiscard]] Cost PerProcess() const {
    Cost cost;
    const std::vector<Process*> owners = this->Owners();
    const double seconds = std::chrono::duration<double>(kMeasured).count() *
                           static_cast<double>(owners.size());
    for (const Process* process : owners) {
      cost.heartbeats += process->heartbeats / seconds;
      cost.renewals += process->renewals / seconds;
      cost.bytes += process->task_reports * kTaskBytes / seconds;
      cost.bytes += process->end_reports * kEndBytes / seconds;
      cost.nanoseconds += process->nanoseconds / seconds;
    }
    cost.bytes +=
        cost.heartbeats * kHeartbeatBytes + cost.renewals * kRenewalBytes;
    return cost;
  }

  Shape shape;
  Instant now = Instant(1s);
  std::vector<std::unique_ptr<Process>> processes;
  std::unordered_map<ProcessId, std::size_t> index;
  std::vector<WorkerDescription> workers;
  /// Ends of detached tasks since the last report, per worker.
  std::unordered_map<WorkerId, std::size_t> unreported;
};

/// What one process of the baseline knows.
struct BaselineProcess {
  std::unordered_map<ProcessId, Digest> digests;
  std::unordered_map<WorkerId, WorkerReport> reports;
};

}  // namespace

Cost MeasureCell(const Shape& shape) { return Cell(shape).Measure(); }

Cost MeasureBaseline(const Shape& shape) {
  const std::int32_t peers = shape.data_centers * shape.members - 1;
  const double owned = static_cast<double>(shape.workers) / shape.members;
  const double tasks = shape.load == Load::kIdle    ? 0
                       : shape.load == Load::kBatch ? 8
                                                    : 1;
  // Only builds and files the messages: a lower bound for the time.
  constexpr std::int32_t kRounds = 200;
  constexpr double kRoundsPerSecond = 2;
  BaselineProcess process;
  double nanoseconds = 0;
  for (std::int32_t round = 0; round < kRounds; ++round) {
    const Stopwatch watch(&nanoseconds);
    Actions actions;
    for (std::int32_t i = 0; i < peers; ++i) {
      const ProcessId peer(Numbered('p', i));
      actions.emplace_back(SendDigest{peer, {}});
      // Its answer, and the heartbeat that the peer sends by itself.
      process.digests[peer] = Digest();
      process.digests[peer].incarnation = round;
    }
    for (std::int32_t i = 0; i < static_cast<std::int32_t>(owned); ++i) {
      const WorkerId worker(Numbered('w', i));
      actions.emplace_back(RenewWorker{worker, "10.0.0.1:8080", 1, {}, 0});
      process.reports[worker] = WorkerReport();
    }
  }
  Cost cost;
  cost.heartbeats = 2 * kRoundsPerSecond * peers;
  cost.renewals = kRoundsPerSecond * owned;
  cost.bytes = cost.heartbeats * kHeartbeatBytes +
               cost.renewals * (kRenewalBytes + tasks * kTaskBytes);
  cost.nanoseconds = nanoseconds / kRounds * kRoundsPerSecond;
  return cost;
}

}  // namespace mustardproxy::bench
