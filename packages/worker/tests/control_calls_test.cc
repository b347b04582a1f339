#include <boost/test/unit_test.hpp>

#include "link_fixture.h"
#include "standin/relay.h"

namespace mustardproxy {
namespace {

using std::chrono::seconds;

RenewWorker RenewOrder(const LinkFixture& fixture, std::uint64_t sequence) {
  return {WorkerId("worker"), fixture.address, 1, seconds(60), sequence};
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(control_calls, LinkFixture)

BOOST_AUTO_TEST_CASE(an_attach_brings_the_worker_s_own_report) {
  const WorkerReport report = Attach();
  BOOST_TEST(report.worker.Text() == "worker");
  BOOST_TEST(report.epoch == 1U);
  BOOST_TEST(report.incarnation != 0U);
  BOOST_TEST((report.capacity == Resources{4000, 16000, 0, 8}));
  BOOST_TEST(report.connections == 64);
}

BOOST_AUTO_TEST_CASE(an_attach_under_another_s_lease_is_refused_with_its_rest) {
  Attach();
  const auto other = MakeLink("other", 2);
  other->Perform(AttachOrder(2, seconds(3)));
  const auto refused = events.Next<WorkerRefused>();
  BOOST_TEST(refused.epoch == 2U);
  BOOST_TEST(refused.highest == 1U);
  BOOST_TEST(refused.holder.Text() == "entry");
  BOOST_TEST((refused.lease_left > seconds(30)));
}

BOOST_AUTO_TEST_CASE(after_a_release_another_attaches_at_once) {
  Attach();
  link->Perform(ReleaseWorker{WorkerId("worker"), address, 1});
  BOOST_TEST(events.Next<WorkerReleased>().epoch == 1U);
  const auto other = MakeLink("other", 2);
  other->Perform(AttachOrder(2, seconds(3)));
  BOOST_TEST(events.Next<WorkerAttached>().report.epoch == 2U);
}

// A release takes effect and its answer is lost; the call is made again and
// refused, since nothing is attached any more. The owner must hear "released",
// or it would go on as if the worker were in dispute.
BOOST_AUTO_TEST_CASE(a_repeated_release_is_a_release) {
  Attach();
  link->Perform(ReleaseWorker{WorkerId("worker"), address, 1});
  events.Next<WorkerReleased>();
  link->Perform(ReleaseWorker{WorkerId("worker"), address, 1});
  events.Next<WorkerReleased>();
}

BOOST_AUTO_TEST_CASE(a_detached_task_s_end_comes_with_a_renewal) {
  Attach();
  StartTask start = StartOrder("r/0/1", "echo");
  start.spec.detached = true;
  link->Perform(start);
  BOOST_TEST(events.Next<TaskStarted>().task.Text() == "r/0/1");
  link->Perform(RenewOrder(*this, 0));
  const WorkerReport report = events.Next<WorkerRenewed>().report;
  BOOST_REQUIRE(report.ended.size() == 1U);
  BOOST_TEST(report.ended_sequence == 1U);
  BOOST_TEST(report.ended.front().task.Text() == "r/0/1");
  BOOST_TEST(View(report.ended.front().body) == "echo");
  link->Perform(RenewOrder(*this, 1));
  BOOST_TEST(events.Next<WorkerRenewed>().report.ended.empty());
}

BOOST_AUTO_TEST_CASE(a_report_names_what_runs) {
  Attach();
  StartTask start = StartOrder("r/0/1", R"({"run_ms": 60000})");
  start.spec.detached = true;
  link->Perform(start);
  events.Next<TaskStarted>();
  const WorkerReport report = Attach();
  BOOST_REQUIRE(report.running.size() == 1U);
  BOOST_TEST(report.running.front().request.Text() == "request-of-r/0/1");
  BOOST_TEST((report.running.front().resources == Resources{100, 100, 0, 1}));
}

BOOST_AUTO_TEST_CASE(a_stop_tells_whether_the_task_had_ended) {
  Attach();
  StartTask start = StartOrder("r/0/1", R"({"run_ms": 60000})");
  start.spec.detached = true;
  link->Perform(start);
  events.Next<TaskStarted>();
  const StopTask stop{WorkerId("worker"), address, 1, TaskId("r/0/1"), true};
  link->Perform(stop);
  BOOST_TEST(events.Next<TaskStopAnswered>().stopped);
  link->Perform(stop);
  BOOST_TEST(!events.Next<TaskStopAnswered>().stopped);
  link->Perform(QueryTask{WorkerId("worker"), address, TaskId("r/0/1")});
  const auto queried = events.Next<TaskQueried>();
  BOOST_TEST((queried.state == TaskQueried::State::kEnded));
  BOOST_TEST((queried.ended.end == TaskEnd::kCheckpointed));
}

// A host stops answering without closing anything. Heartbeats must say so in
// bounded time, and go on once it is back.
BOOST_AUTO_TEST_CASE(a_frozen_worker_is_unreachable_until_it_thaws) {
  Attach();
  BOOST_REQUIRE(worker.Switch(R"({"freeze": true})"));
  link->Perform(RenewOrder(*this, 0));
  BOOST_TEST(events.Next<WorkerUnreachable>().epoch == 1U);
  link->Perform(QueryTask{WorkerId("worker"), address, TaskId("r/0/1")});
  BOOST_TEST(
      (events.Next<TaskQueried>().state == TaskQueried::State::kUnreachable));
  BOOST_REQUIRE(worker.Switch(R"({"freeze": false})"));
  link->Perform(RenewOrder(*this, 0));
  events.Next<WorkerRenewed>();
}

// Something between the two hosts forgets the connection that heartbeats use;
// nothing comes back on it, while new connections work. The worker is well and
// must not be reported as unreachable.
BOOST_AUTO_TEST_CASE(a_heartbeat_on_a_silent_connection_is_not_a_lost_worker) {
  standin::Relay relay(0, worker.Address());
  address = relay.Address();
  Attach();
  relay.SilenceOpen();
  link->Perform(RenewOrder(*this, 0));
  events.Next<WorkerRenewed>();
  BOOST_TEST(relay.Taken() == 2);
  link->Perform(RenewOrder(*this, 0));
  events.Next<WorkerRenewed>();
  BOOST_TEST(relay.Taken() == 2);
}

BOOST_AUTO_TEST_CASE(a_report_of_another_worker_is_not_taken) {
  AttachWorker attach = AttachOrder(1, seconds(3));
  attach.worker = WorkerId("another");
  link->Perform(attach);
  BOOST_TEST(events.Next<WorkerUnreachable>().worker.Text() == "another");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
