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
/// Some gangs run so long that a half of one would be noticed.
constexpr double kLongGangs = 0.25;
constexpr Duration kLongGangRun = seconds(28);
/// A process that was killed to be missed stays away for so long, and what was
/// broken works again later then.
constexpr Duration kMissed = seconds(10);
constexpr Duration kHealedAfterLoss = seconds(18);
/// A data centre may be cut off for longer than a journal stays without holder.
constexpr Duration kHealedAfterCut = seconds(40);
constexpr Duration kLongestReview = seconds(2);
/// Some still run when their dead owner's journal is adopted.
constexpr Duration kLongReview = seconds(12);
/// Nothing may be left to do for so long before the cell counts as at rest.
constexpr Duration kRest = seconds(1);
constexpr double kCancelled = 0.08;
constexpr double kOftenCancelled = 0.5;

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

}  // namespace

Cell::Cell(const ScheduleOptions& options)
    : options(options),
      simulation(options.seed),
      preparation(PreparationFor(DrawFaults(options).front().step)),
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
    this->simulation.After(this->simulation.Draw(milliseconds(100), seconds(6)),
                           [this, id] { this->AskForResult(id); });
  };
  this->around.on_answer = [this](const RequestId& id, const Answer& answer) {
    this->promises.OnAnswer(id, answer);
  };
  this->around.on_query_answer =
      [this](std::uint64_t query, const std::optional<DeferredStatus>& status) {
        const auto early = this->early_questions.find(query);
        if (early != this->early_questions.end()) {
          this->promises.OnStatus(early->second, status);
          this->early_questions.erase(early);
        }
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
    core.unconfirmed_start_timeout = seconds(15);
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
    arrival.cancelled = this->simulation.Chance(
        this->preparation.many_cancels ? kOftenCancelled : kCancelled);
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
  if (this->preparation.stop_process || this->simulation.Chance(0.25)) {
    this->simulation.At(moment(), [this] { this->StopGracefully(); });
  }
  if (this->preparation.stop_process) {
    this->simulation.At(moment(), [this] { this->StopGracefully(); });
  }
  this->PlanPreparation(from);
}

void Cell::PlanPreparation(Instant from) {
  const auto victim = static_cast<std::size_t>(this->simulation.Draw(0, 1));
  if (this->preparation.reviews) {
    for (const char* key : {"", "prepared"}) {
      Arrival review;
      review.service = "review";
      review.key = key;
      review.entry = victim;
      review.at = from + this->simulation.Draw(Duration{0}, kLoadTime / 4);
      this->simulation.At(review.at, [this, review] { this->Send(review); });
    }
  }
  if (this->preparation.kill_process) {
    this->simulation.At(
        from + this->simulation.Draw(kLoadTime / 3, kLoadTime),
        [this, victim] { this->processes[victim]->Kill(kMissed); });
  }
}

EntryProcess* Cell::AnyProcess() {
  return this->processes[static_cast<std::size_t>(this->simulation.Draw(0, 2))]
      .get();
}

void Cell::StopGracefully() {
  EntryProcess* process = this->AnyProcess();
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
  const Duration longest =
      this->preparation.kill_process ? kLongReview : kLongestReview;
  script.run = deferred
                   ? this->simulation.Draw(milliseconds(200), longest)
                   : this->simulation.Draw(milliseconds(5), milliseconds(600));
  if (known.tasks > 1 && !this->preparation.stop_process &&
      this->simulation.Chance(kLongGangs)) {
    script.run = kLongGangRun;
    this->long_runs += kLongGangRun;
  }
  this->scripts[request.id] = script;
  const RequestId id = request.id;
  this->places[id] = Place{entry, entry->Run()};
  if (arrival.cancelled) {
    this->PlanCancellation(id, deferred);
  }
  entry->Deliver(RequestArrived{std::move(request)});
}

void Cell::PlanCancellation(const RequestId& request, bool deferred) {
  this->simulation.After(
      this->simulation.Draw(milliseconds(1), milliseconds(500)),
      [this, request] { this->HangUp(request); });
  if (deferred) {
    this->simulation.After(
        this->simulation.Draw(milliseconds(5), milliseconds(1500)),
        [this, request] { this->CancelDeferred(request); });
  }
}

void Cell::HangUp(const RequestId& request) {
  const Place place = this->places.at(request);
  Call call;
  call.from = &this->callers;
  call.to = place.entry;
  call.step = Step::kCancel;
  call.work = [place, request](const Respond& /*respond*/) {
    if (place.entry->Run() == place.run) {
      place.entry->Deliver(CancelRequested{request});
    }
  };
  this->network.Send(std::move(call));
}

void Cell::CancelDeferred(const RequestId& request) {
  if (!this->promises.Accepted(request)) {
    return;
  }
  EntryProcess* process = this->AnyProcess();
  QueryArrived asked;
  asked.query = ++this->last_question;
  asked.request = request;
  asked.cancel = true;
  this->early_questions[asked.query] = request;
  Call call;
  call.from = &this->callers;
  call.to = process;
  call.step = Step::kCancelDeferred;
  call.work = [process, asked](const Respond& /*respond*/) {
    process->Deliver(asked);
  };
  this->network.Send(std::move(call));
}

void Cell::AskForResult(const RequestId& request) {
  QueryArrived asked;
  asked.query = ++this->last_question;
  asked.request = request;
  this->early_questions[asked.query] = request;
  this->AnyProcess()->Deliver(asked);
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

void Cell::Heal() {
  this->plan.End();
  this->network.Heal();
  this->platform.Heal();
  for (const auto& worker : this->workers) {
    worker->Heal();
  }
  const std::set<std::size_t> left = this->leaving_hosts;
  for (const std::size_t host : left) {
    this->ReturnHost(host, false);
  }
}

bool Cell::AnyPaused() const {
  const auto paused = [](const auto& node) { return node->Paused(); };
  return this->platform.Paused() || this->callers.Paused() ||
         std::ranges::any_of(this->workers, paused) ||
         std::ranges::any_of(this->processes, paused);
}

bool Cell::AllIdle() const {
  return std::ranges::all_of(this->processes, [](const auto& process) {
    const Core* core = process->TheCore();
    return core == nullptr || Promises::IsIdle(core->Status({}));
  });
}

void Cell::AskResults() {
  std::size_t turn = 0;
  for (const RequestId& request : this->promises.AcceptedRequests()) {
    EntryProcess* process =
        this->processes[turn++ % this->processes.size()].get();
    if (!process->Alive()) {
      continue;
    }
    const std::uint64_t query = ++this->last_question;
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
  const bool cut =
      std::ranges::any_of(this->plan.All(), [](const PlannedFault& fault) {
        return fault.fault == Fault::kDataCenterCut;
      });
  Duration healed = this->preparation.kill_process ? kHealedAfterLoss : kHealed;
  if (cut) {
    healed = kHealedAfterCut;
  }
  this->simulation.At(begin + healed, [this] { this->Heal(); });
  const Instant loaded = begin + kWarmUp + kLoadTime + seconds(1);
  // Long gangs may have to run one after the other.
  const auto last = [&] {
    return begin + healed + kRecovery + this->long_runs;
  };
  // A call of a caller that was paused may still be on its way.
  Instant busy = begin;
  const auto at_rest = [&] {
    const Instant now = this->simulation.Now();
    const bool quiet = now > loaded && this->promises.AllSettled() &&
                       this->network.LateMessages() == 0 &&
                       !this->AnyPaused() && this->AllIdle();
    if (!quiet) {
      busy = now;
    }
    return now - busy > kRest;
  };
  while (!at_rest() && this->simulation.Step(last())) {
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
  // What was adopted late still runs, long gangs one after the other.
  const Instant ended =
      this->simulation.Now() + kLongGangRun + this->long_runs + kRest;
  while (!this->AllIdle() && this->simulation.Step(ended)) {
  }
  this->AskResults();
  const Instant asked = this->simulation.Now() + seconds(8);
  while (!this->questions.empty() && this->simulation.Step(asked)) {
  }
  std::vector<ConfigurationVersion> in_force;
  for (const auto& process : this->processes) {
    if (process->TheCore() != nullptr) {
      this->promises.CheckIdle(process->Id(), process->TheCore()->Status({}));
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
