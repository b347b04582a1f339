#ifndef MUSTARDPROXY_CORE_TESTS_SCHEDULER_TEST_CELL_H_
#define MUSTARDPROXY_CORE_TESTS_SCHEDULER_TEST_CELL_H_

#include <string>
#include <utility>
#include <vector>

#include "mustardproxy/core/scheduler.h"

namespace mustardproxy::test {

// Uses append: GCC 12 reports a false positive for `"x" + std::to_string(i)`.
inline std::string Numbered(const char* prefix, int number) {
  return std::string(prefix).append(std::to_string(number));
}

/// A scheduler and a ledger with workers of 8 slots, 8000 cpu_milli and 8000
/// MB, and a clock that is advanced by the tests.
class TestCell {
 public:
  explicit TestCell(int workers) {
    for (int i = 0; i < workers; ++i) this->AddWorker(Numbered("w", i));
  }

  void AddWorker(const std::string& id) {
    WorkerDescription worker;
    worker.id = WorkerId(id);
    worker.rack = RackId("r");
    WorkerReport report;
    report.worker = worker.id;
    report.capacity = {8000, 8000, 0, 8};
    this->ledger.AddWorker(worker, report);
  }

  Profile& AddProfile(const char* id, std::int32_t priority,
                      Duration max_wait = std::chrono::minutes(10)) {
    Profile& profile = this->configuration.profiles[ProfileId(id)];
    profile.id = ProfileId(id);
    profile.priority = priority;
    profile.max_wait = max_wait;
    return profile;
  }

  Service& AddService(const char* id, const char* profile,
                      const Resources& resources, std::int32_t tasks = 1) {
    Service& service = this->configuration.services[ServiceId(id)];
    service.id = ServiceId(id);
    service.profile = ProfileId(profile);
    service.resources = resources;
    service.tasks = tasks;
    return service;
  }

  Team& AddTeam(const char* id, double weight = 1.0) {
    Team& team = this->configuration.teams[TeamId(id)];
    team.id = TeamId(id);
    team.weight = weight;
    return team;
  }

  void Configure() { this->scheduler.Configure(this->configuration); }

  Admission Enqueue(const std::string& request, const char* service,
                    const char* team = "a",
                    Duration place_within = std::chrono::minutes(10),
                    bool recovered = false) {
    QueuedRequest queued;
    queued.request = RequestId(request);
    queued.service = ServiceId(service);
    queued.team = TeamId(team);
    queued.arrived = this->now;
    queued.placement_deadline = this->now + place_within;
    return this->scheduler.Enqueue(this->now, this->ledger, std::move(queued),
                                   recovered);
  }

  void EnqueueMany(const char* prefix, int count, const char* service,
                   const char* team = "a") {
    for (int i = 0; i < count; ++i) {
      (void)this->Enqueue(Numbered(prefix, i), service, team);
    }
  }

  std::vector<Placement> Schedule(std::size_t limit = 100000) {
    return this->scheduler.Schedule(this->now, &this->ledger, limit);
  }

  void EndTask(const TaskId& task) {
    this->scheduler.OnTaskEnded(this->now, &this->ledger, task, true);
  }

  Configuration configuration;
  Scheduler scheduler;
  Ledger ledger;
  Instant now{std::chrono::seconds(1000)};
};

/// One slot and an eighth of a worker.
inline constexpr Resources kSmallTask{1000, 1000, 0, 1};

}  // namespace mustardproxy::test

#endif  // MUSTARDPROXY_CORE_TESTS_SCHEDULER_TEST_CELL_H_
