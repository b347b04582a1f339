#include <boost/test/unit_test.hpp>
#include <string>

#include "mustardproxy/core/error.h"
#include "scheduler_test_cell.h"

namespace mustardproxy {
namespace {

using test::kSmallTask;
using test::Numbered;
using test::TestCell;

struct Cell : TestCell {
  Cell() : TestCell(2) {
    this->AddProfile("work", 1, std::chrono::seconds(5)).queue_limit = 1000;
    this->AddService("task", "work", kSmallTask).expected_run =
        std::chrono::seconds(1);
    this->AddService("wide", "work", {9000, 1000, 0, 1});
    this->AddService("gang", "work", kSmallTask, 17);
    this->AddTeam("a");
    this->AddTeam("b").quota = {0, 0, 0, 4};
    this->Configure();
  }
};

BOOST_FIXTURE_TEST_SUITE(scheduler_admission, Cell)

BOOST_AUTO_TEST_CASE(requests_that_never_fit_are_refused_with_the_resource) {
  const Admission wide = this->Enqueue("q", "wide");
  BOOST_TEST(wide.refusal == Error::kNeverFits);
  BOOST_TEST(wide.detail ==
             "a task needs 9000 cpu_milli; the largest worker has 8000");
  BOOST_TEST(wide.retry_after.count() == 0);
  const Admission gang = this->Enqueue("g", "gang");
  BOOST_TEST(gang.refusal == Error::kGangImpossible);
  BOOST_TEST(gang.detail.find("17 tasks") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_larger_than_its_quota_is_refused) {
  this->AddService("five", "work", kSmallTask, 5);
  this->Configure();
  const Admission refused = this->Enqueue("q", "five", "b");
  BOOST_TEST(refused.refusal == Error::kQuotaExceeded);
  BOOST_TEST(refused.detail ==
             "the request needs 5 slots; the quota of team b is 4");
}

BOOST_AUTO_TEST_CASE(a_process_without_workers_refuses_requests) {
  this->ledger.RemoveWorker(WorkerId("w0"));
  this->ledger.RemoveWorker(WorkerId("w1"));
  BOOST_TEST(this->Enqueue("q", "task").refusal == Error::kNoWorker);
}

BOOST_AUTO_TEST_CASE(unknown_teams_and_services_are_refused) {
  BOOST_TEST(this->Enqueue("q", "none").refusal == Error::kUnknownService);
  BOOST_TEST(this->Enqueue("q", "task", "x").refusal == Error::kUnknownTeam);
}

// Failure: a request is queued although its wait exceeds the limit, and its
// caller gives up after waiting. The cell is full of 1 s tasks, and more
// requests arrive than can start within the allowed 5 s. The request must be
// refused on arrival with a retry delay.
BOOST_AUTO_TEST_CASE(a_wait_that_is_too_long_is_refused_on_arrival) {
  int accepted = 0;
  Admission refused;
  for (int i = 0; i < 1000 && !refused.refusal; ++i) {
    refused = this->Enqueue(Numbered("q", i), "task");
    (void)this->Schedule();
    if (!refused.refusal) ++accepted;
  }
  BOOST_TEST(refused.refusal == Error::kWaitTooLong);
  // 16 tasks run at a time, and 16 start per second.
  BOOST_TEST(accepted >= 16 + 5 * 16 - 2);
  BOOST_TEST(accepted <= 16 + 5 * 16 + 2);
  BOOST_TEST((refused.retry_after >= std::chrono::seconds(1)));
  BOOST_TEST(refused.detail.find("predicted wait") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_forecast_follows_the_measured_drain) {
  this->EnqueueMany("q", 90, "task");
  std::vector<Placement> running = this->Schedule();
  // The declared run time is 1 s; the measured one is 100 ms.
  for (int round = 0; round < 4; ++round) {
    this->now += std::chrono::milliseconds(100);
    for (const Placement& placed : running) this->EndTask(placed.task);
    running = this->Schedule();
  }
  const Duration wait =
      this->scheduler.PredictWait(this->now, this->ledger, ServiceId("task"));
  BOOST_TEST((wait > std::chrono::milliseconds(20)));
  BOOST_TEST((wait < std::chrono::milliseconds(400)));
  BOOST_TEST((this->scheduler.RetryAfter(this->now) ==
              Duration(std::chrono::seconds(1))));
}

BOOST_AUTO_TEST_CASE(an_empty_cell_predicts_no_wait) {
  BOOST_TEST(
      this->scheduler.PredictWait(this->now, this->ledger, ServiceId("task"))
          .count() == 0);
}

BOOST_AUTO_TEST_CASE(recovered_work_is_never_refused) {
  this->AddProfile("work", 1, std::chrono::seconds(5)).queue_limit = 0;
  this->Configure();
  BOOST_TEST(this->Enqueue("q", "task").refusal == Error::kQueueFull);
  BOOST_TEST(
      !this->Enqueue("q", "task", "a", std::chrono::seconds(1), true).refusal);
  BOOST_TEST(this->scheduler.QueuedCount() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace mustardproxy
