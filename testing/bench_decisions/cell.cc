#include "cell.h"

#include <cmath>

namespace mustardproxy::bench {
namespace {

Profile MakeProfile(const char* name, std::int32_t priority,
                    Duration max_wait) {
  Profile profile;
  profile.id = ProfileId(name);
  profile.priority = priority;
  profile.max_wait = max_wait;
  profile.queue_limit = 1'000'000;
  return profile;
}

Resources Part(const Resources& whole, std::int64_t sixteenths) {
  return {whole.cpu_milli * sixteenths / 16, whole.memory_mb * sixteenths / 16,
          0, 1};
}

void AddService(const ServiceLoad& load, const char* profile,
                const Resources& resources, std::int32_t tasks, Mix* mix) {
  Service service;
  service.id = load.service;
  service.profile = ProfileId(profile);
  service.resources = resources;
  service.tasks = tasks;
  service.expected_run =
      Duration(static_cast<Duration::rep>(load.run_seconds * 1e6));
  mix->configuration.services[service.id] = service;
  mix->loads.push_back(load);
}

}  // namespace

CellShape Dlonie() { return {"dlonie", 50, 8, {16'000, 64'000, 0, 8}}; }

CellShape Addis() { return {"addis", 50, 6, {64'000, 256'000, 0, 8}}; }

CellShape Large() { return {"large", 1200, 8, {16'000, 64'000, 0, 8}}; }

WorkerId WorkerName(std::int32_t number) {
  return WorkerId(std::string("w").append(std::to_string(number)));
}

Ledger OpenCell(const CellShape& cell) {
  Ledger ledger;
  for (std::int32_t i = 0; i < cell.workers; ++i) {
    WorkerDescription worker;
    worker.id = WorkerName(i);
    worker.rack = RackId(
        std::string("r").append(std::to_string(i / cell.workers_per_rack)));
    WorkerReport report;
    report.worker = worker.id;
    report.capacity = cell.capacity;
    ledger.AddWorker(worker, report);
  }
  return ledger;
}

Mix MakeMix(const CellShape& cell, const std::vector<std::string>& teams) {
  Mix mix;
  const bool mostly_urgent = cell.name == "addis";
  const double urgent = mostly_urgent ? 0.45 : 0.20;
  const double deferred = mostly_urgent ? 0.20 : 0.45;
  for (const Profile& profile :
       {MakeProfile("urgent", 0, std::chrono::seconds(2)),
        MakeProfile("standard", 1, std::chrono::seconds(5)),
        MakeProfile("gang", 2, std::chrono::minutes(10)),
        MakeProfile("deferred", 2, std::chrono::minutes(10))}) {
    mix.configuration.profiles[profile.id] = profile;
  }
  mix.configuration.profiles[ProfileId("gang")].gang = true;
  AddService({ServiceId("screen"), urgent, 0.1, 0.5}, "urgent",
             Part(cell.capacity, 1), 1, &mix);
  AddService({ServiceId("review"), 0.25, 0.5, 0.8}, "standard",
             Part(cell.capacity, 2), 1, &mix);
  AddService({ServiceId("rota"), deferred, 5.0, 1.0}, "deferred",
             Part(cell.capacity, 4), 1, &mix);
  AddService({ServiceId("match"), 0.10, 3.0, 0.8}, "gang",
             Part(cell.capacity, 2), 16, &mix);
  for (const std::string& team : teams) {
    mix.configuration.teams[TeamId(team)] = {TeamId(team), 1.0, {}};
  }
  return mix;
}

}  // namespace mustardproxy::bench
