#include <boost/test/unit_test.hpp>

#include "core_harness.h"
#include "mustardproxy/core/error.h"

using namespace mustardproxy;           // NOLINT(google-build-using-namespace)
using namespace mustardproxy::testing;  // NOLINT(google-build-using-namespace)

namespace {

void AnswerQueries(CoreHarness* harness, TaskQueried::State state) {
  for (const QueryTask& query : harness->Take<QueryTask>()) {
    TaskQueried answer;
    answer.worker = query.worker;
    answer.task = query.task;
    answer.state = state;
    answer.incarnation = harness->worker_incarnation;
    harness->Send(answer);
  }
}

/// Answers the collected queries to peers whether any task of a request is
/// left.
void AnswerPeers(CoreHarness* harness, std::optional<bool> left) {
  for (const QueryPeer& ask : harness->Take<QueryPeer>()) {
    BOOST_TEST(ask.stop_orphans);
    std::optional<DeferredStatus> status;
    if (left) {
      status.emplace();
      status->ran = *left;
    }
    harness->Send(QueryAnswered{ask.query, status});
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(core_recovery)

// A worker misses two renewals and then answers again. Failure: it stayed
// excluded from placement permanently. Queued work must be placed there.
BOOST_AUTO_TEST_CASE(a_worker_that_becomes_reachable_again_takes_work) {
  CoreHarness harness(1);
  const WorkerId worker("w1");
  harness.silent_workers.insert(worker);
  harness.Send(WorkerUnreachable{worker, harness.epochs[worker]});
  harness.Send(WorkerUnreachable{worker, harness.epochs[worker]});
  harness.SendRequest("screen");
  BOOST_TEST(harness.Take<StartTask>().empty());
  harness.silent_workers.clear();
  harness.Advance(std::chrono::seconds(12));
  harness.Take<StartTask>();
  harness.SendRequest("screen");
  BOOST_TEST(harness.Take<StartTask>().size() == 1U);
}

// A review failed on the only worker. It must be retried there after a delay
// instead of waiting forever for another worker.
BOOST_AUTO_TEST_CASE(work_that_failed_on_the_only_worker_is_tried_again) {
  CoreHarness harness(1);
  harness.SendRequest("review");
  const StartTask first = harness.TakeStart();
  harness.Send(TaskStarted{first.worker, first.spec.task});
  harness.EndTask(first, 500, TaskEnd::kFailed);
  harness.Advance(std::chrono::seconds(8));
  const auto again = harness.Take<StartTask>();
  BOOST_TEST_REQUIRE(again.size() == 1U);
  BOOST_TEST(again.front().spec.task != first.spec.task);
}

// A process without workers hands its journal over while the *accepted* record
// of another review is being written. The caller receives status 202 once the
// record is durable, and the adopter runs the review. Failure: the former
// process kept the review as well, could never start it, and reported it as
// queued.
BOOST_AUTO_TEST_CASE(work_recorded_after_the_handover_is_left_to_the_adopter) {
  CoreHarness harness(1);
  for (int i = 0; i < 8; ++i) {
    harness.SendRequest("booking");
  }
  harness.SendRequest("review");
  harness.Take<AppendJournal>();
  harness.Take<ReplyAccepted>();
  harness.journal_answers = false;
  const RequestId late = harness.SendRequest("review");
  const auto pending = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(pending.size() == 1U);
  harness.workers_answer = false;
  harness.Send(WorkerRefused{WorkerId("w1"), harness.epochs[WorkerId("w1")],
                             900, ProcessId("p2"), std::chrono::seconds(3)});
  for (int i = 0; i < 4; ++i) {
    harness.AddPeerWithRoom("p2", "dc1");
    harness.Advance(std::chrono::seconds(1));
  }
  const JournalBatch& accepted = pending.front().batch;
  harness.Send(JournalAppended{accepted.journal, accepted.sequence});
  const auto replies = harness.Take<ReplyAccepted>();
  BOOST_TEST_REQUIRE(replies.size() == 1U);
  BOOST_TEST(replies.front().request == late);
  harness.Advance(std::chrono::seconds(1));
  const auto handed_over = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(handed_over.size() == 1U);
  const JournalBatch& last = handed_over.front().batch;
  BOOST_TEST(std::holds_alternative<HandedOverRecord>(last.records.back()));
  harness.Send(JournalAppended{last.journal, last.sequence});
  const CoreStatus status = harness.core.Status(harness.Now());
  BOOST_TEST(status.deferred == 0);
  BOOST_TEST(status.queued == 0);
}

// The only worker of this process is taken over while reviews are queued. They
// must be handed over to a peer that owns workers instead of waiting here
// forever.
BOOST_AUTO_TEST_CASE(work_of_a_process_without_workers_is_handed_over) {
  CoreHarness harness(1);
  for (int i = 0; i < 8; ++i) {
    harness.SendRequest("booking");
  }
  harness.SendRequest("review");
  harness.Take<AppendJournal>();
  harness.workers_answer = false;
  harness.Send(WorkerRefused{WorkerId("w1"), harness.epochs[WorkerId("w1")],
                             ~Epoch{0} / 2, ProcessId("p2"),
                             std::chrono::hours(1)});
  bool handed_over = false;
  for (int i = 0; i < 10; ++i) {
    harness.AddPeerWithRoom("p2", "dc1");
    harness.Advance(std::chrono::seconds(1));
    for (const AppendJournal& append : harness.Take<AppendJournal>()) {
      handed_over = handed_over || std::holds_alternative<HandedOverRecord>(
                                       append.batch.records.back());
    }
  }
  BOOST_TEST(handed_over);
  BOOST_TEST(harness.core.Status(harness.Now()).deferred == 0);
}

// A journal that its writer handed over is adopted without the delay that
// covers late heartbeats, so that its results are available again soon.
BOOST_AUTO_TEST_CASE(a_handed_over_journal_is_adopted_at_once) {
  CoreHarness harness(1);
  const JournalId journal("p2.b2");
  harness.Send(JournalsListed{{journal}});
  BOOST_TEST(harness.Take<ReadJournal>().size() == 1U);
  harness.Send(JournalRead{journal, {{journal, 1, 11, {HandedOverRecord{}}}}});
  const auto appends = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(appends.size() == 1U);
  BOOST_TEST(std::holds_alternative<AdoptedRecord>(
      appends.front().batch.records.front()));
}

// A process died after it had started one of two tasks of a gang. The next
// owner of the worker finds the task, learns that no process tracks it, and
// stops it.
BOOST_AUTO_TEST_CASE(a_partially_started_gang_of_a_dead_process_is_stopped) {
  CoreHarness harness(1);
  harness.AddPeerWithRoom("q1", "dc2");
  RunningTask half;
  half.task = TaskId("p2.b2.1/0/1001");
  half.request = RequestId("p2.b2.1");
  half.service = ServiceId("rota");
  half.resources = {1000, 1000, 0, 1};
  harness.running[WorkerId("w1")].push_back(half);
  harness.Advance(std::chrono::seconds(12));
  const auto asked = harness.Take<QueryPeer>();
  BOOST_TEST_REQUIRE(asked.size() == 1U);
  BOOST_TEST(harness.Take<StopTask>().empty());
  harness.Send(QueryAnswered{asked.front().query, std::nullopt});
  const auto stops = harness.Take<StopTask>();
  BOOST_TEST_REQUIRE(!stops.empty());
  BOOST_TEST(stops.front().task == half.task);
}

// A gang was forwarded to a process that died after it had started one of two
// tasks. The next owner of the worker queries the peers, and the forwarding
// process, which still waits for the answer, reports "running". At the caller's
// timeout that process stops tracking the request without stopping the task.
// Failure: the remaining task occupied its worker until its time limit.
BOOST_AUTO_TEST_CASE(a_partial_gang_is_stopped_once_no_process_tracks_it) {
  CoreHarness harness(1);
  harness.AddPeerWithRoom("p2", "dc1");
  RunningTask half;
  half.task = TaskId("p2.b2.1/0/1");
  half.request = RequestId("p2.b2.1");
  half.service = ServiceId("rota");
  half.resources = {1000, 1000, 0, 1};
  harness.running[WorkerId("w1")].push_back(half);
  harness.Take<QueryPeer>();
  DeferredStatus waiting;
  waiting.id = half.request;
  waiting.state = DeferredState::kRunning;
  std::size_t told = 0;
  for (int i = 0; i < 12; ++i) {
    harness.Advance(std::chrono::seconds(1));
    harness.AddPeerWithRoom("p2", "dc1");
    for (const QueryPeer& ask : harness.Take<QueryPeer>()) {
      harness.Send(QueryAnswered{ask.query, waiting});
      ++told;
    }
  }
  BOOST_TEST_REQUIRE(told > 0U);
  BOOST_TEST(harness.Take<StopTask>().empty());
  for (int i = 0; i < 12; ++i) {
    harness.Advance(std::chrono::seconds(1));
    harness.AddPeerWithRoom("p2", "dc1");
    for (const QueryPeer& ask : harness.Take<QueryPeer>()) {
      harness.Send(QueryAnswered{ask.query, std::nullopt});
    }
  }
  const auto stops = harness.Take<StopTask>();
  BOOST_TEST_REQUIRE(!stops.empty());
  BOOST_TEST(stops.front().task == half.task);
}

// A review was sent to a worker that was suspended before it read the start,
// and that will run it once it resumes. The review must not be started
// elsewhere after only the duration of a task lease.
BOOST_AUTO_TEST_CASE(an_unconfirmed_start_outlasts_a_task_lease) {
  CoreHarness harness(2);
  harness.SendRequest("review");
  const StartTask first = harness.TakeStart();
  harness.silent_workers.insert(first.worker);
  harness.Send(TaskUncertain{first.worker, first.spec.task, {}});
  for (int i = 0; i < 50; ++i) {
    AnswerQueries(&harness, TaskQueried::State::kUnreachable);
    harness.Advance(std::chrono::seconds(1));
  }
  BOOST_TEST(harness.Take<StartTask>().empty());
  BOOST_TEST(harness.Take<QueryPeer>().empty());
  for (int i = 0; i < 30; ++i) {
    AnswerQueries(&harness, TaskQueried::State::kUnreachable);
    AnswerPeers(&harness, false);
    harness.Advance(std::chrono::seconds(1));
  }
  BOOST_TEST(harness.Take<StartTask>().size() == 1U);
}

// A worker runs a booking, crashes and is restarted. It then answers a query
// with "never started", since it has lost its state. The booking must neither
// be answered "not run" nor be sent again.
BOOST_AUTO_TEST_CASE(never_started_from_a_restarted_worker_is_not_trusted) {
  CoreHarness harness(2);
  harness.SendRequest("booking");
  const StartTask first = harness.TakeStart();
  harness.Send(TaskUncertain{first.worker, first.spec.task, {}});
  harness.worker_incarnation += 1;
  AnswerQueries(&harness, TaskQueried::State::kNeverStarted);
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kUnknown));
  BOOST_TEST(harness.Take<StartTask>().empty());
}

// The same for a worker that does not report its incarnation: only renewals
// accepted after the query show that it has not restarted.
BOOST_AUTO_TEST_CASE(never_started_is_confirmed_by_renewals) {
  CoreHarness harness(2);
  harness.SendRequest("booking");
  const StartTask first = harness.TakeStart();
  harness.Send(TaskUncertain{first.worker, first.spec.task, {}});
  harness.workers_answer = false;
  TaskQueried never;
  never.worker = first.worker;
  never.task = first.spec.task;
  never.state = TaskQueried::State::kNeverStarted;
  harness.Send(never);
  BOOST_TEST(harness.Take<StartTask>().empty());
  const auto renewals = harness.Take<RenewWorker>();
  BOOST_TEST_REQUIRE(renewals.size() == 2U);
  WorkerReport report;
  report.worker = first.worker;
  report.epoch = first.epoch;
  report.incarnation = harness.worker_incarnation;
  report.capacity = {16000, 64000, 0, 8};
  harness.Send(WorkerRenewed{report});
  BOOST_TEST(harness.Take<StartTask>().empty());
  harness.Send(WorkerRenewed{report});
  BOOST_TEST(harness.Take<StartTask>().size() == 1U);
}

// A screen runs for longer than its profile's maximum wait and then fails. The
// caller's timeout has not expired, so it is retried on another worker.
BOOST_AUTO_TEST_CASE(a_failure_after_a_long_run_is_still_tried_again) {
  CoreHarness harness(2);
  harness.SendRequest("screen");
  const StartTask first = harness.TakeStart();
  harness.Advance(std::chrono::seconds(3));
  harness.EndTask(first, 500, TaskEnd::kFailed);
  const StartTask second = harness.TakeStart();
  BOOST_TEST(second.worker != first.worker);
}

// A review runs at a worker that this process can't reach, while a peer owns
// the worker and renews the review's lease. The review may start elsewhere only
// after the peer has stopped it and every peer has answered.
BOOST_AUTO_TEST_CASE(a_review_whose_lease_a_peer_renews_is_not_started_again) {
  CoreHarness harness(2);
  harness.SendRequest("review");
  const StartTask first = harness.TakeStart();
  harness.Send(TaskStarted{first.worker, first.spec.task});
  harness.silent_workers.insert(first.worker);
  for (const std::optional<bool> left :
       {std::optional<bool>(), std::optional<bool>(true)}) {
    for (int i = 0; i < 25; ++i) {
      AnswerQueries(&harness, TaskQueried::State::kUnreachable);
      AnswerPeers(&harness, left);
      harness.Advance(std::chrono::seconds(1));
    }
    BOOST_TEST(harness.Take<StartTask>().empty());
  }
  for (int i = 0; i < 20; ++i) {
    AnswerQueries(&harness, TaskQueried::State::kUnreachable);
    AnswerPeers(&harness, false);
    harness.Advance(std::chrono::seconds(1));
  }
  BOOST_TEST(harness.Take<StartTask>().size() == 1U);
}

// The owner's side: this process stops the tasks that another process started
// on its worker before it answers that none is left.
BOOST_AUTO_TEST_CASE(an_orphan_is_stopped_for_a_peer) {
  CoreHarness harness(1);
  const WorkerId worker("w1");
  RunningTask orphan;
  orphan.task = TaskId("p2.b2.1/0/1");
  orphan.request = RequestId("p2.b2.1");
  orphan.service = ServiceId("review");
  orphan.resources = {1000, 1000, 0, 1};
  harness.running[worker].push_back(orphan);
  harness.Advance(std::chrono::seconds(12));
  harness.Send(QueryArrived{1, orphan.request, true, false, true});
  const auto stops = harness.Take<StopTask>();
  BOOST_TEST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(stops.front().task == orphan.task);
  BOOST_TEST(harness.Take<AnswerQuery>().front().status->ran);
  harness.running.clear();
  harness.Advance(std::chrono::seconds(12));
  harness.Send(QueryArrived{2, orphan.request, true, false, true});
  BOOST_TEST(!harness.Take<AnswerQuery>().front().status->ran);
}

// One task of a gang fails by itself and the other one is stopped because the
// caller disconnected. A partial answer must not be reported as complete.
BOOST_AUTO_TEST_CASE(a_gang_with_a_stopped_task_is_not_answered_as_complete) {
  CoreHarness harness(2);
  const RequestId id = harness.SendRequest("rota");
  const auto starts = harness.Take<StartTask>();
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  harness.Send(CancelRequested{id});
  harness.EndTask(starts[0], 0, TaskEnd::kStopped);
  harness.EndTask(starts[1], 500, TaskEnd::kFailed);
  BOOST_TEST((harness.TakeReply().answer.outcome == Outcome::kUnknown));
}

// The former holder of a journal had planned a second attempt when it was
// fenced, and frees that attempt's resources when it learns of the fence. The
// adopter's task must have another id, or its resources would be freed while it
// runs.
BOOST_AUTO_TEST_CASE(an_adopter_uses_distinct_task_ids) {
  CoreHarness harness(1);
  const JournalId journal("p2.b2");
  Request request = harness.MakeRequest("review");
  request.id = RequestId("p2.b2.1");
  request.team = TeamId("dlonie");
  harness.Send(JournalsListed{{journal}});
  harness.Send(JournalRead{journal,
                           {{journal, 1, 11, {AcceptedRecord{request}}},
                            {journal, 2, 12, {HandedOverRecord{}}}}});
  const StartTask start = harness.TakeStart();
  BOOST_TEST(start.spec.task != TaskId("p2.b2.1/0/1"));
  BOOST_TEST(start.spec.task != TaskId("p2.b2.1/0/2"));
}

// A worker is taken over with running tasks of its former owner. Their
// resources stay allocated until they have ended, or the worker would be
// overcommitted.
BOOST_AUTO_TEST_CASE(tasks_found_at_a_takeover_keep_their_resources) {
  CoreHarness harness(1);
  const WorkerId worker("w1");
  std::vector<RunningTask>& found = harness.running[worker];
  for (const char* task : {"p2.b2.1/0/1001", "p2.b2.2/0/1001"}) {
    RunningTask running;
    running.task = TaskId(task);
    running.request = RequestId(std::string(task).substr(0, 7));
    running.service = ServiceId("booking");
    running.resources = {1000, 1000, 0, 1};
    found.push_back(running);
  }
  harness.Send(WorkerRefused{worker, harness.epochs[worker], 0, {}, {}});
  harness.Advance(std::chrono::seconds(2));
  for (int i = 0; i < 8; ++i) {
    harness.SendRequest("booking");
  }
  BOOST_TEST(harness.Take<StartTask>().size() == 6U);
  found.clear();
  harness.Advance(std::chrono::milliseconds(1500));
  BOOST_TEST(harness.Take<StartTask>().size() == 2U);
}

// A screen runs when a peer takes its worker over, for example after a pause of
// this process, and then its caller disconnects. A stop under the old epoch
// would be refused and the screen would occupy the worker until it ends, so the
// new owner is asked to stop it.
BOOST_AUTO_TEST_CASE(a_stop_at_a_worker_that_was_taken_over_goes_to_its_owner) {
  CoreHarness harness(1);
  harness.AddPeerWithRoom("p2", "dc1");
  const RequestId id = harness.SendRequest("screen");
  const StartTask start = harness.TakeStart();
  harness.Send(TaskStarted{start.worker, start.spec.task});
  harness.workers_answer = false;
  harness.Send(WorkerRefused{start.worker, harness.epochs[start.worker],
                             ~Epoch{0} / 2, ProcessId("p2"),
                             std::chrono::hours(1)});
  harness.Send(CancelRequested{id});
  BOOST_TEST(harness.Take<StopTask>().empty());
  const auto asked = harness.Take<QueryPeer>();
  BOOST_TEST_REQUIRE(asked.size() == 1U);
  BOOST_TEST(asked.front().peer == ProcessId("p2"));
  BOOST_TEST(asked.front().request == id);
  BOOST_TEST(asked.front().stop_orphans);
  harness.Advance(std::chrono::milliseconds(1500));
  AnswerQueries(&harness, TaskQueried::State::kRunning);
  BOOST_TEST(harness.Take<QueryPeer>().size() == 1U);
  harness.Advance(std::chrono::milliseconds(1500));
  EndedTask ended;
  ended.task = start.spec.task;
  ended.end = TaskEnd::kStopped;
  harness.Send(TaskEnded{start.worker, ended});
  BOOST_TEST(harness.Take<Reply>().size() == 1U);
}

// A process dies while two reviews run. A peer adopts its journal, tracks the
// reviews, and then takes their worker over. Failure: the resources of the
// reviews stayed allocated after they had ended, for as long as the peer held
// the worker, and other work waited while the worker was idle.
BOOST_AUTO_TEST_CASE(tasks_tracked_before_a_takeover_free_their_resources) {
  CoreHarness harness(2);
  const WorkerId worker("w2");
  harness.workers_answer = false;
  harness.Send(WorkerRefused{worker, harness.epochs[worker], 0, {}, {}});
  const JournalId journal("p2.b2");
  std::vector<JournalRecord> records;
  std::vector<EndedTask> ended;
  for (const char* name : {"p2.b2.1", "p2.b2.2"}) {
    Request request = harness.MakeRequest("review");
    request.id = RequestId(name);
    request.team = TeamId("dlonie");
    const TaskId task(std::string(name) + "/0/1");
    records.emplace_back(AcceptedRecord{request});
    records.emplace_back(StartedRecord{request.id, task, worker, 3, 1,
                                       harness.worker_incarnation});
    RunningTask running;
    running.task = task;
    running.request = request.id;
    running.service = request.service;
    running.resources = {1000, 1000, 0, 1};
    harness.running[worker].push_back(running);
    EndedTask end;
    end.task = task;
    end.request = request.id;
    ended.push_back(end);
  }
  records.emplace_back(HandedOverRecord{});
  harness.Send(JournalsListed{{journal}});
  harness.Send(JournalRead{journal, {{journal, 1, 11, records}}});
  BOOST_TEST_REQUIRE(harness.core.Status(harness.Now()).deferred == 2);
  AnswerQueries(&harness, TaskQueried::State::kRunning);
  harness.workers_answer = true;
  harness.Advance(std::chrono::seconds(12));
  BOOST_TEST_REQUIRE(harness.core.Status(harness.Now()).owned_workers == 2);
  harness.running.clear();
  harness.ended[worker] = ended;
  harness.Advance(std::chrono::seconds(12));
  for (int i = 0; i < 16; ++i) {
    harness.SendRequest("booking");
  }
  BOOST_TEST(harness.Take<StartTask>().size() == 16U);
}

// A process loses its journal to a peer while a review runs, and adopts it back
// while the review is still running. Failure: the task was tracked as a task of
// another process, and the scheduler still counted it as running after it had
// ended.
BOOST_AUTO_TEST_CASE(work_adopted_back_by_its_process_is_counted_once) {
  CoreHarness harness(1);
  harness.SendRequest("review");
  const StartTask start = harness.TakeStart();
  harness.Send(TaskStarted{start.worker, start.spec.task});
  const auto appends = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(appends.size() == 2U);
  const JournalId journal = appends[0].batch.journal;
  const std::uint64_t next = appends[1].batch.sequence + 1;
  harness.Send(JournalFenced{journal, next});
  BOOST_TEST(harness.core.Status(harness.Now()).deferred == 0);
  JournalBatch adopted{journal, next, 77, {AdoptedRecord{ProcessId("p2"), 9}}};
  JournalBatch back{journal, next + 1, 78, {HandedOverRecord{}}};
  harness.Send(JournalsListed{{journal}});
  harness.Send(JournalRead{
      journal, {appends[0].batch, appends[1].batch, adopted, back}});
  BOOST_TEST_REQUIRE(harness.core.Status(harness.Now()).deferred == 1);
  AnswerQueries(&harness, TaskQueried::State::kRunning);
  harness.EndTask(start);
  BOOST_TEST(harness.core.Status(harness.Now()).deferred == 0);
  BOOST_TEST(harness.core.Status(harness.Now()).running == 0);
  BOOST_TEST(harness.core.Status(harness.Now()).free.slots == 8);
}

// The platform is unreachable while a process adopts a journal. When the
// adoption is confirmed, the process has lost its workers and handed all
// journals over. Failure: it resumed the adopted work anyway, could never
// record its end, and reported it as running long after the next adopter had
// finished it.
BOOST_AUTO_TEST_CASE(a_journal_handed_over_before_its_adoption_is_not_resumed) {
  CoreHarness harness(1);
  for (int i = 0; i < 8; ++i) {
    harness.SendRequest("booking");
  }
  harness.SendRequest("review");
  harness.Take<AppendJournal>();
  harness.journal_answers = false;
  const JournalId journal("p2.b2");
  Request request = harness.MakeRequest("review");
  request.id = RequestId("p2.b2.1");
  request.team = TeamId("dlonie");
  harness.Send(JournalsListed{{journal}});
  harness.Send(JournalRead{journal,
                           {{journal, 1, 11, {AcceptedRecord{request}}},
                            {journal, 2, 12, {HandedOverRecord{}}}}});
  const auto adoption = harness.Take<AppendJournal>();
  BOOST_TEST_REQUIRE(adoption.size() == 1U);
  harness.workers_answer = false;
  harness.Send(WorkerRefused{WorkerId("w1"), harness.epochs[WorkerId("w1")],
                             900, ProcessId("p2"), std::chrono::hours(1)});
  for (int i = 0; i < 4; ++i) {
    harness.AddPeerWithRoom("p2", "dc1");
    harness.Advance(std::chrono::seconds(1));
  }
  harness.Take<AppendJournal>();
  const JournalBatch& adopted = adoption.front().batch;
  harness.Send(JournalAppended{adopted.journal, adopted.sequence});
  harness.Advance(std::chrono::seconds(1));
  bool handed_on = false;
  for (const AppendJournal& append : harness.Take<AppendJournal>()) {
    handed_on = handed_on || append.batch.journal == journal;
    harness.Send(JournalAppended{append.batch.journal, append.batch.sequence});
  }
  BOOST_TEST(handed_on);
  BOOST_TEST(harness.core.Status(harness.Now()).deferred == 0);
}

// A caller disconnects while the start is in transit, and the stop overtakes
// the start. "Not stopped" does not mean that nothing will run: the worker must
// be queried, after which it refuses the start.
BOOST_AUTO_TEST_CASE(a_stop_that_overtakes_its_start_is_followed_up) {
  CoreHarness harness(1);
  const RequestId id = harness.SendRequest("screen");
  const StartTask start = harness.TakeStart();
  harness.Send(CancelRequested{id});
  harness.Send(TaskStopAnswered{start.worker, start.spec.task, false});
  BOOST_TEST(harness.Take<Reply>().empty());
  const auto queries = harness.Take<QueryTask>();
  BOOST_TEST_REQUIRE(queries.size() == 1U);
  BOOST_TEST(queries.front().task == start.spec.task);
}

// A screen ran and failed, and expires while it is queued for another attempt.
// The answer must not be "not run".
BOOST_AUTO_TEST_CASE(a_request_that_ran_is_never_answered_not_run) {
  CoreHarness harness(1);
  harness.SendRequest("screen");
  harness.EndTask(harness.TakeStart(), 500, TaskEnd::kFailed);
  harness.Advance(std::chrono::seconds(3));
  for (const StartTask& start : harness.Take<StartTask>()) {
    harness.EndTask(start, 500, TaskEnd::kFailed);
  }
  harness.Advance(std::chrono::seconds(10));
  const Reply reply = harness.TakeReply();
  BOOST_TEST((reply.answer.outcome == Outcome::kCompleted));
  BOOST_TEST(reply.answer.status == 500);
}

BOOST_AUTO_TEST_SUITE_END()
