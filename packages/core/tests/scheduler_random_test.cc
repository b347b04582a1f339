#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "scheduler_test_cell.h"

namespace mustardproxy {
namespace {

using test::kSmallTask;
using test::Numbered;
using test::TestCell;

constexpr int kSteps = 20000;
constexpr std::int32_t kGangTasks = 5;

/// Random requests, task ends, cancellations, preemptions and worker changes;
/// the invariants are checked after each step.
struct RandomWorkload : TestCell {
  explicit RandomWorkload(std::uint64_t seed) : TestCell(6), random(seed) {
    this->AddProfile("urgent", 0);
    this->AddProfile("standard", 1);
    this->AddProfile("deferred", 2).preemptible = true;
    this->AddService("screen", "urgent", kSmallTask);
    this->AddService("review", "standard", {2000, 1000, 0, 1});
    this->AddService("rota", "deferred", {3000, 5000, 0, 1});
    this->AddService("match", "deferred", kSmallTask, kGangTasks);
    for (const char* team : {"a", "b", "c"}) this->AddTeam(team);
    this->AddTeam("c").quota = {0, 0, 0, 10};
    this->Configure();
  }

  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(this->random);
  }

  void Arrive() {
    const char* const services[] = {"screen", "review", "rota", "match"};
    const char* const teams[] = {"a", "b", "c"};
    (void)this->Enqueue(Numbered("q", ++this->requests),
                        services[this->Draw(0, 3)], teams[this->Draw(0, 2)],
                        std::chrono::seconds(this->Draw(1, 60)));
  }

  void Place() {
    std::map<RequestId, std::int32_t> tasks;
    for (const Placement& placed : this->Schedule()) {
      BOOST_REQUIRE(!this->cancelled.contains(placed.request));
      BOOST_REQUIRE(this->task_ids.insert(placed.task).second);
      this->running.push_back(placed);
      ++tasks[placed.request];
    }
    for (const auto& [request, count] : tasks) {
      BOOST_REQUIRE(this->placed.insert(request).second);
      BOOST_REQUIRE(count == 1 || count == kGangTasks);
    }
  }

  void EndOne() {
    if (this->running.empty()) return;
    const auto ended =
        this->running.begin() +
        this->Draw(0, static_cast<int>(this->running.size()) - 1);
    this->EndTask(ended->task);
    this->running.erase(ended);
  }

  void PreemptVictims() {
    for (const Preemption& victim :
         this->scheduler.ChooseVictims(this->now, this->ledger)) {
      BOOST_REQUIRE(this->victims.insert(victim.task).second);
    }
  }

  void CheckWorkers() {
    std::map<WorkerId, Resources> used;
    for (const Placement& placed : this->running) {
      used[placed.worker] += placed.resources;
    }
    for (const auto& [worker, sum] : used) {
      BOOST_REQUIRE(sum.FitsIn(Resources{8000, 8000, 0, 8}));
    }
    BOOST_REQUIRE(this->scheduler.RunningCount() == this->running.size());
  }

  void Step() {
    this->now += std::chrono::milliseconds(this->Draw(1, 300));
    const int kind = this->Draw(0, 99);
    if (kind < 45) this->Arrive();
    if (kind >= 45 && kind < 85) this->EndOne();
    if (kind >= 85 && kind < 90) {
      const RequestId request(Numbered("q", this->Draw(1, this->requests + 1)));
      if (this->scheduler.Cancel(request)) this->cancelled.insert(request);
    }
    if (kind >= 90 && kind < 94) this->PreemptVictims();
    if (kind >= 94) {
      this->ledger.SetPlaceable(WorkerId(Numbered("w", this->Draw(0, 5))),
                                this->Draw(0, 2) > 0);
    }
    for (const RequestId& request : this->scheduler.Expire(this->now)) {
      BOOST_REQUIRE(!this->placed.contains(request));
      this->cancelled.insert(request);
    }
    this->Place();
    this->CheckWorkers();
  }

  std::mt19937_64 random;
  int requests = 0;
  std::vector<Placement> running;
  std::set<TaskId> task_ids;
  std::set<TaskId> victims;
  std::set<RequestId> placed;
  std::set<RequestId> cancelled;
};

BOOST_AUTO_TEST_SUITE(scheduler_random)

BOOST_AUTO_TEST_CASE(invariants_hold_after_every_step) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    BOOST_TEST_MESSAGE("seed " << seed);
    RandomWorkload workload(seed);
    for (int i = 0; i < kSteps; ++i) workload.Step();
    BOOST_TEST(workload.placed.size() > 1000);
    // After all running tasks have ended and all queued requests have expired,
    // no resources may remain allocated.
    while (!workload.running.empty()) workload.EndOne();
    workload.now += std::chrono::minutes(2);
    (void)workload.scheduler.Expire(workload.now);
    for (int i = 0; i < 6; ++i) {
      workload.ledger.SetPlaceable(WorkerId(Numbered("w", i)), true);
    }
    BOOST_TEST(workload.scheduler.QueuedCount() == 0);
    BOOST_TEST(
        (workload.ledger.TotalFree() == workload.ledger.TotalCapacity()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
