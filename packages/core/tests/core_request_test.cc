#include <boost/test/unit_test.hpp>

#include "core_harness.h"
#include "mustardproxy/core/error.h"

using namespace mustardproxy;           // NOLINT(google-build-using-namespace)
using namespace mustardproxy::testing;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(core_request)

BOOST_AUTO_TEST_CASE(an_urgent_request_runs_and_its_answer_comes_back) {
  CoreHarness harness(2);
  const RequestId id = harness.SendRequest("screen");
  const StartTask start = harness.TakeStart();
  BOOST_TEST(start.spec.request == id);
  BOOST_TEST(!start.spec.detached);
  harness.EndTask(start);
  const Reply reply = harness.TakeReply();
  BOOST_TEST(reply.request == id);
  BOOST_TEST((reply.answer.outcome == Outcome::kCompleted));
  BOOST_TEST(View(reply.answer.body) == "answer");
  const CoreStatus status = harness.core.Status(harness.Now());
  BOOST_TEST(status.requests == 0);
  BOOST_TEST(status.running == 0);
  BOOST_TEST((status.free == status.capacity));
}

BOOST_AUTO_TEST_CASE(a_duplicate_of_a_request_is_dropped) {
  CoreHarness harness(1);
  const Request request = harness.MakeRequest("booking");
  harness.Send(RequestArrived{request});
  harness.Send(RequestArrived{request});
  const StartTask start = harness.TakeStart();
  harness.EndTask(start);
  harness.Send(RequestArrived{request});
  BOOST_TEST(harness.Take<StartTask>().empty());
  BOOST_TEST(harness.Take<Reply>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unknown_service_is_refused_at_once) {
  CoreHarness harness(1);
  harness.SendRequest("nothing");
  const Reply reply = harness.TakeReply();
  BOOST_TEST((reply.answer.outcome == Outcome::kNotRun));
  BOOST_TEST(reply.answer.status == 404);
  BOOST_TEST((reply.answer.error == Error::kUnknownService));
}

// The worker reports a failure of an idempotent request. The caller receives
// the answer of a second worker instead.
BOOST_AUTO_TEST_CASE(a_failed_idempotent_task_is_tried_on_another_worker) {
  CoreHarness harness(2);
  harness.SendRequest("screen");
  const StartTask first = harness.TakeStart();
  harness.EndTask(first, 500, TaskEnd::kFailed);
  const StartTask second = harness.TakeStart();
  BOOST_TEST(second.worker != first.worker);
  BOOST_TEST(second.spec.task != first.spec.task);
  harness.EndTask(second);
  BOOST_TEST(harness.TakeReply().answer.status == 200);
}

BOOST_AUTO_TEST_CASE(a_failed_non_idempotent_task_is_not_retried) {
  CoreHarness harness(2);
  harness.SendRequest("booking");
  harness.EndTask(harness.TakeStart(), 500, TaskEnd::kFailed);
  const Reply reply = harness.TakeReply();
  BOOST_TEST((reply.answer.outcome == Outcome::kCompleted));
  BOOST_TEST(reply.answer.status == 500);
  BOOST_TEST(harness.Take<StartTask>().empty());
}

// The connection to the worker of a booking is refused. The booking never ran
// there, so the caller gets the answer of another worker.
BOOST_AUTO_TEST_CASE(a_start_that_was_never_sent_is_placed_again) {
  CoreHarness harness(2);
  harness.SendRequest("booking");
  const StartTask first = harness.TakeStart();
  harness.Send(TaskNotStarted{first.worker, first.spec.task, Error::kNoWorker});
  const StartTask second = harness.TakeStart();
  BOOST_TEST(second.worker != first.worker);
  harness.EndTask(second);
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kCompleted));
}

// The answer to a booking is truncated. A query on a new connection returns the
// whole answer, and nothing runs twice.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_fetched_by_task_id) {
  CoreHarness harness(2);
  harness.SendRequest("booking");
  const StartTask start = harness.TakeStart();
  harness.Send(
      TaskUncertain{start.worker, start.spec.task, Error::kAnswerIncomplete});
  const auto queries = harness.Take<QueryTask>();
  BOOST_TEST_REQUIRE(queries.size() == 1U);
  TaskQueried answer;
  answer.worker = start.worker;
  answer.task = start.spec.task;
  answer.state = TaskQueried::State::kEnded;
  answer.ended.task = start.spec.task;
  answer.ended.status = 201;
  harness.Send(answer);
  const Reply reply = harness.TakeReply();
  BOOST_TEST((reply.answer.outcome == Outcome::kCompleted));
  BOOST_TEST(reply.answer.status == 201);
  BOOST_TEST(harness.Take<StartTask>().empty());
}

// The answer to a booking is lost and the worker is unreachable. The booking is
// answered "unknown" immediately and not sent again.
BOOST_AUTO_TEST_CASE(an_uncertain_booking_is_answered_unknown_at_once) {
  CoreHarness harness(2);
  harness.SendRequest("booking");
  const StartTask start = harness.TakeStart();
  harness.Send(
      TaskUncertain{start.worker, start.spec.task, Error::kAnswerIncomplete});
  TaskQueried answer;
  answer.worker = start.worker;
  answer.task = start.spec.task;
  answer.state = TaskQueried::State::kUnreachable;
  harness.Send(answer);
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kUnknown));
  harness.Advance(std::chrono::seconds(30));
  BOOST_TEST(harness.Take<StartTask>().empty());
}

// The answer to a screen is lost and its worker is unreachable. It must not run
// elsewhere while the task may still run: a second start may only follow after
// the task's lease has expired.
BOOST_AUTO_TEST_CASE(an_uncertain_screen_never_runs_twice_at_once) {
  CoreHarness harness(2);
  harness.SendRequest("screen");
  const StartTask start = harness.TakeStart();
  harness.Send(
      TaskUncertain{start.worker, start.spec.task, Error::kAnswerIncomplete});
  for (int i = 0; i < 20; ++i) {
    for (const QueryTask& query : harness.Take<QueryTask>()) {
      TaskQueried answer;
      answer.worker = query.worker;
      answer.task = query.task;
      answer.state = TaskQueried::State::kUnreachable;
      harness.Send(answer);
    }
    harness.Advance(std::chrono::milliseconds(400));
    BOOST_TEST(harness.Take<StartTask>().empty());
  }
}

BOOST_AUTO_TEST_CASE(a_timeout_is_answered_unknown_and_stops_the_task) {
  CoreHarness harness(1);
  harness.SendRequest("screen");
  const StartTask start = harness.TakeStart();
  harness.Advance(std::chrono::seconds(10));
  const Reply reply = harness.TakeReply();
  BOOST_TEST((reply.answer.outcome == Outcome::kUnknown));
  BOOST_TEST((reply.answer.error == Error::kDeadlineExceeded));
  const auto stops = harness.Take<StopTask>();
  BOOST_TEST_REQUIRE(!stops.empty());
  BOOST_TEST(stops.front().task == start.spec.task);
}

BOOST_AUTO_TEST_CASE(a_request_that_can_not_be_placed_is_refused_in_time) {
  CoreHarness harness(1);
  for (int i = 0; i < 9; ++i) {
    harness.SendRequest("screen");
  }
  BOOST_TEST(harness.Take<StartTask>().size() == 8U);
  harness.Advance(std::chrono::milliseconds(2100));
  const Reply reply = harness.TakeReply();
  BOOST_TEST((reply.answer.outcome == Outcome::kNotRun));
  BOOST_TEST(reply.answer.retry_after.count() > 0);
}

BOOST_AUTO_TEST_CASE(
    a_gang_starts_together_and_is_answered_when_all_tasks_ended) {
  CoreHarness harness(2);
  harness.SendRequest("rota");
  const auto starts = harness.Take<StartTask>();
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  for (const StartTask& start : starts) {
    BOOST_TEST(start.spec.detached);
    harness.Send(TaskStarted{start.worker, start.spec.task});
  }
  harness.EndTask(starts[0]);
  BOOST_TEST(harness.Take<Reply>().empty());
  harness.EndTask(starts[1], 207);
  BOOST_TEST(harness.TakeReply().answer.status == 207);
}

// One worker refuses its task of a gang. The other task is stopped, and then
// the whole gang starts again under new task ids.
BOOST_AUTO_TEST_CASE(a_partially_started_gang_is_stopped_and_restarted) {
  CoreHarness harness(2);
  harness.SendRequest("rota");
  const auto starts = harness.Take<StartTask>();
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  harness.Send(TaskStarted{starts[0].worker, starts[0].spec.task});
  harness.Send(
      TaskNotStarted{starts[1].worker, starts[1].spec.task, Error::kNoWorker});
  const auto stops = harness.Take<StopTask>();
  BOOST_TEST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(stops.front().task == starts[0].spec.task);
  BOOST_TEST(harness.Take<StartTask>().empty());
  harness.Send(
      TaskStopAnswered{stops.front().worker, stops.front().task, true});
  const auto again = harness.Take<StartTask>();
  BOOST_TEST_REQUIRE(again.size() == 2U);
  BOOST_TEST(again[0].spec.task != starts[0].spec.task);
}

BOOST_AUTO_TEST_SUITE_END()
