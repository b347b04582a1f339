#include <boost/test/unit_test.hpp>

#include "core_harness.h"
#include "mustardproxy/core/error.h"

using namespace mustardproxy;           // NOLINT(google-build-using-namespace)
using namespace mustardproxy::testing;  // NOLINT(google-build-using-namespace)

namespace {

DeferredStatus Ask(CoreHarness* harness, const RequestId& request) {
  harness->Send(QueryArrived{9, request, false, false, false});
  const auto answers = harness->Take<AnswerQuery>();
  BOOST_TEST_REQUIRE(answers.size() == 1U);
  BOOST_TEST_REQUIRE(answers.front().status.has_value());
  return *answers.front().status;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(core_deferred)

BOOST_AUTO_TEST_CASE(deferred_work_is_accepted_started_and_finished) {
  CoreHarness harness(1);
  const RequestId id = harness.Arrive("review");
  BOOST_TEST(harness.Take<ReplyAccepted>().size() == 1U);
  const StartTask start = harness.TakeStart();
  BOOST_TEST(start.order.detached);
  harness.Send(TaskStarted{start.worker, start.order.task});
  BOOST_TEST((Ask(&harness, id).state == DeferredState::kRunning));
  harness.End(start);
  const DeferredStatus status = Ask(&harness, id);
  BOOST_TEST((status.state == DeferredState::kFinished));
  BOOST_TEST(View(status.result.body) == "answer");
}

// The platform does not answer. The caller must not be told 202, and the work
// must not start, before the record is durable.
BOOST_AUTO_TEST_CASE(nothing_is_accepted_or_started_before_it_is_durable) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  harness.Arrive("review");
  const auto appends = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(appends.size() == 1U);
  BOOST_TEST(harness.Take<ReplyAccepted>().empty());
  BOOST_TEST(harness.Take<StartTask>().empty());
  const JournalBatch& accepted = appends.front().batch;
  harness.Send(JournalAppended{accepted.journal, accepted.sequence});
  BOOST_TEST(harness.Take<ReplyAccepted>().size() == 1U);
  BOOST_TEST(harness.Take<StartTask>().empty());
  const auto started = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(started.size() == 1U);
  harness.Send(JournalAppended{started.front().batch.journal,
                               started.front().batch.sequence});
  BOOST_TEST(harness.Take<StartTask>().size() == 1U);
}

// The append was sent and the platform went away before it answered. The work
// may be recorded, so the caller is told "unknown" and not "not run".
BOOST_AUTO_TEST_CASE(an_accept_of_unknown_fate_is_not_called_not_run) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  harness.Arrive("review");
  harness.Advance(std::chrono::seconds(6));
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kUnknown));
  harness.Arrive("review");
  const Reply refused = harness.TakeReply();
  BOOST_TEST((refused.answer.outcome == Outcome::kNotRun));
  BOOST_TEST((refused.answer.error == Error::kJournalUnavailable));
  BOOST_TEST(refused.answer.retry_after.count() > 0);
}

// A peer adopted this process's journal while it was paused. Its next append
// finds the sequence number taken: nothing of that journal starts here again.
BOOST_AUTO_TEST_CASE(a_fenced_journal_stops_its_deferred_work) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  harness.Arrive("review");
  const JournalBatch first = harness.Take<AppendJournal>().front().batch;
  harness.Send(JournalAppended{first.journal, first.sequence});
  const JournalBatch started = harness.Take<AppendJournal>().front().batch;
  harness.Send(JournalFenced{started.journal, started.sequence});
  harness.Advance(std::chrono::seconds(3));
  BOOST_TEST(harness.Take<StartTask>().empty());
  const CoreStatus status = harness.core.Status(harness.Now());
  BOOST_TEST(status.deferred == 0);
  BOOST_TEST_REQUIRE(status.journals.size() == 1U);
  BOOST_TEST(status.journals.front() != started.journal);
}

// Process p2 died after it had journalled a start. The adopter writes its fence
// first, then asks the worker: the task runs, so it is not started again, and
// its end is recorded here.
BOOST_AUTO_TEST_CASE(an_adopted_running_task_is_followed_to_its_end) {
  CoreHarness harness(1);
  const JournalId journal("p2.b2");
  Request request = harness.Make("letter");
  request.id = RequestId("p2.b2.1");
  request.team = TeamId("dlonie");
  StartedRecord started;
  started.request = request.id;
  started.task = TaskId("p2.b2.1/0/1");
  started.worker = WorkerId("w1");
  started.epoch = 1;
  started.worker_incarnation = harness.worker_incarnation;
  harness.Send(JournalsListed{{journal}});
  harness.Advance(std::chrono::seconds(4));
  harness.Send(JournalsListed{{journal}});
  // A first look tells whether it was handed over, a second one adopts it.
  BOOST_TEST(harness.Take<ReadJournal>().size() == 2U);
  harness.Send(JournalRead{journal,
                           {{journal, 1, 11, {AcceptedRecord{request}}},
                            {journal, 2, 12, {started}}}});
  const auto appends = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(appends.size() == 1U);
  BOOST_TEST(appends.front().batch.journal == journal);
  BOOST_TEST(appends.front().batch.sequence == 3U);
  const auto queries = harness.Take<QueryTask>();
  BOOST_TEST_REQUIRE(queries.size() == 1U);
  TaskQueried answer;
  answer.worker = started.worker;
  answer.task = started.task;
  answer.state = TaskQueried::State::kRunning;
  harness.running[started.worker].push_back(
      {started.task, request.id, request.service, {}, {}});
  harness.Send(answer);
  BOOST_TEST(harness.Take<StartTask>().empty());
  answer.state = TaskQueried::State::kEnded;
  answer.ended.task = started.task;
  harness.Advance(std::chrono::seconds(11));
  BOOST_TEST(harness.Take<QueryTask>().size() == 1U);
  harness.Send(answer);
  BOOST_TEST((Ask(&harness, request.id).state == DeferredState::kFinished));
}

BOOST_AUTO_TEST_CASE(a_queued_cancellation_says_that_it_did_not_run) {
  CoreHarness harness(1);
  for (int i = 0; i < 8; ++i) {
    harness.Arrive("booking");
  }
  const RequestId id = harness.Arrive("review");
  harness.Send(QueryArrived{3, id, false, true, false});
  const auto answers = harness.Take<AnswerQuery>();
  BOOST_TEST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers.front().status->state == DeferredState::kCancelled));
  BOOST_TEST(!answers.front().status->ran);
}

BOOST_AUTO_TEST_SUITE_END()
