#include "job_sim/sim_cell.h"

#include <algorithm>
#include <utility>

#include "job_sim/sim_ticket.h"
#include "mustardproxy/core/error.h"

namespace job_sim {
namespace {

using mustardproxy::DataCenterId;
using mustardproxy::Error;
using mustardproxy::make_error_code;
using mustardproxy::ProcessId;
using mustardproxy::Result;
using mustardproxy::ServiceId;
using mustardproxy::WorkerId;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPeerLatency = milliseconds(1);
constexpr Duration kPeerTimeout = milliseconds(400);
constexpr Duration kRelayTimeout = milliseconds(250);
constexpr Duration kCallerTimeout = seconds(3);
constexpr int kMostTries = 60;
/// What a draining worker says is left.
constexpr Duration kDrainTime = seconds(2);
/// How long a worker that a task took down is away.
constexpr Duration kMinRestartTime = seconds(1);
constexpr Duration kMostRestart = seconds(5);
constexpr Duration kLeastWait = milliseconds(200);
constexpr Duration kHeartbeat = milliseconds(1500);
constexpr Duration kRegisterRetry = milliseconds(250);
constexpr std::string_view kDesiredKey = "desired";
constexpr std::string_view kWorkerPrefix = "workers/";
constexpr std::string_view kEvacuationPrefix = "evacuate/";

std::string AddressOf(std::size_t index) {
  return "process-" + std::to_string(index);
}

}  // namespace

void KeptLog::Write(std::string_view part, std::string_view event,
                    std::initializer_list<mustardproxy::LogField> fields) {
  const auto at = std::chrono::duration_cast<milliseconds>(
      this->time->Now().time_since_epoch());
  std::string line = std::to_string(at.count()) + " " + std::string(part) +
                     " " + std::string(event);
  for (const mustardproxy::LogField& field : fields) {
    line += " " + std::string(field.key) + "=";
    if (const auto* text = std::get_if<std::string_view>(&field.value)) {
      line += *text;
    } else if (const auto* number = std::get_if<std::int64_t>(&field.value)) {
      line += std::to_string(*number);
    } else {
      line += std::to_string(std::get<double>(field.value));
    }
  }
  this->lines.push_back(std::move(line));
  ++this->counts[std::string(event)];
}

std::size_t KeptLog::Count(std::string_view event) const {
  const auto found = this->counts.find(event);
  return found == this->counts.end() ? 0 : found->second;
}

/// Reads what the simulated operator and workers keep: a version, and the state
/// of a worker; the rest is looked up here.
class SimCell::Schema final : public jobs::PlatformSchema {
 public:
  explicit Schema(SimCell* cell) : cell(cell) {}

  [[nodiscard]] std::string_view DesiredStateKey() const override {
    return kDesiredKey;
  }
  [[nodiscard]] Result<jobs::DesiredState> ParseDesiredState(
      std::string_view value) const override {
    jobs::DesiredState desired;
    desired.version = std::stoull(std::string(value));
    desired.queues = this->cell->other_queues;
    desired.queues.push_back(this->cell->queue);
    desired.services.push_back({this->cell->queue.service, false, false});
    desired.teams = this->cell->applied_teams.at(desired.version);
    desired.keys_required = !desired.teams.empty();
    return desired;
  }
  [[nodiscard]] std::string_view EvacuationPrefix() const override {
    return kEvacuationPrefix;
  }
  [[nodiscard]] std::string_view WorkerPrefix() const override {
    return kWorkerPrefix;
  }
  [[nodiscard]] Result<jobs::WorkerInfo> ParseWorker(
      std::string_view id, std::string_view value) const override {
    const std::string_view state = value.substr(0, value.find(' '));
    const bool read = state == "ready" || state == "draining";
    if (!read) return make_error_code(Error::kSyntax);
    const SimWorker* worker = this->LifeOf(std::string(id), value);
    if (worker == nullptr) return make_error_code(Error::kSyntax);
    jobs::WorkerInfo info = worker->Info();
    info.draining = state == "draining";
    if (info.draining) info.remaining = kDrainTime;
    return info;
  }
  [[nodiscard]] std::uint64_t DigestWorker(
      std::string_view value) const override {
    return std::hash<std::string_view>{}(value);
  }

 private:
  /// @return the life that wrote the entry; the latest if it tells none
  [[nodiscard]] const SimWorker* LifeOf(const std::string& id,
                                        std::string_view value) const {
    const std::size_t space = value.find(' ');
    if (space == std::string_view::npos) return this->cell->workers.Find(id);
    return this->cell->workers.FindLife(
        id, std::stoll(std::string(value.substr(space))));
  }

  SimCell* cell;
};

/// Calls between processes; lost if either end is gone or cut off.
class SimCell::Peers final : public jobs::JobPeers {
 public:
  Peers(SimCell* cell, Process* self) : cell(cell), self(self) {}

  void AnnounceJob(
      const std::string& address, const jobs::AnnouncedJob& job,
      std::function<void(const jobs::LoadReport&)> on_load) override {
    this->Reach(address, [this, address, job,
                          on_load = std::move(on_load)](jobs::JobNode* node) {
      node->OnJob(job);
      const jobs::LoadReportPtr load = this->LoadOf(address);
      if (!load) return;
      this->cell->time.After(kPeerLatency, [this, load, on_load] {
        if (this->self->peers_cut) return;
        this->self->Post([load, on_load] { on_load(*load); });
      });
    });
  }
  void PublishLoad(jobs::LoadReportPtr report) override {
    this->load = std::move(report);
  }
  void AnnounceCancel(const std::string& address,
                      const jobs::JobId& job) override {
    this->Reach(address, [job](jobs::JobNode* node) { node->OnCancel(job); });
  }
  void AnnounceTombstone(const std::string& address,
                         const jobs::StoreItem& tombstone) override {
    this->Reach(address, [tombstone](jobs::JobNode* node) {
      node->OnTombstone(tombstone);
    });
  }
  void QueryJob(const std::string& address, const jobs::JobId& job,
                Done<jobs::JobAnswer> done) override {
    const auto answer = this->Once<jobs::JobAnswer>(std::move(done));
    this->Reach(address, [job, answer](jobs::JobNode* node) {
      node->OnQueryJob(job, answer);
    });
  }
  void QueryPending(const std::string& address, const jobs::QueueName& queue,
                    Done<std::int64_t> done) override {
    const auto answer = this->Once<std::int64_t>(std::move(done));
    this->Reach(address, [queue, answer](jobs::JobNode* node) {
      node->OnQueryPending(queue, answer);
    });
  }
  void Create(const std::string& address, const jobs::CreateRequest& request,
              Done<jobs::CreateOutcome> done) override {
    const auto answer =
        this->Once<jobs::CreateOutcome>(std::move(done), request.timeout);
    this->Reach(address, [request, answer](jobs::JobNode* node) {
      node->OnCreate(request, answer);
    });
  }
  void Ask(const std::string& address, const jobs::AdviceQuestion& question,
           Done<jobs::Advice> done) override {
    const auto answer =
        this->Once<jobs::Advice>(std::move(done), question.timeout);
    this->Reach(address, [question, answer](jobs::JobNode* node) {
      node->OnAsk(question, answer);
    });
  }
  void Relay(const std::string& address, const jobs::RelayBatch& batch,
             Done<jobs::RelayAck> done) override {
    const auto answer =
        this->Once<jobs::RelayAck>(std::move(done), kRelayTimeout);
    this->Reach(address, [batch, answer](jobs::JobNode* node) {
      node->OnRelay(batch, answer);
    });
  }
  void ReturnResults(const std::string& address,
                     const jobs::RelayedResults& results) override {
    jobs::RelayedResults returned = results;
    returned.received_at = this->cell->time.Now() + kPeerLatency;
    this->Reach(address,
                [returned](jobs::JobNode* node) { node->OnResults(returned); });
  }
  void QueryProcess(const std::string& address,
                    Done<jobs::ProcessState> done) override {
    const auto answer = this->Once<jobs::ProcessState>(std::move(done));
    this->Reach(address, [answer](jobs::JobNode* node) {
      node->OnQueryProcess(answer);
    });
  }

 private:
  void Reach(const std::string& address,
             const std::function<void(jobs::JobNode*)>& task);
  template <typename T>
  std::function<void(Result<T>)> Once(Done<T> done,
                                      Duration limit = kPeerTimeout) {
    auto shared = std::make_shared<Done<T>>(std::move(done));
    this->cell->time.After(limit, [shared] {
      const auto call = std::exchange(*shared, {});
      if (call) call(make_error_code(Error::kPeerLost));
    });
    return [this, shared](const Result<T>& result) {
      this->self->Post([shared, result] {
        const auto call = std::exchange(*shared, {});
        if (call) call(result);
      });
    };
  }

  /// @return what the process at the address has published
  [[nodiscard]] jobs::LoadReportPtr LoadOf(const std::string& address) const;

  SimCell* cell;
  Process* self;
  jobs::LoadReportPtr load;
};

/// The policy service as one process meets it: one question after the other.
class SimCell::Adviser final : public jobs::PlacementAdviser {
 public:
  Adviser(SimCell* cell, Process* self) : cell(cell), self(self) {}

  void Ask(jobs::AdviceQuestion question,
           std::function<void(Result<jobs::Advice>)> done) override {
    if (this->cell->failing_questions > 0) {
      --this->cell->failing_questions;
      this->self->Post([done = std::move(done)] {
        done(make_error_code(Error::kPeerLost));
      });
      return;
    }
    const jobs::Queue& queue = this->QueueOf(question.step);
    const jobs::AdvicePolicy policy =
        queue.advice.value_or(jobs::AdvicePolicy{});
    const Duration cost =
        policy.decision +
        policy.per_worker * static_cast<std::int64_t>(question.workers.size());
    this->free_at = std::max(this->free_at, this->cell->time.Now()) + cost;
    jobs::Advice advice;
    advice.validity = policy.validity;
    const Instant expires = this->free_at + policy.validity;
    for (const WorkerId& worker : question.workers) {
      if (!this->Permits(queue, question.step, worker)) continue;
      const SimWorker* known = this->cell->workers.Find(worker.Text());
      const std::int64_t start_unix_ms =
          known == nullptr ? 0 : known->Info().incarnation.start_unix_ms;
      const SimTicket ticket{question.step, worker, start_unix_ms, expires};
      advice.permitted.push_back({worker, ticket.Text()});
    }
    const Duration delay =
        this->free_at - this->cell->time.Now() + milliseconds(2);
    this->cell->time.After(delay, [this, advice, done = std::move(done)] {
      this->self->Post([advice, done] { done(advice); });
    });
  }

 private:
  /// The same answer for the same step and worker, whoever asks.
  [[nodiscard]] bool Permits(const jobs::Queue& queue,
                             const jobs::StepRef& step,
                             const WorkerId& worker) const {
    constexpr std::size_t kSteps = 1000;
    // Never none at all of a few, or the step could not run.
    constexpr std::size_t kFew = 50;
    const SimWorker* known = this->cell->workers.Find(worker.Text());
    const bool by_address = this->cell->permits_by_address && known != nullptr;
    const std::string& name =
        by_address ? known->Info().address : worker.Text();
    const bool chosen = name.ends_with('0') || name.ends_with('3');
    if (chosen && this->cell->workers.Size() <= kFew) return true;
    std::string life = name;
    // Another life may be of another kind.
    if (!by_address && known != nullptr && this->cell->reuses_ids) {
      life += "@" + std::to_string(known->Info().incarnation.start_unix_ms);
    }
    const std::size_t drawn =
        std::hash<std::string>{}(jobs::Text(step) + life) % kSteps;
    return static_cast<double>(drawn) <
           this->cell->permitted_shares.at(queue.name) *
               static_cast<double>(kSteps);
  }
  [[nodiscard]] const jobs::Queue& QueueOf(const jobs::StepRef& step) const {
    const SimJob* job = this->cell->promises.Find(step.job);
    return this->cell->QueueOf(job->job.queue.name);
  }

  SimCell* cell;
  Process* self;
  Instant free_at;
};

/// One run of one process.
struct SimCell::Slot {
  Slot(SimCell* cell, std::size_t index)
      : process(&cell->time, AddressOf(index)),
        store(cell->store.Connect(&this->process)),
        driver(cell->workers.Connect(&this->process)),
        peers(cell, &this->process),
        adviser(cell, &this->process) {
    constexpr std::int64_t kMemory = 260;
    this->node = jobs::JobNode::Builder()
                     .Self(ProcessId(AddressOf(index)), DataCenterId("dc"),
                           cell->next_incarnation++)
                     .PeerAddress(AddressOf(index))
                     .Strength(cell->HostSize(index), kMemory)
                     .StoreWrites(cell->store_writes_per_second)
                     .Overload(cell->overload)
                     .OrderRelays(cell->order_relays)
                     .ConfigurationBound(cell->configuration_bound)
                     .On(&this->process)
                     .Store(this->store.get())
                     .Workers(this->driver.get())
                     .Adviser(&this->adviser)
                     .Peers(&this->peers)
                     .Schema(cell->schema.get())
                     .Log(&cell->log)
                     .Measure(&cell->metrics)
                     .Build();
  }

  Process process;
  std::unique_ptr<jobs::KeyValueStore> store;
  std::unique_ptr<jobs::WorkerDriver> driver;
  Peers peers;
  Adviser adviser;
  std::unique_ptr<jobs::JobNode> node;
};

void SimCell::Peers::Reach(const std::string& address,
                           const std::function<void(jobs::JobNode*)>& task) {
  if (this->self->peers_cut) return;
  this->cell->time.After(kPeerLatency, [this, address, task] {
    for (const auto& slot : this->cell->slots) {
      const bool there = slot && slot->process.Name() == address &&
                         slot->process.Alive() && !slot->process.peers_cut;
      if (!there) continue;
      slot->process.Post([node = slot->node.get(), task] { task(node); });
      return;
    }
  });
}

jobs::LoadReportPtr SimCell::Peers::LoadOf(const std::string& address) const {
  for (const auto& slot : this->cell->slots) {
    if (slot && slot->process.Name() == address) return slot->peers.load;
  }
  return nullptr;
}

SimCell::SimCell(std::uint64_t seed)
    : time(seed),
      log(&this->time),
      promises(&this->time, &this->log),
      store(&this->time),
      workers(&this->time, &this->promises),
      schema(std::make_unique<Schema>(this)) {
  this->workers.crash = [this](SimWorker* worker) {
    this->CrashWorker(worker,
                      this->time.DrawBetween(kMinRestartTime, kMostRestart));
  };
}

SimCell::~SimCell() = default;

void SimCell::StartProcess(std::size_t index) {
  if (this->slots[index]) return;
  this->slots[index] = std::make_unique<Slot>(this, index);
  Slot* slot = this->slots[index].get();
  slot->process.Post([slot] { slot->node->Start(); });
}

void SimCell::KillProcess(std::size_t index) {
  if (!this->slots[index]) return;
  this->slots[index]->process.Kill();
  this->ended.push_back(std::move(this->slots[index]));
}

void SimCell::StopProcess(std::size_t index) {
  Slot* slot = this->slots[index].get();
  if (slot == nullptr) return;
  slot->process.Post([slot] { slot->node->Leave(); });
  this->time.After(seconds(2), [this, index, slot] {
    if (this->slots[index].get() == slot) this->KillProcess(index);
  });
}

Process* SimCell::ProcessAt(std::size_t index) {
  return this->slots[index] ? &this->slots[index]->process : nullptr;
}

jobs::JobNode* SimCell::NodeAt(std::size_t index) {
  return this->slots[index] ? this->slots[index]->node.get() : nullptr;
}

std::optional<std::size_t> SimCell::OwnerIndex() {
  for (std::size_t i = 0; i < this->slots.size(); ++i) {
    const bool decides = this->slots[i] && this->slots[i]->process.Running() &&
                         this->slots[i]->node->Owns();
    if (decides) return i;
  }
  return std::nullopt;
}

SimWorker* SimCell::AddWorker() {
  const std::vector<SimWorker*> alive = this->workers.Alive();
  return this->ListWorker(alive.empty()
                              ? mustardproxy::Resources{16'000, 64'000, 0, 0}
                              : alive.front()->Info().capacity);
}

SimWorker* SimCell::ListWorker(const mustardproxy::Resources& capacity) {
  const auto number = static_cast<std::size_t>(this->next_worker++);
  jobs::WorkerInfo info;
  info.incarnation.id = WorkerId("w" + std::to_string(number));
  info.address = "worker-" + std::to_string(number);
  info.service = this->queue.service;
  info.data_center = this->DataCenterAt(number);
  info.rack = "rack-" + std::to_string(number / this->workers_per_rack);
  info.labels = {"a", info.rack};
  info.capacity = capacity;
  info.incarnation.start_unix_ms = this->NewBirth();
  this->whole_capacity[info.address] = capacity;
  SimWorker* worker = this->workers.Add(info);
  this->WriteEntry(*worker, "ready");
  return worker;
}

DataCenterId SimCell::DataCenterAt(std::size_t number) const {
  const std::size_t center = number % this->data_centers;
  return DataCenterId(center == 0 ? "dc" : "dc" + std::to_string(center));
}

void SimCell::Evacuate(const DataCenterId& data_center) {
  this->promises.OnEvacuation(data_center, /*evacuated=*/true);
  this->store.Put(std::string(kEvacuationPrefix) + data_center.Text(), "1");
}

void SimCell::CancelEvacuation(const DataCenterId& data_center) {
  this->promises.OnEvacuation(data_center, /*evacuated=*/false);
  this->store.Remove(std::string(kEvacuationPrefix) + data_center.Text());
}

std::int64_t SimCell::NewBirth() {
  constexpr std::int64_t kEpochMs = 1'700'000'000'000;
  if (this->hides_births) return 0;
  return kEpochMs + std::chrono::duration_cast<milliseconds>(
                        this->time.Now().time_since_epoch())
                        .count();
}

std::int64_t SimCell::HostSize(std::size_t index) const {
  constexpr std::int64_t kUsualCpuMilli = 250;
  return index < this->host_sizes.size() ? this->host_sizes[index]
                                         : kUsualCpuMilli;
}

void SimCell::WriteEntry(const SimWorker& worker, std::string_view state) {
  const jobs::WorkerInfo& info = worker.Info();
  this->store.Put(std::string(kWorkerPrefix) + info.incarnation.id.Text(),
                  std::string(state) + " " +
                      std::to_string(info.incarnation.start_unix_ms) + " " +
                      std::to_string(info.capacity.cpu_milli) + " " +
                      std::to_string(info.capacity.memory_mb));
}

void SimCell::VaryCapacity(double least) { this->least_capacity = least; }

void SimCell::DrainWorker(SimWorker* worker) {
  this->WriteEntry(*worker, "draining");
}

void SimCell::UnlistWorker(SimWorker* worker) {
  this->store.Remove(std::string(kWorkerPrefix) +
                     worker->Info().incarnation.id.Text());
}

void SimCell::CrashWorker(SimWorker* worker, std::optional<Duration> down) {
  // Entries of lives that ended go after three intervals of silence.
  constexpr Duration kEntryLapse = milliseconds(4500);
  worker->Crash();
  this->time.After(kEntryLapse, [this, worker] {
    const SimWorker* latest =
        this->workers.Find(worker->Info().incarnation.id.Text());
    if (latest == worker) this->UnlistWorker(worker);
  });
  if (!down) return;
  this->time.After(*down, [this, worker] { this->BeginNextLife(*worker); });
}

void SimCell::BeginNextLife(const SimWorker& former) {
  jobs::WorkerInfo info = former.Info();
  info.incarnation.start_unix_ms = this->NewBirth();
  if (!this->reuses_ids) {
    info.incarnation.id = WorkerId("w" + std::to_string(this->next_worker++));
    this->WriteEntry(*this->workers.Add(info), "ready");
    return;
  }
  if (this->least_capacity < 1.0) {
    const double share =
        this->least_capacity + (1.0 - this->least_capacity) * this->time.Draw();
    info.capacity.cpu_milli = static_cast<std::int64_t>(
        share *
        static_cast<double>(this->whole_capacity.at(info.address).cpu_milli));
  }
  SimWorker* next = this->workers.Add(info);
  next->FollowLife(former);
  // Its first heartbeat may come at any moment of an interval.
  this->time.After(this->time.DrawBetween(Duration::zero(), kHeartbeat),
                   [this, next] { this->Register(next); });
}

void SimCell::Register(const SimWorker* worker) {
  if (!worker->Alive()) return;
  if (this->store.silent || this->store.refusing) {
    this->time.After(kRegisterRetry,
                     [this, worker] { this->Register(worker); });
    return;
  }
  this->WriteEntry(*worker, "ready");
}

void SimCell::StartHeartbeats(Duration interval) {
  this->heartbeat = interval;
  for (const SimWorker* worker : this->workers.Alive()) {
    const std::string key =
        std::string(kWorkerPrefix) + worker->Info().incarnation.id.Text();
    this->time.After(this->time.DrawBetween(Duration::zero(), interval),
                     [this, key] { this->Beat(key); });
  }
}

void SimCell::Beat(const std::string& key) {
  const std::string* entry = this->store.Get(key);
  if (entry == nullptr || this->heartbeat == Duration::zero()) return;
  this->store.Put(key, std::string(*entry));
  this->time.After(this->heartbeat, [this, key] { this->Beat(key); });
}

void SimCell::ResizeWorker(SimWorker* worker,
                           const mustardproxy::Resources& capacity) {
  worker->Resize(capacity);
  this->WriteEntry(*worker, "ready");
}

void SimCell::Apply() {
  this->applied_teams[this->version + 1] = this->teams;
  if (!this->teams.empty()) this->promises.OnTeams(this->teams);
  this->store.Put(std::string(kDesiredKey), std::to_string(++this->version));
}

std::size_t SimCell::RunningFrom(std::size_t process) {
  for (std::size_t i = 0; i < this->slots.size(); ++i) {
    const std::size_t index = (process + i) % this->slots.size();
    const bool runs =
        this->slots[index] && this->slots[index]->process.Running();
    if (runs) return index;
  }
  return process % this->slots.size();
}

const jobs::Queue& SimCell::QueueOf(const jobs::QueueName& name) const {
  const auto found = std::find_if(
      this->other_queues.begin(), this->other_queues.end(),
      [&](const jobs::Queue& other) { return other.name == name; });
  return found == this->other_queues.end() ? this->queue : *found;
}

SimJob* SimCell::Submit(jobs::JobSpec spec, std::size_t process,
                        const std::string& key) {
  return this->SubmitTo(this->queue.name, std::move(spec), process, key);
}

SimJob* SimCell::SubmitTo(const jobs::QueueName& name, jobs::JobSpec spec,
                          std::size_t process, const std::string& key) {
  jobs::Job job;
  job.id = jobs::JobId("job" + std::to_string(this->next_job++));
  job.queue = this->QueueOf(name);
  job.spec = std::move(spec);
  for (const jobs::Team& team : this->teams) {
    const auto digest = jobs::KeyDigest::Of(key);
    const bool holds = std::find(team.keys.begin(), team.keys.end(), digest) !=
                       team.keys.end();
    if (holds) job.access = {team.id, digest.Fingerprint()};
  }
  SimJob* entry = this->promises.Add(std::move(job));
  entry->key = key;
  this->SubmitAt(entry->job.id, process, kMostTries);
  return entry;
}

Result<jobs::Admission> SimCell::Admit(jobs::JobNode* node,
                                       const jobs::QueueName& queue,
                                       const std::string& key) const {
  return node->AdmitCall(
      [queue](const jobs::DesiredState& desired) {
        return desired.FindQueue(queue);
      },
      {.key = key});
}

void SimCell::SubmitAt(const jobs::JobId& id, std::size_t process, int tries) {
  SimJob* entry = this->promises.Find(id);
  if (entry->accepted || entry->denied || tries == 0) return;
  const std::size_t index = this->RunningFrom(process);
  // A caller that hears nothing tries another process.
  this->time.After(kCallerTimeout, [this, id, index, tries] {
    this->SubmitAt(id, index + 1, tries - 1);
  });
  Slot* slot = this->slots[index].get();
  if (slot == nullptr) return;
  const Instant sent = this->time.Now();
  const bool calm = this->in_touch();
  slot->process.Post([this, slot, entry, id, sent, calm] {
    const auto admission =
        this->Admit(slot->node.get(), entry->job.queue.name, entry->key);
    if (!admission) {
      if (admission.error() == Error::kUnknownKey) entry->denied = true;
      return;
    }
    slot->node->Submit(
        admission.value(), id, entry->job.spec, kCallerTimeout,
        [this, entry, sent, calm](const jobs::SubmitResult& result) {
          if (result.end != jobs::SubmitOutcome::kAccepted) return;
          this->promises.OnServed(entry->key, sent, calm && this->in_touch());
          entry->accepted = true;
          if (!entry->accepted_at) entry->accepted_at = this->time.Now();
        });
  });
}

std::optional<jobs::SubmitResult> SimCell::AwaitResult(
    const std::shared_ptr<std::optional<jobs::SubmitResult>>& result) {
  this->time.RunUntil([result] { return result->has_value(); },
                      kCallerTimeout + seconds(1));
  return *result;
}

std::optional<jobs::SubmitResult> SimCell::SubmitOnce(const SimJob& job,
                                                      std::size_t process,
                                                      const std::string& key) {
  auto result = std::make_shared<std::optional<jobs::SubmitResult>>();
  Slot* slot = this->slots[process].get();
  slot->process.Post([this, slot, &job, key, result] {
    const auto admission =
        this->Admit(slot->node.get(), job.job.queue.name, key);
    if (!admission) {
      *result = jobs::SubmitResult{jobs::SubmitOutcome::kNotAccepted,
                                   admission.error(),
                                   {},
                                   Duration::zero()};
      return;
    }
    slot->node->Submit(
        admission.value(), job.job.id, job.job.spec, kCallerTimeout,
        [result](const jobs::SubmitResult& given) { *result = given; });
  });
  return this->AwaitResult(result);
}

std::optional<jobs::SubmitResult> SimCell::CancelOnce(const jobs::JobId& id,
                                                      std::size_t process,
                                                      const std::string& key) {
  auto result = std::make_shared<std::optional<jobs::SubmitResult>>();
  Slot* slot = this->slots[process].get();
  slot->process.Post([this, slot, id, key, result] {
    const auto admission = this->Admit(slot->node.get(), this->queue.name, key);
    if (!admission) return;
    slot->node->Cancel(
        admission.value(), id, kCallerTimeout,
        [result](const jobs::SubmitResult& given) { *result = given; });
  });
  return this->AwaitResult(result);
}

std::optional<Result<jobs::JobStatus>> SimCell::AskOnce(
    const jobs::JobId& id, std::size_t process, const std::string& key) {
  auto answer = std::make_shared<std::optional<Result<jobs::JobStatus>>>();
  Slot* slot = this->slots[process].get();
  slot->process.Post([this, slot, id, key, answer] {
    const auto admission = this->Admit(slot->node.get(), this->queue.name, key);
    if (!admission) {
      const Result<jobs::JobStatus> denied = admission.error();
      *answer = denied;
      return;
    }
    slot->node->State(
        admission.value(), id, kCallerTimeout,
        [answer](const Result<jobs::JobStatus>& status) { *answer = status; });
  });
  this->time.RunUntil([answer] { return answer->has_value(); },
                      kCallerTimeout + seconds(1));
  return *answer;
}

void SimCell::Cancel(const jobs::JobId& id, std::size_t process) {
  this->CancelAt(id, process, kMostTries);
}

void SimCell::CancelAt(const jobs::JobId& id, std::size_t process, int tries) {
  SimJob* entry = this->promises.Find(id);
  if (entry->cancelled || tries == 0) return;
  const std::size_t index = this->RunningFrom(process);
  this->time.After(kCallerTimeout, [this, id, index, tries] {
    this->CancelAt(id, index + 1, tries - 1);
  });
  Slot* slot = this->slots[index].get();
  if (slot == nullptr) return;
  slot->process.Post([this, slot, entry, id] {
    // An operator's call: keys are judged where jobs are handed in.
    slot->node->Cancel(jobs::Admission{}, id, kCallerTimeout,
                       [this, entry](const jobs::SubmitResult& result) {
                         // A job that is not known is cancelled, too.
                         const bool acknowledged =
                             result.end == jobs::SubmitOutcome::kAccepted ||
                             result.end == jobs::SubmitOutcome::kNoSuchJob;
                         if (!acknowledged) return;
                         if (std::exchange(entry->cancelled, true)) return;
                         entry->cancelled_at = this->time.Now();
                       });
  });
}

std::optional<jobs::JobState> SimCell::Ask(const jobs::JobId& id,
                                           std::size_t process) {
  const auto status = this->AskStatus(id, process);
  if (!status) return std::nullopt;
  return status->state;
}

std::optional<jobs::JobStatus> SimCell::AskStatus(const jobs::JobId& id,
                                                  std::size_t process) {
  const std::size_t index = this->RunningFrom(process);
  Slot* slot = this->slots[index].get();
  if (slot == nullptr) return std::nullopt;
  const Instant asked = this->time.Now();
  const bool calm = this->in_touch();
  auto answer = std::make_shared<std::optional<Result<jobs::JobStatus>>>();
  slot->process.Post([slot, id, answer] {
    slot->node->State(
        jobs::Admission{}, id, kCallerTimeout,
        [answer](const Result<jobs::JobStatus>& status) { *answer = status; });
  });
  this->time.RunUntil([answer] { return answer->has_value(); },
                      kCallerTimeout + seconds(1));
  if (!*answer) return std::nullopt;
  if (!**answer) {
    if ((*answer)->error() == Error::kUnknownRequest) {
      this->promises.OnShownUnknown(id, asked, calm && this->in_touch());
    }
    return std::nullopt;
  }
  const jobs::JobStatus status = (*answer)->value();
  if (status.state == jobs::JobState::kCompleted) {
    this->promises.OnShownCompleted(id);
  } else if (status.state == jobs::JobState::kFailed) {
    this->promises.OnShownFailed(id);
  }
  return status;
}

bool SimCell::AwaitFinal(const jobs::JobId& id, Duration limit) {
  const Instant end = this->time.Now() + limit;
  while (this->time.Now() < end) {
    const auto state = this->Ask(id, this->time.DrawIndex(this->slots.size()));
    if (state && IsFinal(*state)) return true;
    this->time.RunFor(milliseconds(100));
  }
  return false;
}

void SimCell::Settle(Duration limit) {
  const Instant end = this->time.Now() + limit;
  for (const auto& [id, entry] : this->promises.Jobs()) {
    if (!entry.accepted) continue;
    const Duration remaining = end - this->time.Now();
    const Duration left = std::max<Duration>(remaining, kLeastWait);
    if (this->AwaitFinal(id, left)) continue;
    this->promises.OnUnfinished(
        id, this->Ask(id).value_or(jobs::JobState::kQueued));
  }
}

std::vector<double> SimCell::ProcessorSeconds() const {
  std::map<std::string, double> taken;
  for (const auto* lives : {&this->slots, &this->ended}) {
    for (const auto& slot : *lives) {
      if (!slot) continue;
      taken[slot->process.Name()] += slot->process.ProcessorSeconds();
    }
  }
  std::vector<double> seconds;
  seconds.reserve(taken.size());
  for (const auto& [name, one] : taken) seconds.push_back(one);
  return seconds;
}

SimCell::Builder& SimCell::Builder::Seed(std::uint64_t value) {
  this->seed = value;
  return *this;
}

SimCell::Builder& SimCell::Builder::Processes(std::size_t count) {
  this->processes = count;
  return *this;
}

SimCell::Builder& SimCell::Builder::StartWithin(Duration time) {
  this->start_within = time;
  return *this;
}

SimCell::Builder& SimCell::Builder::Workers(std::size_t count) {
  this->workers = count;
  return *this;
}

SimCell::Builder& SimCell::Builder::Capacity(std::int64_t cpu,
                                             std::int64_t memory) {
  this->cpu_milli = cpu;
  this->memory_mb = memory;
  return *this;
}

SimCell::Builder& SimCell::Builder::Advice(double share, Duration time) {
  this->permitted_share = share;
  this->decision = time;
  return *this;
}

SimCell::Builder& SimCell::Builder::MaxAttempts(std::int32_t attempts) {
  this->max_attempts = attempts;
  return *this;
}

SimCell::Builder& SimCell::Builder::WorkersPerRack(std::size_t count) {
  this->workers_per_rack = count;
  return *this;
}

SimCell::Builder& SimCell::Builder::DataCenters(std::size_t count) {
  this->data_centers = count;
  return *this;
}

SimCell::Builder& SimCell::Builder::StoreWrites(std::int64_t per_second) {
  this->store_writes_per_second = per_second;
  return *this;
}

SimCell::Builder& SimCell::Builder::Overload(jobs::OverloadControl control) {
  this->overload = control;
  return *this;
}

SimCell::Builder& SimCell::Builder::OrderRelays(std::int32_t count) {
  this->order_relays = count;
  return *this;
}

SimCell::Builder& SimCell::Builder::ConfigurationBound(Duration bound) {
  this->configuration_bound = bound;
  return *this;
}

SimCell::Builder& SimCell::Builder::HostSizes(std::vector<std::int64_t> sizes) {
  this->host_sizes = std::move(sizes);
  return *this;
}

SimCell::Builder& SimCell::Builder::HiddenBirths() {
  this->hides_births = true;
  return *this;
}

SimCell::Builder& SimCell::Builder::Queue(jobs::Queue given, double share) {
  this->queues.emplace_back(std::move(given), share);
  return *this;
}

std::unique_ptr<SimCell> SimCell::Builder::Build() {
  std::unique_ptr<SimCell> cell(new SimCell(this->seed));
  cell->queue.name = jobs::QueueName("queue");
  cell->queue.host = "queue.example";
  cell->queue.path_prefix = "/queue/";
  cell->queue.service = ServiceId("service");
  cell->queue.max_attempts = this->max_attempts;
  cell->queue.stretch = 2.0;
  cell->queue.target = seconds(1);
  if (this->permitted_share) {
    cell->permitted_shares[cell->queue.name] = *this->permitted_share;
    cell->queue.advice =
        jobs::AdvicePolicy{this->decision, milliseconds(1), milliseconds(2000)};
  }
  for (auto& [other, share] : this->queues) {
    other.service = cell->queue.service;
    cell->permitted_shares[other.name] = share;
    cell->other_queues.push_back(other);
  }
  cell->workers_per_rack = this->workers_per_rack;
  cell->data_centers = this->data_centers;
  cell->store_writes_per_second = this->store_writes_per_second;
  cell->overload = this->overload;
  cell->host_sizes = this->host_sizes;
  cell->order_relays = this->order_relays;
  cell->configuration_bound = this->configuration_bound;
  cell->hides_births = this->hides_births;
  cell->Apply();
  for (std::size_t i = 0; i < this->workers; ++i) {
    cell->ListWorker({this->cpu_milli, this->memory_mb, 0, 0});
  }
  cell->slots.resize(this->processes);
  for (std::size_t i = 0; i < this->processes; ++i) {
    if (this->start_within == Duration::zero()) {
      cell->StartProcess(i);
      continue;
    }
    cell->time.After(
        cell->time.DrawBetween(Duration::zero(), this->start_within),
        [started = cell.get(), i] { started->StartProcess(i); });
  }
  cell->time.RunUntil([&] { return cell->OwnerIndex().has_value(); },
                      seconds(10));
  cell->time.RunFor(milliseconds(200));
  return cell;
}

jobs::Step MakeStep(std::int32_t tasks, std::int64_t cpu_milli,
                    Duration length) {
  jobs::Step step;
  step.tasks = tasks;
  step.each.cpu_milli = cpu_milli;
  step.each.memory_mb = 100;
  step.estimate = length;
  return step;
}

jobs::JobSpec MakeSpec(std::vector<jobs::Step> steps) {
  jobs::JobSpec spec;
  spec.payload = "payload";
  spec.steps = std::move(steps);
  return spec;
}

}  // namespace job_sim
