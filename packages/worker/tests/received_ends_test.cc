#include "received_ends.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "link_fixture.h"

namespace mustardproxy {
namespace {

using worker_detail::ReceivedEnds;
using worker_detail::ReceivedRanges;

const WorkerId kWorker("worker");

struct ReceivedFixture : LinkFixture {
  /// Runs an attached task to its end.
  void RunAttached(const std::string& task) {
    this->Start(task, "answer of " + task);
    this->events.Next<TaskEnded>();
  }

  void RunDetached(const std::string& task) {
    StartTask start = this->StartOrder(task, "answer of " + task);
    start.spec.detached = true;
    this->link->Perform(start);
    this->events.Next<TaskStarted>();
  }

  /// @return what a renewal reports behind the first number
  std::vector<EndedTask> Renew(Epoch epoch = 1) {
    this->link->Perform(RenewWorker{kWorker, this->address, epoch,
                                    std::chrono::seconds(60), 0});
    return this->events.Next<WorkerRenewed>().report.ended;
  }

  /// An end is left out once it has been handed over, which the thread that
  /// read the answer notes a moment later.
  void WaitUntilReported(std::size_t count) {
    WaitUntil([&] { return this->Renew().size() == count; });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(received_ends, ReceivedFixture)

// A worker is busy with short requests. Each renewal repeats all their answers,
// bodies and all, though each caller has had its own: most of the control bytes
// of a busy entry process.
BOOST_AUTO_TEST_CASE(a_renewal_does_not_repeat_an_answer_that_came_whole) {
  Attach();
  RunAttached("r/0/1");
  RunAttached("r/0/2");
  WaitUntilReported(0);
}

// One of three answers is cut in its body. The caller still waits; the end has
// to come with the next renewal, while its neighbours are left out.
BOOST_AUTO_TEST_CASE(an_end_whose_answer_was_cut_comes_with_the_renewal) {
  Attach();
  RunAttached("r/0/1");
  BOOST_REQUIRE(worker.Switch(R"({"cut_answers": 1})"));
  Start("r/0/2", "answer of r/0/2");
  events.Next<TaskUncertain>();
  RunAttached("r/0/3");
  WaitUntilReported(1);
  const EndedTask ended = Renew().front();
  BOOST_TEST(ended.task.Text() == "r/0/2");
  BOOST_TEST(View(ended.body) == "answer of r/0/2");
}

// An answer is crossed with another task's. Its number stands on it all the
// same, and must not count: the end comes with the renewal.
BOOST_AUTO_TEST_CASE(an_end_whose_answer_was_crossed_comes_with_the_renewal) {
  Attach();
  BOOST_REQUIRE(worker.Switch(R"({"cross_answers": 1})"));
  Start("r/0/1", "answer of r/0/1");
  events.Next<TaskUncertain>();
  RunAttached("r/0/2");
  WaitUntilReported(1);
  BOOST_TEST(View(Renew().front().body) == "answer of r/0/1");
}

// Attached and detached tasks end in turns. The end of a detached one comes
// only with renewals, and again if the answer to a renewal was lost.
BOOST_AUTO_TEST_CASE(ends_of_detached_tasks_are_reported_until_seen) {
  Attach();
  RunAttached("r/0/1");
  RunDetached("r/0/2");
  RunAttached("r/0/3");
  WaitUntilReported(1);
  BOOST_TEST(View(Renew().front().body) == "answer of r/0/2");
}

// An entry process got an answer and died before it passed it on. Its successor
// asks the worker, and must be told all of it: only the dead one had it.
BOOST_AUTO_TEST_CASE(after_a_takeover_every_end_is_reported_whole) {
  Attach();
  RunAttached("r/0/1");
  RunAttached("r/0/2");
  WaitUntilReported(0);
  link->Perform(ReleaseWorker{kWorker, address, 1});
  events.Next<WorkerReleased>();
  link = MakeLink("successor", 2);
  const WorkerReport report = Attach(2);
  BOOST_REQUIRE(report.ended.size() == 2U);
  BOOST_TEST(View(report.ended.front().body) == "answer of r/0/1");
  BOOST_TEST(Renew(2).size() == 2U);
}

// A worker restarts and counts its ends from 1 again. Number 1 of its former
// run came whole; number 1 of the new run is a detached task, whose end nobody
// has seen. It must not be left out for the former one's number.
BOOST_AUTO_TEST_CASE(numbers_of_a_former_run_leave_nothing_out) {
  Attach();
  RunAttached("r/0/1");
  WaitUntilReported(0);
  const standin::StandinWorker restarted{standin::WorkerOptions{}};
  address = restarted.Address();
  Attach(2);
  StartTask start = StartOrder("r/0/2", "answer of r/0/2");
  start.epoch = 2;
  start.spec.detached = true;
  link->Perform(start);
  events.Next<TaskStarted>();
  const std::vector<EndedTask> ended = Renew(2);
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(View(ended.front().body) == "answer of r/0/2");
}

BOOST_AUTO_TEST_CASE(numbers_join_to_ranges_above_what_was_reported) {
  ReceivedEnds ends;
  for (const std::uint64_t sequence : {5U, 1U, 2U, 3U, 9U, 4U}) {
    ends.Add(kWorker, {7, sequence});
  }
  const ReceivedRanges received = ends.After(kWorker, 2);
  BOOST_TEST(received.incarnation == 7U);
  BOOST_REQUIRE(received.ranges.size() == 2U);
  BOOST_TEST(received.ranges[0].first == 3U);
  BOOST_TEST(received.ranges[0].last == 5U);
  BOOST_TEST(received.ranges[1].first == 9U);
  BOOST_TEST(ends.After(kWorker, 9).ranges.empty());
}

// Every other answer is lost for a long time: the list of gaps must not grow
// without bound, as each renewal carries it.
BOOST_AUTO_TEST_CASE(many_gaps_keep_only_the_newest_numbers) {
  constexpr std::uint64_t kLast = 1001;
  constexpr std::size_t kMost = 64;
  ReceivedEnds ends;
  for (std::uint64_t sequence = 1; sequence <= kLast; sequence += 2) {
    ends.Add(kWorker, {7, sequence});
  }
  const ReceivedRanges received = ends.After(kWorker, 0);
  BOOST_TEST(received.ranges.size() == kMost);
  BOOST_TEST(received.ranges.back().last == kLast);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
