#include "cell.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace mustardproxy::fault_matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kWorkerCapacity{4000, 4000, 0, 2};
constexpr Resources kTask{1000, 1000, 0, 1};
/// Leases have settled by then.
constexpr Duration kWarmUp = seconds(3);
constexpr Duration kLoadTime = milliseconds(2500);
/// Everything that was broken works again from here on.
constexpr Duration kHealed = seconds(12);
/// By then all must be answered and ended.
constexpr Duration kRecovery = seconds(90);
constexpr Duration kShortestFault = milliseconds(300);
constexpr Duration kLongestFault = seconds(8);
/// Which time that its step is reached a fault strikes, at most.
constexpr std::int32_t kMostOccurrences = 4;
constexpr std::int32_t kMostOccurrencesOfHeartbeats = 40;
/// Some gangs run so long that a half of one would be noticed.
constexpr double kLongGangs = 0.25;
constexpr Duration kLongGangRun = seconds(28);
constexpr std::uint64_t kFirstQuestion = 1000;

struct KnownService {
  const char* name;
  const char* profile;
  bool idempotent;
  std::int32_t tasks;
};

constexpr KnownService kServices[] = {
    {"screen", "urgent", true, 1}, {"booking", "urgent", false, 1},
    {"rota", "gang", true, 2},     {"review", "batch", true, 1},
    {"letter", "batch", false, 1}, {"means", "batch-gang", true, 2},
};

const KnownService& Known(const std::string& name) {
  return *std::ranges::find_if(
      kServices, [&](const KnownService& each) { return name == each.name; });
}

Profile MakeProfile(const char* name, std::int32_t priority, bool deferred,
                    bool gang) {
  Profile profile;
  profile.id = ProfileId(name);
  profile.priority = priority;
  profile.deferred = deferred;
  profile.gang = gang;
  profile.preemptible = deferred;
  profile.max_wait = deferred ? Duration(std::chrono::hours(1)) : seconds(2);
  profile.max_run = seconds(35);
  // High enough for work that must end though workers fail everything.
  profile.max_attempts = deferred ? 20 : 3;
  return profile;
}

Configuration FirstConfiguration() {
  Configuration configuration;
  configuration.version = 1;
  configuration.default_team = TeamId("dlonie");
  Team team;
  team.id = configuration.default_team;
  configuration.teams[team.id] = team;
  for (const Profile& profile : {MakeProfile("urgent", 0, false, false),
                                 MakeProfile("gang", 1, false, true),
                                 MakeProfile("batch", 2, true, false),
                                 MakeProfile("batch-gang", 2, true, true)}) {
    configuration.profiles[profile.id] = profile;
  }
  for (const KnownService& known : kServices) {
    Service service;
    service.id = ServiceId(known.name);
    service.profile = ProfileId(known.profile);
    service.resources = kTask;
    service.idempotent = known.idempotent;
    service.tasks = known.tasks;
    configuration.services[service.id] = service;
  }
  return configuration;
}

std::vector<PlannedFault> DrawFaults(const ScheduleOptions& options) {
  Simulation random(options.seed * 2654435761U + 17);
  const auto draw_step = [&] {
    return static_cast<Step>(random.Draw(0, kStepCount - 1));
  };
  const auto draw_fault = [&] {
    return static_cast<Fault>(random.Draw(0, kFaultCount - 1));
  };
  // Consecutive seeds go through every step with every fault.
  const auto seed = static_cast<std::int64_t>(options.seed);
  PlannedFault first;
  first.step = options.step.value_or(static_cast<Step>(seed % kStepCount));
  first.fault = options.fault.value_or(
      static_cast<Fault>(seed / kStepCount % kFaultCount));
  std::vector<PlannedFault> faults = {first};
  constexpr double kSecondFault = 0.6;
  constexpr double kThirdFault = 0.3;
  if (random.Chance(kSecondFault)) {
    faults.push_back({draw_step(), draw_fault(), 1, {}, false});
  }
  if (random.Chance(kThirdFault)) {
    faults.push_back({draw_step(), draw_fault(), 1, {}, false});
  }
  for (PlannedFault& fault : faults) {
    const bool often =
        fault.step == Step::kRenew || fault.step == Step::kHeartbeat;
    fault.occurrence = static_cast<std::int32_t>(random.Draw(
        1, often ? kMostOccurrencesOfHeartbeats : kMostOccurrences));
    fault.lasting = random.Draw(kShortestFault, kLongestFault);
  }
  return faults;
}

}  // namespace

Cell::Cell(const ScheduleOptions& options)
    : options(options),
      simulation(options.seed),
      plan(DrawFaults(options)),
      network(&this->simulation, &this->plan, this),
      platform(&this->simulation, &this->promises),
      callers(&this->simulation) {
  this->Build();
}

void Cell::Build() {
  const auto add_worker = [this](const char* name, const char* data_center,
                                 const char* rack) {
    WorkerDescription worker;
    worker.id = WorkerId(name);
    worker.address = name;
    worker.data_center = DataCenterId(data_center);
    worker.rack = RackId(rack);
    this->platform.hosts.push_back(worker);
    this->workers.push_back(std::make_unique<ModelWorker>(
        &this->simulation, &this->promises, worker, kWorkerCapacity,
        this->options.rules));
    this->around.workers[worker.id] = this->workers.back().get();
  };
  add_worker("w1", "dc1", "r1");
  add_worker("w2", "dc1", "r2");
  add_worker("w3", "dc1", "r3");
  add_worker("w4", "dc2", "r4");
  this->platform.configuration = FirstConfiguration();
  this->around.trace = this->options.verbose;
  this->around.network = &this->network;
  this->around.promises = &this->promises;
  this->around.platform = &this->platform;
  this->around.script = [this](const RequestId& id) {
    return this->Script(id);
  };
  this->around.on_accepted = [this](const RequestId& id) {
    this->promises.OnAccepted(id);
  };
  this->around.on_answer = [this](const RequestId& id, const Answer& answer) {
    this->promises.OnAnswer(id, answer);
  };
  this->around.on_query_answer =
      [this](std::uint64_t query, const std::optional<DeferredStatus>& status) {
        const auto found = this->questions.find(query);
        if (found != this->questions.end()) {
          this->promises.CheckResult(found->second, status);
          this->questions.erase(found);
        }
      };
  const std::vector<PeerDescription> peers = {
      {ProcessId("p1"), DataCenterId("dc1")},
      {ProcessId("p2"), DataCenterId("dc1")},
      {ProcessId("q1"), DataCenterId("dc2")}};
  for (const PeerDescription& self : peers) {
    CoreOptions core;
    core.self = self;
    core.peers = peers;
    core.task_lease = seconds(4);
    core.unconfirmed_start_patience = seconds(15);
    this->processes.push_back(
        std::make_unique<EntryProcess>(&this->simulation, &this->around, core));
    this->around.processes[self.process] = this->processes.back().get();
  }
}

TaskScript Cell::Script(const RequestId& request) {
  return this->scripts[request];
}

void Cell::PlanWork() {
  const Instant from = this->simulation.Now() + kWarmUp;
  const auto moment = [&] {
    return from + this->simulation.Draw(Duration{0}, kLoadTime);
  };
  const std::int64_t count = this->simulation.Draw(8, 14);
  for (std::int64_t i = 0; i < count; ++i) {
    const auto kind = this->simulation.Draw(0, std::ssize(kServices) - 1);
    Arrival arrival;
    arrival.service = kServices[kind].name;
    arrival.entry = static_cast<std::size_t>(this->simulation.Draw(0, 2));
    arrival.at = moment();
    arrival.cancelled = this->simulation.Chance(0.08);
    if (this->simulation.Chance(0.2)) {
      arrival.key = std::string("key").append(std::to_string(i));
      // The same key at another process, at about the same time.
      Arrival repeat = arrival;
      repeat.entry = static_cast<std::size_t>(this->simulation.Draw(0, 2));
      repeat.at += this->simulation.Draw(Duration{0}, milliseconds(800));
      this->simulation.At(repeat.at, [this, repeat] { this->Send(repeat); });
    }
    this->simulation.At(arrival.at, [this, arrival] { this->Send(arrival); });
  }
  this->simulation.At(moment(), [this] { this->ChangeConfiguration(); });
  if (this->simulation.Chance(0.5)) {
    this->simulation.At(moment(), [this] { this->ChangeHostList(); });
  }
  if (this->simulation.Chance(0.25)) {
    this->simulation.At(moment(), [this] { this->StopGracefully(); });
  }
}

void Cell::StopGracefully() {
  EntryProcess* process =
      this->processes[static_cast<std::size_t>(this->simulation.Draw(0, 2))]
          .get();
  Call call;
  call.from = &this->callers;
  call.to = process;
  call.step = Step::kShutdown;
  call.work = [process](const Respond& /*respond*/) {
    process->Deliver(ShutdownRequested{});
  };
  this->network.Send(std::move(call));
}

void Cell::Send(const Arrival& arrival) {
  EntryProcess* entry = this->processes[arrival.entry].get();
  Call call;
  call.from = &this->callers;
  call.to = entry;
  call.step = Step::kArrival;
  call.work = [this, entry, arrival](const Respond& /*respond*/) {
    this->Arrive(entry, arrival);
  };
  this->network.Send(std::move(call));
}

void Cell::Arrive(EntryProcess* entry, const Arrival& arrival) {
  const KnownService& known = Known(arrival.service);
  Request request;
  request.id = entry->NewRequestId();
  request.service = ServiceId(arrival.service);
  request.idempotency_key = arrival.key;
  request.timeout = seconds(4);
  request.body = std::make_shared<const std::string>(arrival.service);
  const bool deferred = std::string_view(known.profile).starts_with("batch");
  this->promises.OnSent(
      request.id, {request.service, known.idempotent, deferred, known.tasks},
      entry->Id());
  TaskScript script;
  script.run = deferred
                   ? this->simulation.Draw(milliseconds(200), seconds(2))
                   : this->simulation.Draw(milliseconds(5), milliseconds(600));
  if (known.tasks > 1 && this->simulation.Chance(kLongGangs)) {
    script.run = kLongGangRun;
  }
  this->scripts[request.id] = script;
  const RequestId id = request.id;
  if (arrival.cancelled) {
    this->simulation.After(
        this->simulation.Draw(milliseconds(1), milliseconds(500)),
        [entry, id, run = entry->Run()] {
          if (entry->Run() == run) {
            entry->Deliver(CancelRequested{id});
          }
        });
  }
  entry->Deliver(RequestArrived{std::move(request)});
}

void Cell::ChangeConfiguration() {
  ++this->platform.configuration.version;
  this->PushNews();
}

void Cell::ChangeHostList() {
  this->platform.hosts[2].leaving = true;
  ++this->hosts_version;
}

bool Cell::Reaches(const EntryProcess& process) const {
  return process.Alive() && this->platform.Answers() &&
         !this->network.Cut(process, this->platform);
}

void Cell::PushNews() {
  for (const auto& process : this->processes) {
    if (!this->Reaches(*process)) {
      continue;
    }
    const std::string run =
        process->Name() + "/" + std::to_string(process->Run());
    const ConfigurationVersion known = this->pushed_configuration[run];
    const ConfigurationVersion newest = this->platform.configuration.version;
    if (process->Watches() && known != newest) {
      this->Push(process.get(), Step::kConfigurationChange, [this, run] {
        this->pushed_configuration[run] = this->platform.configuration.version;
        return ConfigurationArrived{this->platform.configuration};
      });
    }
    if (this->pushed_hosts[run] != this->hosts_version) {
      this->Push(process.get(), Step::kHostListChange, [this, run] {
        this->pushed_hosts[run] = this->hosts_version;
        return HostListArrived{this->platform.hosts};
      });
    }
  }
}

void Cell::Push(EntryProcess* process, Step step, std::function<Event()> news) {
  Call call;
  call.from = &this->platform;
  call.to = process;
  call.step = step;
  call.work = [process, news = std::move(news)](const Respond& /*respond*/) {
    process->Deliver(news());
  };
  this->network.Send(std::move(call));
}

void Cell::Apply(const PlannedFault& fault, const Call& call) {
  switch (fault.fault) {
    case Fault::kPlatformDown:
      this->platform.GoDown(fault.lasting);
      return;
    case Fault::kPlatformSlow:
      this->platform.BeSlow(fault.lasting);
      return;
    case Fault::kPlatformRepliesLost:
      this->platform.LoseReplies(fault.lasting);
      return;
    case Fault::kWorkerFailsAll: {
      const auto worker = this->around.workers.find(WorkerId(call.to->Name()));
      ModelWorker* chosen =
          worker != this->around.workers.end()
              ? worker->second
              : this->workers[static_cast<std::size_t>(
                                  this->simulation.Draw(0, 3))]
                    .get();
      chosen->FailAll(fault.lasting);
      return;
    }
    case Fault::kGracefulStop: {
      const auto process =
          this->around.processes.find(ProcessId(call.from->Name()));
      EntryProcess* chosen =
          process != this->around.processes.end()
              ? process->second
              : this->processes[static_cast<std::size_t>(
                                    this->simulation.Draw(0, 2))]
                    .get();
      this->simulation.After(
          Duration{0}, [chosen] { chosen->Deliver(ShutdownRequested{}); });
      return;
    }
    default:
      return;
  }
}

void Cell::Heal() {
  this->plan.End();
  this->network.Heal();
  this->platform.Heal();
  for (const auto& worker : this->workers) {
    worker->Heal();
  }
}

bool Cell::AnyPaused() const {
  const auto paused = [](const auto& node) { return node->Paused(); };
  return this->platform.Paused() ||
         std::ranges::any_of(this->workers, paused) ||
         std::ranges::any_of(this->processes, paused);
}

void Cell::AskResults() {
  std::uint64_t question = kFirstQuestion;
  std::size_t turn = 0;
  for (const RequestId& request : this->promises.AcceptedRequests()) {
    EntryProcess* process =
        this->processes[turn++ % this->processes.size()].get();
    if (!process->Alive()) {
      continue;
    }
    const std::uint64_t query = ++question;
    this->questions[query] = request;
    QueryArrived asked;
    asked.query = query;
    asked.request = request;
    process->Deliver(asked);
  }
}

ScheduleResult Cell::Run() {
  const Instant begin = this->simulation.Now();
  this->platform.Start();
  this->callers.Start();
  for (const auto& worker : this->workers) {
    worker->Start();
  }
  for (const auto& process : this->processes) {
    this->simulation.After(
        this->simulation.Draw(Duration{0}, milliseconds(100)),
        [each = process.get()] { each->Start(); });
  }
  const std::function<void()> news = [this, &news] {
    this->PushNews();
    this->simulation.After(milliseconds(300), news);
  };
  this->simulation.After(milliseconds(300), news);
  this->PlanWork();
  this->simulation.At(begin + kHealed, [this] { this->Heal(); });
  const Instant loaded = begin + kWarmUp + kLoadTime + seconds(1);
  const Instant last = begin + kHealed + kRecovery;
  const auto at_rest = [&] {
    return this->simulation.Now() > loaded && this->promises.AllSettled() &&
           this->network.LateMessages() == 0 && !this->AnyPaused();
  };
  while (!at_rest() && this->simulation.Step(last)) {
  }
  // Nothing may follow once all seems over; the configuration still spreads.
  this->Heal();
  Instant calm = this->simulation.Now() + seconds(12);
  while (this->simulation.Step(calm)) {
    // A process that starts late has journals to adopt.
    for (const auto& process : this->processes) {
      calm = std::max(calm, process->Began() + seconds(30));
    }
  }
  this->AskResults();
  const Instant asked = this->simulation.Now() + seconds(8);
  while (!this->questions.empty() && this->simulation.Step(asked)) {
  }
  std::vector<ConfigurationVersion> in_force;
  for (const auto& process : this->processes) {
    if (process->TheCore() != nullptr) {
      in_force.push_back(process->TheCore()->ConfigurationInForce().version);
    }
  }
  this->promises.CheckAtEnd(this->platform.configuration.version, in_force);
  ScheduleResult result;
  result.faults = this->plan.All();
  result.broken = this->promises.Broken();
  result.sent = this->promises.Sent();
  result.completed = this->promises.Completed();
  result.not_run = this->promises.NotRun();
  result.unknown = this->promises.Unknown();
  result.runs = this->promises.Runs();
  return result;
}

}  // namespace mustardproxy::fault_matrix
