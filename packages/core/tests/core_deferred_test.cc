#include <boost/test/unit_test.hpp>

#include "core_harness.h"
#include "mustardproxy/core/error.h"

using namespace mustardproxy;           // NOLINT(google-build-using-namespace)
using namespace mustardproxy::testing;  // NOLINT(google-build-using-namespace)

namespace {

DeferredStatus QueryStatus(CoreHarness* harness, const RequestId& request) {
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
  const RequestId id = harness.SendRequest("review");
  BOOST_TEST(harness.Take<ReplyAccepted>().size() == 1U);
  const StartTask start = harness.TakeStart();
  BOOST_TEST(start.spec.detached);
  harness.Send(TaskStarted{start.worker, start.spec.task});
  BOOST_TEST((QueryStatus(&harness, id).state == DeferredState::kRunning));
  harness.EndTask(start);
  const DeferredStatus status = QueryStatus(&harness, id);
  BOOST_TEST((status.state == DeferredState::kFinished));
  BOOST_TEST(View(status.result.body) == "answer");
}

// Deferred work whose record exceeds the maximum batch size must be refused
// permanently. Answered with a retry delay, the caller would retry forever.
BOOST_AUTO_TEST_CASE(work_too_large_for_a_batch_is_refused_permanently) {
  CoreHarness harness(1);
  Request request = harness.MakeRequest("review");
  request.body = std::make_shared<const std::string>(1'000'000, 'x');
  harness.Send(RequestArrived{request});
  const Answer answer = harness.TakeReply().answer;
  BOOST_TEST((answer.outcome == Outcome::kNotRun));
  BOOST_TEST((answer.error == Error::kBodyTooLarge));
  BOOST_TEST(answer.status == 413);
  BOOST_TEST(answer.retry_after.count() == 0);
  BOOST_TEST(harness.Take<AppendJournal>().empty());
}

// While the platform does not answer, the work must be neither confirmed with
// status 202 nor started: its record is not durable yet.
BOOST_AUTO_TEST_CASE(nothing_is_accepted_or_started_before_it_is_durable) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  harness.SendRequest("review");
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

// The append was sent but not confirmed before the platform became unreachable.
// The work may be recorded, so the answer must be "unknown" instead of "not
// run".
BOOST_AUTO_TEST_CASE(an_unconfirmed_accept_is_answered_unknown) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  harness.SendRequest("review");
  harness.Advance(std::chrono::seconds(6));
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kUnknown));
  harness.SendRequest("review");
  const Reply refused = harness.TakeReply();
  BOOST_TEST((refused.answer.outcome == Outcome::kNotRun));
  BOOST_TEST((refused.answer.error == Error::kJournalUnavailable));
  BOOST_TEST(refused.answer.retry_after.count() > 0);
}

// The worker's lease is lost and acquired again while the *started* record is
// being written. The new report does not contain this task, so its resources
// may be in use; the task must be placed again instead of being sent under the
// new lease.
BOOST_AUTO_TEST_CASE(a_start_is_not_sent_under_a_newer_lease) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  harness.SendRequest("review");
  const JournalBatch accepted = harness.Take<AppendJournal>().front().batch;
  harness.Send(JournalAppended{accepted.journal, accepted.sequence});
  const JournalBatch started = harness.Take<AppendJournal>().front().batch;
  harness.Send(WorkerRefused{WorkerId("w1"),
                             harness.epochs[WorkerId("w1")],
                             ~Epoch{0} / 2,
                             ProcessId("p2"),
                             {}});
  harness.Advance(std::chrono::milliseconds(900));
  BOOST_TEST_REQUIRE(harness.core.Status(harness.Now()).owned_workers == 1);
  harness.Take<AppendJournal>();
  harness.Send(JournalAppended{started.journal, started.sequence});
  BOOST_TEST(harness.Take<StartTask>().empty());
}

// The host starts to leave while the *started* record is being written.
BOOST_AUTO_TEST_CASE(a_start_is_not_sent_to_a_leaving_host) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  harness.SendRequest("review");
  const JournalBatch accepted = harness.Take<AppendJournal>().front().batch;
  harness.Send(JournalAppended{accepted.journal, accepted.sequence});
  const JournalBatch started = harness.Take<AppendJournal>().front().batch;
  harness.Send(HostListArrived{
      {{WorkerId("w1"), "w1:80", DataCenterId("dc1"), RackId("r1"), true}}});
  harness.Send(JournalAppended{started.journal, started.sequence});
  BOOST_TEST(harness.Take<StartTask>().empty());
}

// A peer adopted the journal of this process during a pause. The next append
// finds its sequence number in use; no work of that journal may start here
// afterwards.
BOOST_AUTO_TEST_CASE(a_fenced_journal_stops_its_deferred_work) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  harness.SendRequest("review");
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

// Process p2 died after it had journalled a start. The adopter writes its
// fence, then queries the worker. The task is running, so it is not started
// again, and its end is recorded here.
BOOST_AUTO_TEST_CASE(an_adopted_running_task_is_followed_to_its_end) {
  CoreHarness harness(1);
  const JournalId journal("p2.b2");
  Request request = harness.MakeRequest("letter");
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
  // The first read shows whether the journal was handed over; the second one
  // adopts it.
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
  BOOST_TEST(
      (QueryStatus(&harness, request.id).state == DeferredState::kFinished));
}

// This process adopts a journal while it queries peers for a result recorded
// there. Failure: once no peer knew the work, only its state was looked up
// again, and the caller received "finished" with an empty body.
BOOST_AUTO_TEST_CASE(a_result_adopted_during_a_peer_query_is_returned_in_full) {
  CoreHarness harness(1);
  const JournalId journal("p2.b2");
  Request request = harness.MakeRequest("letter");
  request.id = RequestId("p2.b2.1");
  request.team = TeamId("dlonie");
  FinishedRecord finished;
  finished.request = request.id;
  finished.answer.outcome = Outcome::kCompleted;
  finished.answer.status = 200;
  finished.answer.body = std::make_shared<const std::string>("letter sent");
  harness.Send(QueryArrived{9, request.id, false, false, false});
  harness.Send(JournalsListed{{journal}});
  harness.Send(JournalRead{journal,
                           {{journal, 1, 11, {AcceptedRecord{request}}},
                            {journal, 2, 12, {finished}},
                            {journal, 3, 13, {HandedOverRecord{}}}}});
  BOOST_TEST(harness.Take<AnswerQuery>().empty());
  for (auto asked = harness.Take<QueryPeer>(); !asked.empty();
       asked = harness.Take<QueryPeer>()) {
    harness.Send(QueryAnswered{asked.front().query, std::nullopt});
  }
  const auto answers = harness.Take<AnswerQuery>();
  BOOST_TEST_REQUIRE(answers.size() == 1U);
  BOOST_TEST_REQUIRE(answers.front().status.has_value());
  BOOST_TEST((answers.front().status->state == DeferredState::kFinished));
  BOOST_TEST(View(answers.front().status->result.body) == "letter sent");
}

// The same with a cancellation: the work is adopted here while its unreachable
// former holder is queried. Failure: the caller received a state, and the work
// was not cancelled.
BOOST_AUTO_TEST_CASE(work_adopted_during_a_peer_query_is_cancelled_here) {
  CoreHarness harness(1);
  const JournalId journal("p2.b2");
  Request request = harness.MakeRequest("letter");
  request.id = RequestId("p2.b2.1");
  request.team = TeamId("dlonie");
  harness.Send(QueryArrived{9, request.id, false, true, false});
  harness.Send(JournalsListed{{journal}});
  harness.Send(JournalRead{journal,
                           {{journal, 1, 11, {AcceptedRecord{request}}},
                            {journal, 2, 12, {HandedOverRecord{}}}}});
  const StartTask start = harness.TakeStart();
  for (auto asked = harness.Take<QueryPeer>(); !asked.empty();
       asked = harness.Take<QueryPeer>()) {
    harness.Send(QueryAnswered{asked.front().query, std::nullopt});
  }
  const auto stops = harness.Take<StopTask>();
  BOOST_TEST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(stops.front().task == start.spec.task);
}

// Two processes read the journal of a dead process. The one whose fence is late
// must not have acted on the work: no start, no query, no stop.
BOOST_AUTO_TEST_CASE(adopted_work_is_not_acted_on_before_the_fence_is_durable) {
  CoreHarness harness(1);
  harness.journal_answers = false;
  const JournalId journal("p2.b2");
  Request request = harness.MakeRequest("review");
  request.id = RequestId("p2.b2.1");
  request.team = TeamId("dlonie");
  harness.Send(JournalsListed{{journal}});
  harness.Send(JournalRead{journal,
                           {{journal, 1, 11, {AcceptedRecord{request}}},
                            {journal, 2, 12, {HandedOverRecord{}}}}});
  const auto appends = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(appends.size() == 1U);
  harness.Advance(std::chrono::milliseconds(500));
  BOOST_TEST(harness.core.Status(harness.Now()).deferred == 0);
  harness.Send(JournalFenced{journal, 3});
  harness.Advance(std::chrono::seconds(3));
  BOOST_TEST(harness.Take<AppendJournal>().empty());
  BOOST_TEST(harness.Take<StartTask>().empty());
}

// One task of a deferred gang is refused. The other one must be stopped.
BOOST_AUTO_TEST_CASE(a_partially_started_deferred_gang_is_stopped) {
  CoreHarness harness(2);
  harness.SendRequest("means");
  const auto starts = harness.Take<StartTask>();
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  harness.Send(TaskStarted{starts[0].worker, starts[0].spec.task});
  harness.Send(
      TaskNotStarted{starts[1].worker, starts[1].spec.task, Error::kNoWorker});
  const auto stops = harness.Take<StopTask>();
  BOOST_TEST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(stops.front().task == starts[0].spec.task);
  harness.Send(
      TaskStopAnswered{stops.front().worker, stops.front().task, true});
  harness.Advance(std::chrono::seconds(5));
  BOOST_TEST(harness.Take<StartTask>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(cancelled_queued_work_is_reported_as_not_run) {
  CoreHarness harness(1);
  for (int i = 0; i < 8; ++i) {
    harness.SendRequest("booking");
  }
  const RequestId id = harness.SendRequest("review");
  harness.Send(QueryArrived{3, id, false, true, false});
  const auto answers = harness.Take<AnswerQuery>();
  BOOST_TEST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers.front().status->state == DeferredState::kCancelled));
  BOOST_TEST(!answers.front().status->ran);
}

// Guards against work that crashes each worker that runs it: it must fail after
// a bounded number of lost workers.
BOOST_AUTO_TEST_CASE(work_that_repeatedly_loses_its_worker_fails) {
  CoreHarness harness(1);
  const RequestId id = harness.SendRequest("review");
  constexpr int kMostStarts = 8;
  int starts = 0;
  for (int i = 0; i < kMostStarts; ++i) {
    for (const StartTask& start : harness.Take<StartTask>()) {
      ++starts;
      harness.Send(TaskStarted{start.worker, start.spec.task});
    }
    harness.silent_workers.insert(WorkerId("w1"));
    harness.Advance(std::chrono::seconds(30));
    harness.silent_workers.clear();
    ++harness.worker_incarnation;
    harness.Advance(std::chrono::seconds(30));
  }
  BOOST_TEST(starts == 5);
  BOOST_TEST((QueryStatus(&harness, id).state == DeferredState::kFailed));
}

BOOST_AUTO_TEST_SUITE_END()
