#include <Poco/Net/ServerSocket.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "link_fixture.h"
#include "standin/relay.h"

namespace mustardproxy {

BOOST_FIXTURE_TEST_SUITE(start_outcomes, LinkFixture)

BOOST_AUTO_TEST_CASE(an_attached_start_brings_the_whole_answer) {
  Attach();
  const std::string body(300'000, 'b');
  Start("r/0/1", body);
  const auto ended = events.Next<TaskEnded>().ended;
  BOOST_TEST(ended.task.Text() == "r/0/1");
  BOOST_TEST(ended.request.Text() == "request-of-r/0/1");
  BOOST_TEST((ended.end == TaskEnd::kFinished));
  BOOST_TEST(ended.status == 200);
  BOOST_TEST((View(ended.body) == body));
  BOOST_TEST((ended.peak_usage == Resources{100, 100, 0, 1}));
}

BOOST_AUTO_TEST_CASE(a_failing_task_has_ended_with_its_own_status) {
  Attach();
  Start("r/0/1", R"({"status": 503, "answer_bytes": 5})");
  const auto ended = events.Next<TaskEnded>().ended;
  BOOST_TEST((ended.end == TaskEnd::kFailed));
  BOOST_TEST(ended.status == 503);
  BOOST_TEST(View(ended.body) == "xxxxx");
}

// A task runs and ends with 409 and a body that reads like a worker's refusal.
// Taken for one, the caller would be told "not run" and ask again.
BOOST_AUTO_TEST_CASE(a_task_that_ends_like_a_refusal_has_run) {
  Attach();
  Start("r/0/1", R"({"status": 409, "reason": "no-room", "highest_epoch": 1,)"
                 R"( "holder": "entry", "lease_left_ms": 1})");
  BOOST_TEST(events.Next<TaskEnded>().ended.status == 409);
  BOOST_TEST(CountInLog("start", "r/0/1") == 1);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_not_started) {
  // Bound but not listening: a connect is refused, and no one else has it.
  Poco::Net::ServerSocket closed;
  closed.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  address = closed.address().toString();
  Start("r/0/1", "x");
  BOOST_TEST((events.Next<TaskNotStarted>().reason == Error::kWorkerLost));
}

// Half of an answer arrives, then the connection ends. The caller must not get
// the half, and the task must not be called "not run": it has run.
BOOST_AUTO_TEST_CASE(an_answer_cut_in_its_body_is_uncertain) {
  Attach();
  BOOST_REQUIRE(worker.Switch(R"({"cut_answers": 1})"));
  Start("r/0/1", R"({"answer_bytes": 100000})");
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kAnswerIncomplete));
  BOOST_TEST(CountInLog("start", "r/0/1") == 1);
  Start("r/0/2", "next");
  BOOST_TEST(View(events.Next<TaskEnded>().ended.body) == "next");
}

// The answer to another caller's task arrives, whole and with a right hash of
// its own. Handed on, it would give one person another one's answer.
BOOST_AUTO_TEST_CASE(an_answer_of_another_task_is_uncertain) {
  Attach();
  BOOST_REQUIRE(worker.Switch(R"({"cross_answers": 1})"));
  Start("r/0/1", "mine");
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kAnswerIncomplete));
  Start("r/0/2", "next");
  BOOST_TEST(View(events.Next<TaskEnded>().ended.body) == "next");
}

// An answer comes after its request was given up on. The connection it comes on
// must not serve another request, which would take the late answer for its own.
BOOST_AUTO_TEST_CASE(a_late_answer_meets_no_other_request) {
  Attach();
  BOOST_REQUIRE(worker.Switch(R"({"late_answers_ms": 400})"));
  StartTask start = StartOrder("r/0/1", "late");
  start.timeout = std::chrono::milliseconds(100);
  link->Perform(start);
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kDeadlineExceeded));
  BOOST_REQUIRE(worker.Switch(R"({"late_answers_ms": 0})"));
  for (const char* task : {"r/0/2", "r/0/3", "r/0/4"}) {
    Start(task, task);
    BOOST_TEST(View(events.Next<TaskEnded>().ended.body) == task);
  }
}

BOOST_AUTO_TEST_CASE(a_frozen_worker_is_uncertain_at_the_timeout) {
  Attach();
  BOOST_REQUIRE(worker.Switch(R"({"freeze": true})"));
  StartTask start = StartOrder("r/0/1", "x");
  start.timeout = std::chrono::milliseconds(400);
  link->Perform(start);
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kDeadlineExceeded));
  // It was on its way: the worker may well run it when it thaws.
  BOOST_REQUIRE(worker.Switch(R"({"freeze": false})"));
  Start("r/0/2", "next");
  BOOST_TEST(View(events.Next<TaskEnded>().ended.body) == "next");
  BOOST_TEST(CountInLog("start", "r/0/1") <= 1);
}

// The way to the worker is cut while a task runs there. The caller learns at
// once that it may have run.
BOOST_AUTO_TEST_CASE(a_cut_while_the_task_runs_is_uncertain) {
  standin::Relay relay(0, worker.Address());
  address = relay.Address();
  Attach();
  Start("r/0/1", R"({"run_ms": 5000})");
  WaitUntilInLog("start", "r/0/1");
  standin::RelayFaults faults;
  faults.cut = true;
  relay.Set(faults);
  BOOST_TEST((events.Next<TaskUncertain>().reason == Error::kWorkerLost));
  Start("r/0/2", "x");
  BOOST_TEST((events.Next<TaskNotStarted>().reason == Error::kWorkerLost));
  relay.Set({});
  Start("r/0/3", "x");
  events.Next<TaskEnded>();
  BOOST_TEST(CountInLog("start", "r/0/1") == 1);
  BOOST_TEST(CountInLog("start", "r/0/2") == 0);
}

BOOST_AUTO_TEST_CASE(a_start_past_the_capacity_is_not_started) {
  Attach();
  StartTask start = StartOrder("r/0/1", "x");
  start.spec.resources.cpu_milli = 5000;
  link->Perform(start);
  BOOST_TEST((events.Next<TaskNotStarted>().reason == Error::kNoWorker));
  BOOST_TEST(CountInLog("overcommit-refused", "r/0/1") == 1);
  BOOST_TEST(CountInLog("start", "r/0/1") == 0);
}

BOOST_AUTO_TEST_CASE(a_leaving_worker_starts_nothing) {
  Attach();
  BOOST_REQUIRE(worker.Switch(R"({"leaving": true})"));
  Start("r/0/1", "x");
  BOOST_TEST((events.Next<TaskNotStarted>().reason == Error::kNoWorker));
}

// A process is paused between its check of the lease and its send; meanwhile
// another one has taken the worker over. The late start must not run, its owner
// must learn that it owns the worker no more.
BOOST_AUTO_TEST_CASE(a_start_under_a_stale_epoch_is_not_started) {
  link->Perform(AttachOrder(1, std::chrono::milliseconds(1)));
  events.Next<WorkerAttached>();
  const auto other = MakeLink("other", 2);
  WaitUntil([&] {
    other->Perform(AttachOrder(2, std::chrono::seconds(60)));
    WaitUntil([&] { return this->events.Count() > 0; });
    return events.NextIsA<WorkerAttached>();
  });
  Start("r/0/1", "x");
  const auto refused = events.Next<WorkerRefused>();
  BOOST_TEST(refused.epoch == 1U);
  BOOST_TEST(refused.highest == 2U);
  BOOST_TEST(refused.holder.Text() == "other");
  BOOST_TEST((events.Next<TaskNotStarted>().reason == Error::kStaleEpoch));
  BOOST_TEST(CountInLog("start", "r/0/1") == 0);
}

// A task id comes to a worker twice. The second start does not run, but "not
// started" would be a lie about the task: it has run. The link asks the worker
// and gives the answer of the one run.
BOOST_AUTO_TEST_CASE(a_duplicate_id_ends_as_the_first_run_did) {
  Attach();
  Start("r/0/1", "first");
  BOOST_TEST(View(events.Next<TaskEnded>().ended.body) == "first");
  Start("r/0/1", "second");
  BOOST_TEST(View(events.Next<TaskEnded>().ended.body) == "first");
  BOOST_TEST(CountInLog("start", "r/0/1") == 1);
  BOOST_TEST(CountInLog("refused", "r/0/1") == 1);
}

// The worker was asked for a task and said that it never started. A start of
// it that comes afterwards must not run.
BOOST_AUTO_TEST_CASE(a_start_behind_the_answer_never_started_is_not_started) {
  Attach();
  link->Perform(QueryTask{WorkerId("worker"), address, TaskId("r/0/1")});
  BOOST_TEST(
      (events.Next<TaskQueried>().state == TaskQueried::State::kNeverStarted));
  Start("r/0/1", "x");
  events.Next<TaskNotStarted>();
  BOOST_TEST(CountInLog("start", "r/0/1") == 0);
}

BOOST_AUTO_TEST_CASE(starts_past_the_worker_s_connections_are_not_sent) {
  standin::WorkerOptions options;
  options.connections = 2;
  const standin::StandinWorker small(options);
  address = small.Address();
  Attach();
  Start("r/0/1", R"({"run_ms": 300})");
  Start("r/0/2", R"({"run_ms": 300})");
  Start("r/0/3", "x");
  BOOST_TEST(
      (events.Next<TaskNotStarted>().reason == Error::kTooManyConnections));
  events.Next<TaskEnded>();
  events.Next<TaskEnded>();
  Start("r/0/4", "x");
  events.Next<TaskEnded>();
}

BOOST_AUTO_TEST_CASE(a_stop_waits_for_the_answers_in_progress) {
  Attach();
  Start("r/0/1", R"({"run_ms": 400})");
  link->Stop();
  BOOST_REQUIRE(events.Count() == 1U);
  BOOST_TEST(events.Next<TaskEnded>().ended.task.Text() == "r/0/1");
  Start("r/0/2", "x");
  BOOST_TEST((events.Next<TaskNotStarted>().reason == Error::kShuttingDown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
