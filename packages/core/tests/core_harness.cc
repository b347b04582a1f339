#include "core_harness.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>

namespace mustardproxy::testing {
namespace {

constexpr Resources kWorkerCapacity{16000, 64000, 0, 8};
constexpr Resources kTask{1000, 1000, 0, 1};

CoreOptions Options(std::int32_t workers) {
  CoreOptions options;
  options.self = {ProcessId("p1"), DataCenterId("dc1")};
  options.incarnation = 0xa1;
  options.peers = {{ProcessId("p2"), DataCenterId("dc1")},
                   {ProcessId("q1"), DataCenterId("dc2")}};
  options.seed = 1;
  for (std::int32_t i = 1; i <= workers; ++i) {
    const std::string name = std::string("w").append(std::to_string(i));
    options.workers.push_back({WorkerId(name), name + ":80",
                               DataCenterId("dc1"), RackId("r1"), false});
  }
  return options;
}

Profile MakeProfile(const char* name, std::int32_t priority) {
  Profile profile;
  profile.id = ProfileId(name);
  profile.priority = priority;
  profile.max_wait = std::chrono::seconds(2);
  profile.max_run = std::chrono::seconds(60);
  return profile;
}

void AddService(Configuration* configuration, const char* name,
                const char* profile, bool idempotent, std::int32_t tasks) {
  Service service;
  service.id = ServiceId(name);
  service.profile = ProfileId(profile);
  service.resources = kTask;
  service.idempotent = idempotent;
  service.tasks = tasks;
  configuration->services[service.id] = service;
}

}  // namespace

CoreHarness::CoreHarness(std::int32_t workers) : core(Options(workers)) {
  this->Send(ConfigurationArrived{CellConfiguration()});
  this->Advance(std::chrono::seconds(5));
  BOOST_TEST_REQUIRE(this->core.Status(this->now).owned_workers == workers);
  this->actions.clear();
}

Configuration CoreHarness::CellConfiguration() {
  Configuration configuration;
  configuration.version = 1;
  configuration.default_team = TeamId("dlonie");
  Team team;
  team.id = configuration.default_team;
  configuration.teams[team.id] = team;
  configuration.profiles[ProfileId("urgent")] = MakeProfile("urgent", 0);
  Profile batch = MakeProfile("batch", 2);
  batch.deferred = true;
  batch.preemptible = true;
  batch.max_wait = std::chrono::hours(1);
  configuration.profiles[batch.id] = batch;
  Profile gang = MakeProfile("gang", 1);
  gang.gang = true;
  configuration.profiles[gang.id] = gang;
  AddService(&configuration, "screen", "urgent", true, 1);
  AddService(&configuration, "booking", "urgent", false, 1);
  AddService(&configuration, "review", "batch", true, 1);
  AddService(&configuration, "letter", "batch", false, 1);
  AddService(&configuration, "rota", "gang", true, 2);
  Profile batch_gang = batch;
  batch_gang.id = ProfileId("batch-gang");
  batch_gang.gang = true;
  configuration.profiles[batch_gang.id] = batch_gang;
  AddService(&configuration, "means", "batch-gang", true, 2);
  return configuration;
}

void CoreHarness::Send(Event event) {
  Actions fresh;
  this->core.Handle(this->now, std::move(event), &fresh);
  this->Perform(std::move(fresh));
}

void CoreHarness::Perform(Actions fresh) {
  for (Action& action : fresh) {
    if (!this->Answer(action)) {
      this->actions.push_back(std::move(action));
    }
  }
}

bool CoreHarness::Answer(const Action& action) {
  if (const auto* attach = std::get_if<AttachWorker>(&action)) {
    this->epochs[attach->worker] = attach->epoch;
    if (this->silent_workers.contains(attach->worker)) {
      this->Send(WorkerUnreachable{attach->worker, attach->epoch});
      return true;
    }
    if (this->workers_answer) {
      this->Send(WorkerAttached{this->Report(attach->worker, attach->epoch)});
      return true;
    }
  }
  if (const auto* renew = std::get_if<RenewWorker>(&action)) {
    if (this->silent_workers.contains(renew->worker)) {
      this->Send(WorkerUnreachable{renew->worker, renew->epoch});
      return true;
    }
    if (this->workers_answer) {
      this->Send(WorkerRenewed{this->Report(renew->worker, renew->epoch)});
      return true;
    }
  }
  if (const auto* append = std::get_if<AppendJournal>(&action)) {
    if (this->journal_answers) {
      this->Send(
          JournalAppended{append->batch.journal, append->batch.sequence});
    }
  }
  return false;
}

WorkerReport CoreHarness::Report(const WorkerId& worker, Epoch epoch) {
  WorkerReport report;
  report.worker = worker;
  report.epoch = epoch;
  report.incarnation = this->worker_incarnation;
  report.capacity = kWorkerCapacity;
  report.connections = 64;
  report.running = this->running[worker];
  report.ended = std::exchange(this->ended[worker], {});
  return report;
}

void CoreHarness::Advance(Duration duration) {
  const Instant end = this->now + duration;
  constexpr Duration kShortestStep{100};
  while (this->now < end) {
    const Instant due =
        std::max(this->core.NextWakeup(), this->now + kShortestStep);
    this->now = std::min(due, end);
    this->Send(Tick{});
  }
}

Request CoreHarness::MakeRequest(const std::string& service) {
  Request request;
  request.id = RequestId("p1.a1." + std::to_string(++this->last_request));
  request.service = ServiceId(service);
  request.timeout = std::chrono::seconds(10);
  request.body = std::make_shared<const std::string>("body");
  return request;
}

RequestId CoreHarness::SendRequest(const std::string& service,
                                   const std::string& key) {
  Request request = this->MakeRequest(service);
  request.idempotency_key = key;
  RequestId id = request.id;
  this->Send(RequestArrived{std::move(request)});
  return id;
}

StartTask CoreHarness::TakeStart() {
  const std::vector<StartTask> starts = this->Take<StartTask>();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  return starts.front();
}

Reply CoreHarness::TakeReply() {
  const std::vector<Reply> replies = this->Take<Reply>();
  BOOST_TEST_REQUIRE(replies.size() == 1U);
  return replies.front();
}

void CoreHarness::EndTask(const StartTask& start, std::int32_t status,
                          TaskEnd end) {
  EndedTask ended;
  ended.task = start.spec.task;
  ended.request = start.spec.request;
  ended.end = end;
  ended.status = status;
  ended.body = std::make_shared<const std::string>("answer");
  this->Send(TaskEnded{start.worker, ended});
}

void CoreHarness::AddPeerWithRoom(const std::string& peer,
                                  const std::string& data_center) {
  Digest digest;
  digest.process = ProcessId(peer);
  digest.incarnation = 0xb2;
  digest.data_center = DataCenterId(data_center);
  digest.configuration_version = 1;
  digest.owned_workers = 4;
  digest.free = kWorkerCapacity;
  digest.largest_free = kWorkerCapacity;
  this->Send(DigestArrived{digest});
}

}  // namespace mustardproxy::testing
