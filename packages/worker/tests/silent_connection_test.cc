#include <boost/test/unit_test.hpp>
#include <string>

#include "link_fixture.h"
#include "standin/relay.h"

namespace mustardproxy {
namespace {

/// The worker is reached through a relay that can forget its connections.
struct RelayFixture : LinkFixture {
  RelayFixture() { this->address = this->relay.Address(); }

  standin::Relay relay{0, worker.Address()};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(silent_connections, RelayFixture)

// Something between the two hosts forgets an idle connection. The next request
// goes out on it and gets lost on its way. Users saw the host ejected, or the
// request sent again and run twice. The worker says that it never saw the task,
// and will not run it; the next start goes over a new connection.
BOOST_AUTO_TEST_CASE(a_start_lost_on_an_old_connection_is_not_started) {
  Attach();
  Start("r/0/1", "x");
  events.Next<TaskEnded>();
  relay.SilenceOpen();
  Start("r/0/2", "x");
  events.Next<TaskNotStarted>();
  BOOST_TEST(CountInLog("start", "r/0/2") == 0);
  Start("r/0/3", "x");
  BOOST_TEST(events.Next<TaskEnded>().ended.task.Text() == "r/0/3");
  BOOST_TEST(events.Count() == 0U);
}

// Three idle connections are forgotten together. The first request to meet one
// finds out; the next ones must not lose time on the other two.
BOOST_AUTO_TEST_CASE(one_silent_connection_retires_all_older_ones) {
  Attach();
  for (const char* task : {"a/1", "a/2", "a/3"}) {
    Start(task, R"({"run_ms": 100})");
  }
  for (int i = 0; i < 3; ++i) events.Next<TaskEnded>();
  relay.SilenceOpen();
  Start("b/1", "x");
  events.Next<TaskNotStarted>();
  Start("b/2", R"({"run_ms": 50})");
  Start("b/3", R"({"run_ms": 50})");
  events.Next<TaskEnded>();
  events.Next<TaskEnded>();
}

// The same, but the connection is forgotten while the task runs: the worker
// answers and the answer gets lost. The caller still gets it, and the task has
// run once.
BOOST_AUTO_TEST_CASE(an_answer_lost_on_an_old_connection_is_fetched_on_a_new) {
  Attach();
  Start("r/0/1", R"({"run_ms": 600, "answer_bytes": 3})");
  WaitUntilInLog("start", "r/0/1");
  relay.SilenceOpen();
  const auto ended = events.Next<TaskEnded>().ended;
  BOOST_TEST(ended.task.Text() == "r/0/1");
  BOOST_TEST(View(ended.body) == "xxx");
  BOOST_TEST(CountInLog("start", "r/0/1") == 1);
}

// A task only takes long; its connection is well. The questions on the side
// must not end the wait, and the answer comes over the old connection.
BOOST_AUTO_TEST_CASE(a_long_task_on_a_healthy_connection_just_takes_long) {
  Attach();
  Start("r/0/1", R"({"run_ms": 1000})");
  BOOST_TEST(events.Next<TaskEnded>().ended.task.Text() == "r/0/1");
  BOOST_TEST(CountInLog("start", "r/0/1") == 1);
}

BOOST_AUTO_TEST_CASE(a_detached_start_on_a_silent_connection_is_asked_for) {
  Attach();
  relay.SilenceOpen();
  StartTask start = StartOrder("r/0/1", "x");
  start.spec.detached = true;
  link->Perform(start);
  events.Next<TaskNotStarted>();
  start.spec.task = TaskId("r/0/2");
  link->Perform(start);
  events.Next<TaskStarted>();
  BOOST_TEST(CountInLog("start", "r/0/1") == 0);
}

// All idle connections are forgotten at once, and many requests come at once.
// Each must have an end that agrees with the worker's own log.
BOOST_AUTO_TEST_CASE(many_starts_over_forgotten_connections_run_once_or_never) {
  constexpr int kStarts = 8;
  Attach();
  for (int i = 0; i < kStarts; ++i) {
    Start("a/" + std::to_string(i), R"({"run_ms": 50})");
  }
  for (int i = 0; i < kStarts; ++i) events.Next<TaskEnded>();
  relay.SilenceOpen();
  for (int i = 0; i < kStarts; ++i) Start("b/" + std::to_string(i), "x");
  WaitUntil([&] { return this->events.Count() == kStarts; });
  for (int i = 0; i < kStarts; ++i) {
    const std::string task = "b/" + std::to_string(i);
    BOOST_TEST(CountInLog("start", task) == 0);
    events.Next<TaskNotStarted>();
  }
}

// The worker itself stops answering on the connections that are open, while it
// takes new ones.
BOOST_AUTO_TEST_CASE(a_worker_silent_on_open_connections_is_found_too) {
  Attach();
  Start("r/0/1", R"({"run_ms": 600})");
  WaitUntilInLog("start", "r/0/1");
  BOOST_REQUIRE(worker.Switch(R"({"silence_open": true})"));
  BOOST_TEST(events.Next<TaskEnded>().ended.task.Text() == "r/0/1");
  BOOST_TEST(CountInLog("start", "r/0/1") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
