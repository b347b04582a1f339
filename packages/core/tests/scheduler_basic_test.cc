#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "mustardproxy/core/error.h"
#include "mustardproxy/core/scheduler.h"

namespace mustardproxy {
namespace {

constexpr Resources kCapacity{16000, 64000, 0, 8};
constexpr Resources kTask{2000, 4000, 0, 1};
const Instant kStart{std::chrono::seconds(100)};

// Uses append: GCC 12 reports a false positive for `"x" + std::to_string(i)`.
std::string Numbered(const char* prefix, int number) {
  return std::string(prefix).append(std::to_string(number));
}

Configuration MakeConfiguration() {
  Configuration configuration;
  Profile urgent;
  urgent.id = ProfileId("urgent");
  urgent.priority = 0;
  Profile batch;
  batch.id = ProfileId("batch");
  batch.preemptible = true;
  Profile gang;
  gang.id = ProfileId("gang");
  gang.gang = true;
  for (const Profile& profile : {urgent, batch, gang}) {
    configuration.profiles[profile.id] = profile;
  }
  configuration.services[ServiceId("screen")] = {ServiceId("screen"), urgent.id,
                                                 kTask};
  configuration.services[ServiceId("rota")] = {ServiceId("rota"), batch.id,
                                               kTask};
  configuration.services[ServiceId("match")] = {ServiceId("match"), gang.id,
                                                kTask, true, 4};
  configuration.services[ServiceId("huge")] = {
      ServiceId("huge"), batch.id, {99000, 1000, 0, 1}};
  configuration.teams[TeamId("a")] = {TeamId("a"), 1.0, {}};
  return configuration;
}

struct Fixture {
  Fixture() {
    this->scheduler.Configure(MakeConfiguration());
    WorkerDescription worker;
    worker.id = WorkerId("w");
    WorkerReport report;
    report.worker = worker.id;
    report.capacity = kCapacity;
    this->ledger.AddWorker(worker, report);
  }

  Admission Enqueue(const std::string& request, const std::string& service,
                    const std::string& team = "a") {
    QueuedRequest queued;
    queued.request = RequestId(request);
    queued.service = ServiceId(service);
    queued.team = TeamId(team);
    queued.arrived = kStart;
    queued.placement_deadline = kStart + std::chrono::seconds(10);
    return this->scheduler.Enqueue(kStart, this->ledger, queued);
  }

  std::vector<Placement> Schedule() {
    return this->scheduler.Schedule(kStart, &this->ledger, 100);
  }

  Scheduler scheduler;
  Ledger ledger;
};

BOOST_FIXTURE_TEST_SUITE(scheduler_basic, Fixture)

BOOST_AUTO_TEST_CASE(a_request_is_placed_once_with_its_task_id) {
  BOOST_TEST(!this->Enqueue("q1", "screen").refusal);
  const std::vector<Placement> placed = this->Schedule();
  BOOST_REQUIRE(placed.size() == 1);
  BOOST_TEST(placed[0].task == TaskId("q1/0/1"));
  BOOST_TEST(placed[0].worker == WorkerId("w"));
  BOOST_TEST(this->Schedule().empty());
  BOOST_TEST(this->scheduler.RunningCount() == 1);
  this->scheduler.OnTaskEnded(kStart, &this->ledger, TaskId("q1/0/1"), true);
  BOOST_TEST(this->scheduler.RunningCount() == 0);
  BOOST_TEST((this->ledger.TotalFree() == kCapacity));
}

BOOST_AUTO_TEST_CASE(impossible_requests_are_refused_on_arrival) {
  BOOST_TEST(this->Enqueue("q1", "none").refusal == Error::kUnknownService);
  BOOST_TEST(this->Enqueue("q2", "screen", "b").refusal == Error::kUnknownTeam);
  BOOST_TEST(this->Enqueue("q3", "huge").refusal == Error::kNeverFits);
  BOOST_TEST(this->scheduler.QueuedCount() == 0);
}

BOOST_AUTO_TEST_CASE(a_gang_is_placed_completely_or_not_at_all) {
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!this->Enqueue(Numbered("s", i), "screen").refusal);
  }
  BOOST_TEST(!this->Enqueue("g", "match").refusal);
  BOOST_TEST(this->Schedule().size() == 5);
  this->scheduler.OnTaskEnded(kStart, &this->ledger, TaskId("s0/0/1"), true);
  BOOST_TEST(this->Schedule().size() == 4);
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_is_never_placed) {
  BOOST_TEST(!this->Enqueue("q", "screen").refusal);
  BOOST_TEST(this->scheduler.Cancel(RequestId("q")));
  BOOST_TEST(!this->scheduler.Cancel(RequestId("q")));
  BOOST_TEST(this->Schedule().empty());
}

BOOST_AUTO_TEST_CASE(a_request_past_its_deadline_expires) {
  BOOST_TEST(!this->Enqueue("q", "screen").refusal);
  BOOST_TEST(
      (this->scheduler.NextWakeup() == kStart + std::chrono::seconds(10)));
  BOOST_TEST(this->scheduler.Expire(kStart).empty());
  BOOST_TEST(this->scheduler.Expire(kStart + std::chrono::seconds(10)).size() ==
             1);
  BOOST_TEST(this->scheduler.QueuedCount() == 0);
}

BOOST_AUTO_TEST_CASE(an_urgent_request_selects_one_victim) {
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(!this->Enqueue(Numbered("b", i), "rota").refusal);
  }
  const std::size_t placed = this->Schedule().size();
  BOOST_REQUIRE(placed == 8);
  BOOST_TEST(!this->Enqueue("u", "screen").refusal);
  BOOST_TEST(this->Schedule().empty());
  const auto victims = this->scheduler.ChooseVictims(kStart, this->ledger);
  BOOST_REQUIRE(victims.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
